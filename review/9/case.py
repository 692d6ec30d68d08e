"""A late call lets a task run on while it is started elsewhere."""

import asyncio
import time
from itertools import combinations
from pathlib import Path

from review.harness_2.link import Link
from review.harness_2.main import run_case

EXECUTORS_COUNT = 8
TASK_MS = 60_000
# One task fits on an executor of 16 cores.
STEP = {'count': EXECUTORS_COUNT, 'cpu': 9000, 'memMb': 64}
BODY = {'spec': str(TASK_MS), 'steps': [STEP]}
JOB = '00000000000000f1'
FIRST = 'i-0001'
SPARE = 'i-0009'
# The first life's clock is ahead of the second one's by more than a lease.
FIRST_LIFE_S = 10.0
DOWN_S = 1.0
SETTLED_S = 1.5
BEFORE_NEXT_S = 0.8
ARRIVAL_S = 0.05
CUT_S = 5.5
LEASE_FIELD = b'"untilMs"'
AFTER_S = 6.0


async def play(cell, has_trouble):
    """Delays a call, crashes its executor, and then cuts that off."""
    link = Link(cell.executor_port(FIRST))
    cell.addresses[FIRST] = await link.open()
    try:
        await cell.open(daemons=3, executors=EXECUTORS_COUNT)
        if await cell.submit('d1', JOB, BODY) != 200:
            raise RuntimeError('job not accepted')
        if not await cell.until(lambda: len(cell.starts()) >= EXECUTORS_COUNT):
            raise RuntimeError('job has not begun')
        await asyncio.sleep(FIRST_LIFE_S)
        killed_s = 0
        if has_trouble:
            killed_s = await _disturb(cell, link)
        else:
            await cell.start_executor(SPARE)
        await asyncio.sleep(AFTER_S)
    finally:
        await link.close()
    return _judge(cell, killed_s)


async def _disturb(cell, link):
    link.delay_next(LEASE_FIELD)
    if not await cell.until(lambda: bool(link.kept)):
        raise RuntimeError('no call to delay')
    kept_s = time.monotonic()
    cell.write(f'link: holds a call to {FIRST} back: {link.kept[-70:]!r}')
    killed_s = time.monotonic()
    await cell.kill(cell.executors[FIRST])
    cell.write(f'kill: {FIRST}')
    await asyncio.sleep(DOWN_S)
    await cell.start_executor(FIRST)
    cell.write(f'start: {FIRST} again, at the same address')
    starts = len(cell.starts())
    if not await cell.until(lambda: len(cell.starts()) > starts):
        raise RuntimeError('the task has not begun again')
    await cell.start_executor(SPARE)
    await asyncio.sleep(SETTLED_S)
    # Calls prolong the lease about once a second; this comes before the next.
    await link.until_passed(LEASE_FIELD)
    await asyncio.sleep(BEFORE_NEXT_S)
    await link.deliver()
    late_s = time.monotonic() - kept_s
    cell.write(f'link: delivers the call, {late_s:.1f} s late')
    await asyncio.sleep(ARRIVAL_S)
    link.is_cut = True
    cell.write(f'cut: {FIRST} from all daemons')
    await asyncio.sleep(CUT_S)
    link.is_cut = False
    cell.write('cut: ends')
    return killed_s


def _judge(cell, killed_s):
    """Finds two runs of a task at the same time on executors that are up."""
    runs = []
    for executor_id in cell.executors:
        runs.extend(_list_runs(cell.events(executor_id), executor_id, killed_s))
    for first, second in combinations(sorted(runs), 2):
        if first[2] == second[2] and second[0] < first[1]:
            overlap_s = min(first[1], second[1]) - second[0]
            return (
                f'TWICE: {first[2]} ran on {first[3]} (run {first[4]}) and '
                f'{second[3]} (run {second[4]}) for {overlap_s:.2f} s'
            )
    return ''


def _list_runs(events, executor_id, killed_s):
    """Lists start, end, task, executor and number of each run."""
    ends = {}
    runs = []
    for event in reversed(events):
        if event['event'] == 'born':
            ends = {}
        elif event['event'] == 'end':
            ends[event['task'], event['attempt']] = event['at_s']
        elif event['event'] == 'start':
            run = event['task'], event['attempt']
            last_s = time.monotonic()
            if executor_id == FIRST and event['at_s'] < killed_s:
                last_s = killed_s
            end_s = ends.get(run, last_s)
            runs.append((event['at_s'], end_s, run[0], executor_id, run[1]))
    return runs


if __name__ == '__main__':
    run_case(play, Path(__file__).with_name('record.txt'))
