from dataclasses import dataclass, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishlift.core.ids import DaemonId, PartitionId
from radishlift.core.levels import (
    FORMAT_LEVEL,
    common_level,
    level_to_announce,
    normalize_level,
)
from radishlift.membership.daemon_rows import DAEMONS_TABLE
from radishlift.ownership.cell_level import CellLevel
from radishlift.ownership.settings import OwnershipSettings
from radishlift.report.exposition import format_level_samples
from radishlift.report.samples import format_exposition
from radishlift.services.api import Transaction, Write
from radishlift.wire.messages import message
from tests.ownership.fleet import Fleet

HIGH = 3
SETTINGS = OwnershipSettings(level_wait_ms=4000)
LEVELS = st.lists(st.integers(1, 5), min_size=1, max_size=5)


@message('test_newer_kind', HIGH)
@dataclass(frozen=True, slots=True)
class NewerKind:
    """A kind of message that needs a high level."""


def announce(daemon, level):
    own_row = daemon.own_row
    own_row._row = replace(own_row._row, format_level=level)


def watch(fleet, *levels):
    for daemon, level in zip(fleet.daemons, levels, strict=True):
        announce(daemon, level)
    return [
        CellLevel(daemon.manager._view, fleet.clock, SETTINGS)
        for daemon in fleet.daemons
    ]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(LEVELS)
def test_lowest_level_is_supported_by_all(levels):
    """Guards against a level that one daemon does not have."""
    lowest = common_level(levels)
    assert lowest in levels
    assert all(lowest <= level for level in levels)
    assert common_level([*levels, None]) == 1
    assert common_level([]) == 1


@pytest.mark.parametrize('announced', [None, 0, -1, '3', True, 2.5])
def test_absent_or_unknown_level_is_the_lowest(announced):
    """Guards against a newer message type that is sent to an old daemon."""
    assert normalize_level(announced) == 1


def test_limit_of_the_settings_keeps_the_announced_level():
    """Guards against an upgrade that can't be rolled back."""
    assert level_to_announce(0) == FORMAT_LEVEL
    assert level_to_announce(1) == 1
    assert level_to_announce(FORMAT_LEVEL + 1) == FORMAT_LEVEL


async def test_level_rises_with_the_last_old_daemon_and_stays():
    """Guards against a level that is used too early, or lowered."""
    fleet = Fleet(2, 'd1', 'd2')
    cell_levels = watch(fleet, HIGH, 1)
    await fleet.run(5000)
    assert [cell_level.level for cell_level in cell_levels] == [1, 1]
    assert not cell_levels[0].allows(NewerKind)
    announce(fleet.daemons[1], HIGH)
    await fleet.run(4000)
    assert [cell_level.level for cell_level in cell_levels] == [1, 1]
    await fleet.run(4000)
    assert [cell_level.level for cell_level in cell_levels] == [HIGH, HIGH]
    assert cell_levels[0].allows(NewerKind)
    announce(fleet.daemons[1], 1)
    await fleet.run(5000)
    assert [cell_level.level for cell_level in cell_levels] == [HIGH, HIGH]
    levels = {
        row.daemon_id: row.format_level for row in cell_levels[0].formats()
    }
    assert levels == {'d1': HIGH, 'd2': 1}


async def test_unresponsive_daemon_counts_until_its_lease_has_expired():
    """Guards against a level that a paused old daemon can't read."""
    fleet = Fleet(2, 'd1', 'd2')
    cell_levels = watch(fleet, HIGH, 1)
    await fleet.run(5000)
    await fleet.run(8000, fleet.daemons[0])
    assert cell_levels[0].level == 1
    await fleet.run(8000, fleet.daemons[0])
    assert cell_levels[0].level == HIGH


async def test_first_daemon_of_a_cell_waits_for_the_others():
    """Guards against a level that is raised before others have a row."""
    fleet = Fleet(2, 'd1', 'd2')
    cell_levels = watch(fleet, HIGH, 1)
    for _ in range(3):
        # The old daemon restarts repeatedly and has no row in between.
        await fleet.run(3000, fleet.daemons[0])
        await fleet.run(3000)
        await fleet.daemons[1].manager.stop()
        fleet.daemons[1] = fleet.add('d2', '2')
    assert cell_levels[0].level == 1


async def test_pause_starts_the_wait_again():
    """Guards against a wait that includes time without scans."""
    fleet = Fleet(2, 'd1')
    cell_level = watch(fleet, HIGH)[0]
    await fleet.run(2000)
    fleet.clock.advance(60_000)
    await fleet.run(2000)
    assert cell_level.level == 1
    await fleet.run(6000)
    assert cell_level.level == HIGH


async def test_unreadable_row_holds_the_level_down():
    """Guards against ignoring a daemon because its row is damaged."""
    fleet = Fleet(1, 'd1')
    row = Write(DAEMONS_TABLE, DaemonId('odd'), {'incarnation': 7})
    fleet.store.tables.commit(Transaction((), (row,)))
    cell_level = watch(fleet, HIGH)[0]
    await fleet.run(5000)
    assert cell_level.level == 1
    assert cell_level.formats()[-1].daemon_id == 'odd'


async def test_metrics_have_the_level_and_declined_partitions():
    """Guards against a state that monitoring can't detect."""
    fleet = Fleet(1, 'd1', 'd2')
    cell_level = watch(fleet, HIGH, HIGH)[1]
    await fleet.run(8000)
    await fleet.daemons[0].manager.decline(PartitionId('p0'))
    await fleet.run(3000)
    text = format_exposition(format_level_samples(cell_level))
    assert f'radishlift_cell_format_level {HIGH}' in text
    assert 'radishlift_declined_partitions{daemon="d1"} 1' in text
    assert 'radishlift_declined_partitions{daemon="d2"} 0' in text
