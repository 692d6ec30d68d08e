"""A cancel overtakes the submission that a frozen daemon still holds."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from review.standin.cell import run_case

FREEZE_S = 4.0
CANCEL_S = 3.0
STOP_S = 0.2
CONTACT_S = 3.0
TASK_MS = 5000
JOBS_COUNT = 5


async def play(cell, has_trouble):
    """Freezes a daemon that gets submissions; their client gives up."""
    step = {
        'count': 2,
        'cpu': 1000,
        'memMb': 8,
        'estimateMs': TASK_MS,
    }
    body = {
        'spec': f'run {TASK_MS}',
        'steps': [step, {**step, 'dependsOn': [0]}],
    }
    frozen, other = (
        name for name in cell.live_daemons() if name != cell.leader()
    )
    ids = [f'{0xE4DE0000 + number:016x}' for number in range(JOBS_COUNT)]
    if has_trouble:
        cell.signal(frozen, signal.SIGSTOP)
    frozen_s = time.monotonic()
    await asyncio.gather(
        *(cell.call(frozen, 'POST', job_id, body) for job_id in ids)
    )
    acknowledged_s = {}
    for job_id in ids:
        status, _ = await cell.call(other, 'DELETE', job_id)
        if status == 410 or 200 <= status < 300:
            acknowledged_s[job_id] = time.monotonic()
    if has_trouble:
        await asyncio.sleep(frozen_s + FREEZE_S - time.monotonic())
        cell.signal(frozen, signal.SIGCONT)
    calm_from_s = time.monotonic() + CONTACT_S
    await asyncio.sleep(3 * TASK_MS / 1000)
    return _find_unasked(cell.runs, acknowledged_s, calm_from_s)


def _find_unasked(runs, acknowledged_s, calm_from_s):
    """Lists runs of jobs that start or last too long after their cancel.

    What happens before `calm_from_s` is near a disruption.
    """
    broken = []
    for run in runs:
        at_s = acknowledged_s.get(run.task.partition('.')[0])
        if at_s is None:
            continue
        ended_s = run.ended_s or time.monotonic()
        started_after_s = run.started_s - at_s
        ended_after_s = ended_s - at_s
        if ended_s <= calm_from_s:
            continue
        if run.started_s > calm_from_s and started_after_s > CANCEL_S:
            broken.append(
                f'{run.task} starts {started_after_s:.1f} s after the '
                'acknowledgement of its cancel'
            )
        elif ended_after_s > CANCEL_S + STOP_S:
            broken.append(
                f'{run.task} runs until {ended_after_s:.1f} s after the '
                'acknowledgement of its cancel'
            )
    return broken


if __name__ == '__main__':
    sys.exit(run_case(play, Path(__file__).parent))
