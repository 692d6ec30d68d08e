"""Runs a case in a temporary folder and reports its result."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

from review.harness_3.cell import Cell, Record

HELD, BROKEN, NOT_RUN = 0, 1, 2


def main(case_folder, play, **options):
    """Plays a case; exits with 1 if the rule was broken, 2 without a result.

    `play` gets the cell and whether there is a disruption, and returns why
    the rule is broken, or None.
    """
    record = Record(Path(case_folder) / 'record.txt')
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    record.write('begin', trouble=int(is_troubled))
    try:
        reason = asyncio.run(_run(record, play, is_troubled, options))
    except Exception as error:
        record.write('not_run', error=repr(error))
        sys.stdout.write(f'not run: {error!r}\n')
        sys.exit(NOT_RUN)
    record.write('result', broken=reason)
    sys.stdout.write(f'broken: {reason}\n' if reason else 'held\n')
    sys.exit(BROKEN if reason else HELD)


async def _run(record, play, is_troubled, options):
    keep = os.environ.get('KEEP_LOGS')
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(
            Path(folder),
            record,
            options.get('route'),
            options.get('other_routes', ()),
        )
        try:
            async with asyncio.timeout(options.get('within_s', 110)):
                return await play(cell, is_troubled)
        finally:
            await cell.stop()
            if keep:
                _keep_logs(Path(folder), Path(keep))


def _keep_logs(folder, kept_folder):
    for path in folder.glob('*.log'):
        (kept_folder / path.name).write_text(path.read_text())
