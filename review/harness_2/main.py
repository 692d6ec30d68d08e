"""Runs a case in a temporary folder; exits with 1, 0 or 2."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback

from review.harness_2.cell import Cell

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
# Below the 120 s that a script may take; the rest is for the end of processes.
LIMIT_S = 105


def run_case(play, record):
    """Plays a case; `play` returns what broke the rule, '' if nothing did."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        status = asyncio.run(_run(play, record, has_trouble=has_trouble))
    except BaseException:
        # Python would end with the status of a broken rule.
        traceback.print_exc()
        status = COULD_NOT_RUN
    sys.exit(status)


async def _run(play, record, *, has_trouble):
    folder = tempfile.mkdtemp(prefix='review-')
    cell = Cell(folder, record)
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            broken = await play(cell, has_trouble)
    except Exception:
        cell.write(f'could not run: {traceback.format_exc()}')
        return COULD_NOT_RUN
    finally:
        try:
            await cell.close()
        finally:
            shutil.rmtree(folder)
    cell.write(f'broken: {broken}' if broken else 'held')
    sys.stdout.write(f'{broken or "held"}\n')
    return BROKEN if broken else HELD
