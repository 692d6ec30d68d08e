"""Two crashes of executors end an accepted job as failed."""

import asyncio
from pathlib import Path

from review.harness_2.main import run_case

EXECUTORS_COUNT = 8
DOWN_S = 2.0
CRASHES_COUNT = 2
JOB = '00000000000000a1'
BODY = {'spec': '4000', 'steps': [{'count': 1, 'cpu': 1000, 'memMb': 64}]}


async def play(cell, has_trouble):
    """Crashes the executor of the job's only task twice, one at a time."""
    await cell.open(daemons=3, executors=EXECUTORS_COUNT)
    if await cell.submit('d1', JOB, BODY) != 200:
        raise RuntimeError('job not accepted')
    for number in range(CRASHES_COUNT if has_trouble else 0):
        await cell.until(lambda due=number: len(cell.starts()) > due)
        _, executor_id, task, attempt = cell.starts()[number]
        await cell.kill(cell.executors[executor_id])
        cell.write(f'kill: {executor_id}, which began {task} run {attempt}')
        await asyncio.sleep(DOWN_S)
        await cell.start_executor(executor_id)
        cell.write(f'start: {executor_id} again, at the same address')
    state = await _end_state(cell)
    ends = [
        event['how']
        for executor_id in cell.executors
        for event in cell.events(executor_id)
        if event['event'] == 'end'
    ]
    cell.write(f'client: {JOB} is {state}; ends listed: {ends}')
    if state == 'failed' and 'failed' not in ends:
        return f'LOST: {JOB} is shown as failed, and no run has ended failed'
    if state != 'completed':
        return f'LOST: {JOB} is {state} at the end'
    return ''


async def _end_state(cell):
    state = ''
    for _ in range(400):
        state = await cell.state('d2', JOB)
        if state in {'failed', 'cancelled', 'completed'}:
            break
        await asyncio.sleep(0.1)
    return state


if __name__ == '__main__':
    run_case(play, Path(__file__).with_name('record.txt'))
