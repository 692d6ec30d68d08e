"""An entry that can't be read, from another writer."""

import asyncio
import sys
from pathlib import Path

from review.standin.cell import ask_states, find_lost, run_case
from review.standin.executor import HEARTBEAT_S

NESTED = b'[' * 30_000
UNREADABLE = b'\xff\x00no entry'
JOBS_COUNT = 10
TASK_CPU = 1000
FINISH_S = 14.0
OWN_ENDS_LIMIT = 3
DAEMONS_LIMIT = 2


async def play(cell, has_trouble):
    """Writes an entry like an executor, again with each heartbeat."""
    cell.spawn(cell.restart_ended())
    content = NESTED if has_trouble else UNREADABLE
    cell.spawn(_write_entries(cell, content))
    await asyncio.sleep(1)
    step = {'count': 4, 'cpu': TASK_CPU, 'memMb': 8, 'estimateMs': 500}
    ids = [f'{0xE3DE0000 + number:016x}' for number in range(JOBS_COUNT)]
    answers = {}
    for job_id in ids:
        answers[job_id] = 0
        if cell.live_daemons():
            answers[job_id] = await cell.submit(job_id, 'run 500', [step])
        await asyncio.sleep(0.1)
    await asyncio.sleep(FINISH_S)
    broken = [
        f'{name} ended by itself {count} times'
        for name, count in cell.own_ends.items()
        if count >= OWN_ENDS_LIMIT
    ]
    if len(broken) < DAEMONS_LIMIT:
        broken = []
    accepted = [job_id for job_id in ids if answers[job_id] == 200]
    states = await ask_states(cell, accepted)
    unfinished = [
        job_id for job_id in accepted if states[job_id] != 'completed'
    ]
    return broken + [
        f'{job_id} is {states[job_id]!r} and has nothing running'
        for job_id in find_lost(cell, unfinished, TASK_CPU)
    ]


async def _write_entries(cell, content):
    while True:
        cell.store.put_bytes('servers', '', 'i-00000000ff', content)
        await asyncio.sleep(HEARTBEAT_S)


if __name__ == '__main__':
    sys.exit(run_case(play, Path(__file__).parent))
