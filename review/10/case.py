"""A queue that becomes public hides the accepted jobs of its callers."""

import asyncio
from pathlib import Path

from review.harness_2.cell import CONFIG
from review.harness_2.main import run_case

KEY = 'key-of-maps'
JOB = '00000000000000c1'
BODY = {'spec': '12000', 'steps': [{'count': 1, 'cpu': 1000, 'memMb': 64}]}
# `visible_ms` of the pages, and as much again.
VISIBLE_S = 6.0
GONE = 410


def _version(number, **route):
    return {
        **CONFIG,
        'version': number,
        'routes': [{**CONFIG['routes'][0], **route}],
        'tenants': [{'name': 'maps', 'apiKeys': [KEY], 'weight': 3}],
    }


async def play(cell, has_trouble):
    """Changes the configuration while an accepted job runs."""
    cell.key = KEY
    await cell.open(daemons=3, executors=4, config=_version(7))
    if await cell.submit('d1', JOB, BODY) != 200:
        raise RuntimeError('job not accepted')
    before = await cell.state('d2', JOB)
    cell.write(f'client: GET {JOB} at d2 -> {before}')
    change = {'public': True} if has_trouble else {'timeoutMs': 2500}
    await cell.configure(_version(8, **change))
    await asyncio.sleep(VISIBLE_S)
    shown = {name: await cell.state(name, JOB) for name in cell.daemons}
    running = [start[2] for start in cell.starts()]
    cell.write(f'client: GET {JOB} -> {shown}; started: {running}')
    if GONE in shown.values():
        return f'LOST: GET of the accepted job {JOB} -> {shown}'
    return ''


if __name__ == '__main__':
    run_case(play, Path(__file__).with_name('record.txt'))
