"""An executor crashes three times while a job runs on it."""

import asyncio
from pathlib import Path

from review.harness_3.cell import job_id
from review.harness_3.main import main

DAEMONS, EXECUTORS = 3, 24
CRASHING = 'i00000000001'
CRASHES_COUNT = 3
DOWN_S, UP_S = 0.85, 0.85
RUN_MS = 5000
ENDED = ('completed', 'failed', 'cancelled')
ADVICE = {'decideMs': 550, 'periodMs': 7.9, 'validMs': 1500}
JOB = {
    'spec': str(RUN_MS),
    'steps': [{'count': 1, 'cpu': 4500, 'memMb': 6400, 'estimateMs': RUN_MS}],
}


async def crash_again(cell):
    """Crashes an executor and starts it again, several times."""
    executor = cell.executors[CRASHING]
    for _ in range(CRASHES_COUNT):
        await executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.start()
        await asyncio.sleep(UP_S)


async def play(cell, is_troubled):
    """Returns why the rule LOST is broken, or None."""
    cell.allowed = {CRASHING}
    await cell.start(DAEMONS, EXECUTORS)
    await cell.until_leader()
    await asyncio.sleep(10)
    job = job_id()
    status, _ = await cell.send('d1', 'POST', job, JOB)
    if status != 200:
        raise RuntimeError(f'the job was answered with {status}')
    await asyncio.sleep(2.5)
    if is_troubled:
        await crash_again(cell)
    state = await cell.until_state('d2', job, ENDED, 40)
    failed_count = sum(run.how == 'failed' for run in cell.runs)
    if state == 'failed' and not failed_count:
        return f'job {job} is shown as failed, and no run of it ended failed'
    if state != 'completed':
        raise RuntimeError(f'the job is {state!r}')
    return None


if __name__ == '__main__':
    main(Path(__file__).parent, play, route={'advice': ADVICE})
