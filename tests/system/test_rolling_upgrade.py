from dataclasses import replace

import pytest

from radishlift.core.levels import FORMAT_LEVEL
from tests.system.cell import Cell
from tests.system.invariants import check_all, count_outcomes
from tests.system.shapes import SHAPES
from tests.system.traffic import (
    LoadOptions,
    collect_evidence,
    send_traffic,
    unfinished_jobs,
)

pytestmark = pytest.mark.system

SHAPE = replace(SHAPES['rug_depot'], executors_count=8)
OPTIONS = LoadOptions(requests_per_s=50, jobs_per_s=5, duration_ms=5_000)
PRESENT = ('radishlift.daemon.main',)
NEXT = ('tests.system.next_version',)
STRICT = ('tests.system.broken_daemon', 'parses_strictly')
LEVEL_TIMEOUT_S = 30
NEXT_LEVEL = FORMAT_LEVEL + 1
TAKEOVER_TIMEOUT_S = 40


def at_level(level):
    """Returns the levels of three daemons that use the same one."""
    return [level, level, level]


async def restart(cell, name, module):
    """Stops a daemon as planned and starts it with another version."""
    cell.daemon_modules[name] = module
    await cell.terminate_daemons([name])
    await cell.start_daemon(name)
    await cell.wait_ready(cell.names, TAKEOVER_TIMEOUT_S)


async def levels(cell):
    """Returns the cell level that each daemon uses."""
    answers = [await cell.get(name, '/v1/status') for name in cell.names]
    return [state['cell_level'] for status, state in answers if status == 200]


async def declined(cell, name):
    status, state = await cell.get(name, '/v1/status')
    return state['declined'] if status == 200 else []


def count_logged(cell, name, text):
    log = cell.folder / 'logs' / f'{name}.log'
    return log.read_text(encoding='utf-8').count(text)


async def upgrade_and_roll_back(cell, seen):
    """Upgrades two daemons, rolls one back, upgrades all, rolls one back."""

    async def uses_present_level():
        return await levels(cell) == at_level(FORMAT_LEVEL)

    await cell.wait_for(uses_present_level, LEVEL_TIMEOUT_S)
    await restart(cell, 'd1', NEXT)
    await restart(cell, 'd2', NEXT)
    await restart(cell, 'd2', PRESENT)
    seen['mixed'] = await levels(cell)
    seen['early_pings'] = count_logged(cell, 'd1', 'next_ping')
    await restart(cell, 'd2', NEXT)
    await restart(cell, 'd3', NEXT)

    async def uses_next_level():
        return await levels(cell) == at_level(NEXT_LEVEL) and all(
            count_logged(cell, name, 'next_ping answered')
            for name in cell.names
        )

    await cell.wait_for(uses_next_level, LEVEL_TIMEOUT_S)
    cell.daemon_modules['d3'] = PRESENT
    await cell.terminate_daemons(['d3'])
    await cell.start_daemon('d3')

    async def has_declined():
        return bool(await declined(cell, 'd3'))

    # Each partition has records that the previous version can't read.
    await cell.wait_for(has_declined, TAKEOVER_TIMEOUT_S)
    await cell.wait_ready(['d1', 'd2'], TAKEOVER_TIMEOUT_S)
    seen['alarms'] = count_logged(cell, 'd3', 'event=partition_declined')
    seen['declined'] = await declined(cell, 'd3')
    seen['levels_after'] = (await levels(cell))[:2]
    await restart(cell, 'd3', NEXT)


async def run_cell(cell, script):
    try:
        await cell.start()
        results = await send_traffic(cell, OPTIONS, script)
        open_jobs = await unfinished_jobs(cell, results, 30)
        return results, await collect_evidence(cell, results, open_jobs)
    finally:
        await cell.stop()


async def test_versions_share_a_cell_through_upgrade_and_rollback(tmp_path):
    """Guards against an upgrade or rollback that loses work."""
    cell = Cell(
        tmp_path,
        (SHAPE,),
        daemons_count=3,
        extra_settings='\n[ownership]\nlevel_wait_ms = 2000\n',
    )
    seen = {}
    results, evidence = await run_cell(
        cell,
        lambda: upgrade_and_roll_back(cell, seen),
    )
    assert not check_all(evidence)
    outcomes = count_outcomes(results)
    assert outcomes['answered'] > 0
    assert outcomes['job_accepted'] > 0
    # A daemon that has just started uses the lowest level for a while.
    assert max(seen['mixed']) == FORMAT_LEVEL
    assert not seen['early_pings']
    # One alarm for each partition: it is not claimed again.
    assert seen['declined']
    assert seen['alarms'] == len(seen['declined'])
    # A level that is in use is never lowered.
    assert seen['levels_after'] == at_level(NEXT_LEVEL)[:2]
    for name in cell.names:
        assert not count_logged(cell, name, 'event=bad_')


async def test_strict_daemons_can_not_share_a_cell(tmp_path):
    """Guards against an upgrade test that daemons of any version pass.

    Daemons that reject unknown fields must log rows of the next version as bad.
    """
    cell = Cell(tmp_path, (SHAPE,), daemons_count=2, daemon_module=STRICT)
    try:
        await cell.start()
        cell.daemon_modules['d2'] = NEXT
        await cell.terminate_daemons(['d2'])
        await cell.start_daemon('d2')

        async def refuses():
            return count_logged(cell, 'd1', 'event=bad_daemon_row') > 0

        await cell.wait_for(refuses, TAKEOVER_TIMEOUT_S)
    finally:
        await cell.stop()
