"""Gangs that wait for a lost executor, and jobs of another queue."""

import asyncio
from pathlib import Path

from review.harness_3.cell import HOST, job_id
from review.harness_3.main import main

DAEMONS, EXECUTORS = 3, 48
LOST_EXECUTOR = 'i00000000001'
# Entries expire after three heartbeats of 1.5 s.
ENTRY_EXPIRED_S = 7
JOBS_COUNT, JOB_EVERY_S = 10, 0.5
FINISH_S, WATCH_S = 14, 3
CAPACITY_CPU = 16_000

ADVICE = {'decideMs': 550, 'periodMs': 7.9, 'validMs': 1500}
ON_ALL = {
    'name': 'q-2',
    'host': HOST,
    'pathPrefix': '/all/',
    'timeoutMs': 3000,
    'priority': 1,
    'service': 's',
    'attempts': 3,
    'stretch': 2.2,
    'targetDurationMs': 1000,
}
GANGS_COUNT = 2
GANG = {
    'spec': '500',
    'steps': [
        {
            'count': EXECUTORS,
            'gang': True,
            'antiAffinity': 1,
            'estimateMs': 500,
        }
    ],
}
JOB = {
    'spec': '500',
    'steps': [{'count': 2, 'cpu': 1400, 'memMb': 2000, 'estimateMs': 500}],
}


def used_share(cell):
    """Returns which share of the processors tasks use."""
    up_count = sum(executor.is_up for executor in cell.executors.values())
    running_count = sum(run.ended_s is None for run in cell.runs)
    cpu = JOB['steps'][0]['cpu']
    return running_count * cpu / (up_count * CAPACITY_CPU)


async def play(cell, is_troubled):
    """Returns why the rule LOST is broken, or None."""
    await cell.start(DAEMONS, EXECUTORS)
    await cell.until_leader()
    await asyncio.sleep(3)
    first = job_id()
    await cell.send('d1', 'POST', first, JOB)
    if await cell.until_state('d2', first, {'completed'}, 15) != 'completed':
        raise RuntimeError('the first job did not complete')
    if is_troubled:
        await cell.executors[LOST_EXECUTOR].crash()
    await asyncio.sleep(ENTRY_EXPIRED_S)
    for _ in range(GANGS_COUNT):
        gang = job_id()
        cell.free_jobs.add(gang)
        await cell.send('d1', 'POST', gang, GANG, prefix='/all/')
    accepted = []
    for _ in range(JOBS_COUNT):
        await asyncio.sleep(JOB_EVERY_S)
        job = job_id()
        status, _ = await cell.send('d2', 'POST', job, JOB)
        if status == 200:
            accepted.append(job)
    if not accepted:
        raise RuntimeError('no job was accepted')
    await asyncio.sleep(FINISH_S)
    began = {run.task[:16] for run in cell.runs}
    waiting = [job for job in accepted if job not in began]
    shares = []
    for _ in range(WATCH_S * 10):
        shares.append(used_share(cell))
        await asyncio.sleep(0.1)
    began = {run.task[:16] for run in cell.runs}
    stuck = [job for job in waiting if job not in began]
    if not stuck or max(shares) >= 0.5:
        return None
    return (
        f'{len(stuck)} of {len(accepted)} accepted jobs had nothing running '
        f'from {FINISH_S} s to {FINISH_S + WATCH_S} s after the end of the '
        f'traffic; at most {max(shares):.3f} of the capacity was in use'
    )


if __name__ == '__main__':
    main(
        Path(__file__).parent,
        play,
        route={'advice': ADVICE},
        other_routes=(ON_ALL,),
    )
