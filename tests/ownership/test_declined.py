import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishlift.core.ids import DaemonId, PartitionId
from radishlift.ownership.rendezvous import assign_partitions
from tests.ownership.fleet import Fleet
from tests.standins.tables import Fault

DAEMONS = tuple(DaemonId(f'd{number}') for number in range(4))
PARTITIONS = tuple(PartitionId(f'p{number}') for number in range(8))
DECLINED = st.dictionaries(
    st.sampled_from(DAEMONS),
    st.sets(st.sampled_from(PARTITIONS)),
)
HOLDERS = st.dictionaries(st.sampled_from(PARTITIONS), st.sampled_from(DAEMONS))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(DECLINED, HOLDERS)
def test_declined_partitions_are_assigned_to_the_others(declined, holders):
    """Guards against a partition assigned to a daemon that declined it."""
    assigned = assign_partitions(
        PARTITIONS, holders, DAEMONS, DAEMONS, declined
    )
    for partition_id, daemon_id in assigned.items():
        assert partition_id not in declined.get(daemon_id, ())
    undeclined = assign_partitions(PARTITIONS, holders, DAEMONS, DAEMONS)
    assert undeclined.keys() == set(PARTITIONS)


@pytest.mark.parametrize('names', [('d1', 'd2'), ('d1', 'd2', 'd3')])
async def test_declined_partition_moves_to_another_daemon_for_good(names):
    """Guards against endless claims and against a missing owner."""
    fleet = Fleet(len(names), *names)
    await fleet.balance()
    daemon = fleet.daemons[0]
    declined = next(iter(daemon.claims))
    await daemon.manager.decline(declined)
    await fleet.run(10_000)
    owner = fleet.owner_rows()[declined]
    assert owner not in {'', daemon.daemon_id}
    epoch = fleet.store.tables.read('owners', declined).value['epoch']
    await fleet.run(60_000)
    row = fleet.store.tables.read('owners', declined)
    assert (row.value['daemon_id'], row.value['epoch']) == (owner, epoch)
    assert all(fleet.owner_rows().values())


async def test_release_that_fails_in_the_store_is_retried():
    """Guards against a partition that nobody may claim after an outage."""
    fleet = Fleet(2, 'd1', 'd2')
    await fleet.balance()
    daemon = fleet.daemons[0]
    declined = next(iter(daemon.claims))
    daemon.store.fault = Fault.down
    await daemon.manager.decline(declined)
    daemon.store.fault = None
    await fleet.run(10_000)
    assert fleet.owner_rows()[declined] == 'd2'


async def test_nobody_claims_what_all_have_declined():
    """Guards against daemons that claim an unreadable journal in turn."""
    fleet = Fleet(2, 'd1', 'd2')
    await fleet.balance()
    declined = next(iter(fleet.daemons[0].claims))
    for daemon in fleet.daemons:
        await daemon.manager.decline(declined)
        await fleet.run(5000)
    await fleet.run(60_000)
    assert not fleet.owner_rows()[declined]
    assert all(declined not in daemon.claims for daemon in fleet.daemons)
