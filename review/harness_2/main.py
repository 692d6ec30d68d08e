"""Runs a case in a temporary folder; exits with 1, 0 or 2."""

import asyncio
import os
import shutil
import sys
import tempfile
import traceback

from review.harness_2.cell import Cell

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


def run_case(play, record):
    """Plays a case; `play` returns what broke the rule, '' if nothing did."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(asyncio.run(_run(play, record, has_trouble=has_trouble)))


async def _run(play, record, *, has_trouble):
    folder = tempfile.mkdtemp(prefix='review-')
    cell = Cell(folder, record)
    try:
        broken = await play(cell, has_trouble)
    except Exception:
        cell.write(f'could not run: {traceback.format_exc()}')
        return COULD_NOT_RUN
    finally:
        await cell.close()
        if 'KEEP' in os.environ:
            sys.stdout.write(f'{folder}\n')
        else:
            shutil.rmtree(folder)
    cell.write(f'broken: {broken}' if broken else 'held')
    sys.stdout.write(f'{broken or "held"}\n')
    return BROKEN if broken else HELD
