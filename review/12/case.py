"""The machine with the fast link is lost; one with a slow link must lead."""

import asyncio
import signal
import time
from pathlib import Path

from review.harness_3.cell import job_id
from review.harness_3.main import main

EXECUTORS = 24
FAST = {'cpu_share': 0.717, 'cores': 3, 'memory_mb': 552, 'link_mbps': 100.0}
SLOW = {'cpu_share': 0.387, 'cores': 1, 'memory_mb': 160, 'link_mbps': 5.0}
SLOW_COUNT = 6
JOBS_PER_S, TRAFFIC_S = 40, 60
# The traffic goes on for this long after the loss.
AFTER_S = 5
FINISH_S, WATCH_S = 14, 3
CAPACITY_CPU, TASK_CPU = 16_000, 1400
SPEC_BYTES = 1000
RUN_MS = '300'
JOB = {
    'spec': RUN_MS.ljust(SPEC_BYTES),
    'steps': [
        {'count': 1, 'cpu': TASK_CPU, 'memMb': 1000, 'estimateMs': int(RUN_MS)}
    ],
}


def running_jobs(cell):
    """Returns the jobs with a run that has not ended."""
    return {run.task[:16] for run in cell.runs if run.ended_s is None}


def done_jobs(cell):
    """Returns the jobs whose task has ended done."""
    return {run.task[:16] for run in cell.runs if run.how == 'done'}


async def submit(cell, daemons):
    """Hands jobs in at an even pace; returns those accepted."""
    accepted = []

    async def submit_one(number):
        job = job_id()
        name = daemons[number % len(daemons)]
        status, _ = await cell.send(name, 'POST', job, JOB)
        if status == 200:
            accepted.append(job)

    began_s = time.monotonic()
    calls = []
    for number in range(JOBS_PER_S * TRAFFIC_S):
        due_s = began_s + number / JOBS_PER_S
        await asyncio.sleep(max(0, due_s - time.monotonic()))
        calls.append(asyncio.create_task(submit_one(number)))
    await asyncio.gather(*calls)
    return accepted


async def play(cell, is_troubled):
    """Returns why the rule LOST is broken, or None."""
    slow = [f'd{number}' for number in range(2, SLOW_COUNT + 2)]
    cell.limits = {'d1': FAST, **dict.fromkeys(slow, SLOW)}
    await cell.start(1, EXECUTORS)
    await cell.until_leader()
    for name in slow:
        await cell.add_daemon(name)
    for name in slow:
        await cell.until_ready(name)
    await asyncio.sleep(3)
    if cell.leader() != 'd1':
        raise RuntimeError('the machine with the fast link does not lead')
    submitting = asyncio.create_task(submit(cell, slow))
    await asyncio.sleep(TRAFFIC_S - AFTER_S)
    if is_troubled:
        cell.signal('d1', signal.SIGKILL)
    accepted = await submitting
    ended_s = time.monotonic()
    if len(accepted) < JOBS_PER_S * (TRAFFIC_S - AFTER_S) / 2:
        raise RuntimeError(f'{len(accepted)} jobs were accepted')
    await asyncio.sleep(ended_s + FINISH_S - time.monotonic())
    idle, shares = set(accepted) - done_jobs(cell), []
    for _ in range(WATCH_S * 20):
        running = running_jobs(cell)
        idle -= running | done_jobs(cell)
        shares.append(len(running) * TASK_CPU / (EXECUTORS * CAPACITY_CPU))
        await asyncio.sleep(0.05)
    cell.record.write('watched', idle=len(idle), used=max(shares))
    if not idle or max(shares) >= 0.5:
        return None
    return (
        f'{len(idle)} of {len(accepted)} accepted jobs were not done and had '
        f'nothing running '
        f'from {FINISH_S} s to {FINISH_S + WATCH_S} s after the end of the '
        f'traffic; at most {max(shares):.3f} of the capacity was in use'
    )


if __name__ == '__main__':
    main(Path(__file__).parent, play)
