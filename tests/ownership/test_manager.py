import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import PartitionId
from tests.config.head_rows import put_head
from tests.ownership.fleet import Fleet
from tests.standins.tables import Fault

P0 = PartitionId('p0')


def assert_one_owner_each(fleet: Fleet) -> None:
    claimed = [
        partition_id
        for daemon in fleet.daemons
        for partition_id in daemon.claims
    ]
    assert len(claimed) == len(set(claimed))
    for daemon in fleet.daemons:
        for claim in daemon.claims.values():
            condition = claim.condition
            row = fleet.store.tables.read(condition.table, condition.key)
            assert row.version == condition.version


async def test_partitions_are_distributed_evenly():
    """Guards against one daemon that owns more than its share."""
    fleet = Fleet(70, *[f'd{number}' for number in range(7)])
    await fleet.run(60_000)
    assert set(fleet.owned_counts()) == {10}
    assert_one_owner_each(fleet)
    assert all(fleet.owner_rows().values())


async def test_surplus_is_released_one_at_a_time():
    """Guards against many partitions without an owner at a time."""
    fleet = Fleet(10, 'd1', 'd2')
    await fleet.run(2000, fleet.daemons[0])
    assert fleet.owned_counts() == [10, 0]
    for _ in range(30):
        await fleet.run(1000)
        free = [owner for owner in fleet.owner_rows().values() if not owner]
        assert len(free) <= 1
    assert fleet.owned_counts() == [5, 5]
    assert_one_owner_each(fleet)


@pytest.mark.parametrize('seed', range(5))
async def test_two_claimants_have_one_winner(seed):
    """Guards against two owners after a race."""
    fleet = Fleet(seed + 1, 'd1', 'd2')
    for daemon in fleet.daemons:
        await daemon.manager.renew()
    await fleet.run_once_concurrently()
    await fleet.run_once_concurrently()
    assert sum(fleet.owned_counts()) == seed + 1
    assert_one_owner_each(fleet)


async def test_unresponsive_owner_is_claimed_after_the_lease():
    """Guards against a claim before the lease of 10 s has expired.

    After it has expired, the partitions must be claimed.
    """
    fleet = Fleet(4, 'd1', 'd2')
    await fleet.balance()
    paused, new_owner = fleet.daemons
    held = set(paused.claims)
    epoch = max(claim.epoch for claim in paused.claims.values())
    await fleet.run(9000, new_owner)
    assert fleet.owned_counts() == [2, 2]
    await fleet.run(3000, new_owner)
    assert len(new_owner.claims) == 4
    assert max(claim.epoch for claim in new_owner.claims.values()) == epoch + 1
    await fleet.run(2000, paused)
    assert set(paused.events) == {
        ('lost', partition_id) for partition_id in held
    }
    assert_one_owner_each(fleet)


async def test_refused_connection_shortens_the_wait():
    """Guards against a wait of 10 s for a daemon that was killed."""
    fleet = Fleet(4, 'd1', 'd2')
    await fleet.balance()
    killed, new_owner = fleet.daemons
    new_owner.members.evidence.observe_refusal(killed.member)
    await fleet.run(1000, new_owner)
    assert len(new_owner.claims) == 4


async def test_missed_heartbeats_do_not_shorten_the_wait():
    """Guards against claiming partitions of an owner that is only suspected."""
    fleet = Fleet(4, 'd1', 'd2')
    await fleet.balance()
    fleet.daemons[1].members.suspected.add(fleet.daemons[0].daemon_id)
    await fleet.run(5000)
    assert fleet.owned_counts() == [2, 2]


@pytest.mark.parametrize('fault', [Fault.down, Fault.lose_requests])
async def test_nobody_claims_in_or_right_after_an_outage(fault):
    """Guards against claiming partitions whose owners could not renew."""
    fleet = Fleet(4, 'd1', 'd2')
    await fleet.balance()
    for daemon in fleet.daemons:
        daemon.store.fault = fault
    await fleet.run(60_000)
    assert fleet.owned_counts() == [2, 2]
    fleet.daemons[1].store.fault = Fault.none
    await fleet.run(5000, fleet.daemons[1])
    assert fleet.owned_counts() == [2, 2]
    fleet.daemons[0].store.fault = Fault.none
    await fleet.run(20_000)
    assert fleet.owned_counts() == [2, 2]
    assert not fleet.daemons[0].events


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_lost_answer_of_a_claim_is_resolved(fault):
    """Guards against a partition whose owner does not know of it."""
    fleet = Fleet(1, 'd1')
    await fleet.daemons[0].manager.renew()
    fleet.daemons[0].store.fail_next_commits = [fault]
    await fleet.daemons[0].manager.step()
    assert fleet.daemons[0].claims[P0].epoch == 1
    assert_one_owner_each(fleet)


async def test_claim_of_unknown_outcome_is_repeated_with_a_higher_epoch():
    """Guards against an owner row whose daemon does not run the partition."""
    fleet = Fleet(1, 'd1')
    await fleet.daemons[0].manager.renew()
    faults = [Fault.lose_answers, Fault.lose_requests, Fault.down]
    fleet.daemons[0].store.fail_next_commits = faults
    failure = await fleet.daemons[0].manager.step()
    assert failure.kind is ErrorKind.store_outcome_unknown
    assert not fleet.daemons[0].claims
    await fleet.run(1000)
    assert fleet.daemons[0].claims[P0].epoch == 2
    assert_one_owner_each(fleet)


async def test_restart_takes_over_at_once_and_stops_the_old_process():
    """Guards against two processes with one id, and against a 10 s wait."""
    fleet = Fleet(3, 'd1')
    await fleet.run(2000)
    old = fleet.daemons[0]
    new = fleet.add('d1', '2')
    await fleet.run(1000, new)
    assert len(new.claims) == 3
    assert (await old.manager.renew()).kind is ErrorKind.not_owner
    assert old.events.count('replaced') == 1
    assert not old.claims
    await fleet.run(2000, old, new)
    assert len(new.claims) == 3


async def test_owner_rows_are_read_on_changes_only():
    """Guards against control traffic that grows with the partitions."""
    fleet = Fleet(6, 'd1', 'd2')
    await fleet.balance()
    store = fleet.daemons[0].store
    scan = store.scan
    tables = []
    store.scan = lambda *query: (tables.append(query[0]), scan(*query))[1]
    await fleet.run(90_000)
    assert 2 <= tables.count('owners') <= 3
    tables.clear()
    await fleet.daemons[1].manager.stop()
    await fleet.daemons[0].run_once()
    assert tables.count('owners') == 1
    assert len(fleet.daemons[0].claims) == 6


async def test_planned_stop_releases_everything():
    """Guards against a wait of 10 s after a planned stop."""
    fleet = Fleet(4, 'd1', 'd2')
    await fleet.balance()
    stopped = fleet.daemons.pop(0)
    assert await stopped.manager.stop() is None
    assert not stopped.claims
    kinds = [event[0] for event in stopped.events]
    assert kinds == ['releasing', 'lost', 'releasing', 'lost']
    await fleet.run(1000)
    assert fleet.owned_counts() == [4]


async def test_partition_is_claimed_while_the_next_one_stops():
    """Guards against partitions that wait for the whole stop."""
    fleet = Fleet(4, 'd1', 'd2')
    await fleet.balance()
    stopped, new_owner = fleet.daemons
    counts = []

    async def on_releasing(partition_id: PartitionId) -> None:
        await new_owner.run_once()
        counts.append(len(new_owner.claims))

    stopped.on_releasing = on_releasing
    await stopped.manager.stop()
    assert counts == [2, 3]


async def test_stopped_daemon_writes_nothing_more():
    """Guards against the row of a daemon that does not run any more."""
    fleet = Fleet(2, 'd1')
    await fleet.balance()
    assert await fleet.daemons[0].manager.stop() is None
    await fleet.run(5000)
    assert await fleet.daemons[0].manager.stop() is None
    assert not fleet.daemons[0].claims
    assert not fleet.store.tables.scan('daemons', '', '', 9)


async def test_row_of_a_dead_daemon_is_deleted_after_an_hour():
    """Guards against a table that grows with each replaced host."""
    fleet = Fleet(2, 'd1', 'd2', 'd3')
    await fleet.balance()
    dead, paused, other = fleet.daemons
    other.members.evidence.observe_refusal(dead.member)
    await fleet.run(3_590_000, other)
    assert len(fleet.store.tables.scan('daemons', '', '', 9)) == 3
    await fleet.run(60_000, other)
    rows = fleet.store.tables.scan('daemons', '', '', 9)
    assert [row.key for row in rows] == [paused.daemon_id, other.daemon_id]


async def test_stop_in_an_outage_continues_after_it():
    """Guards against a stopped partition whose row is not released."""
    fleet = Fleet(2, 'd1')
    await fleet.run(1000)
    daemon = fleet.daemons[0]
    daemon.store.fail_next_commits = [Fault.none, Fault.down]
    assert isinstance(await daemon.manager.stop(), Failure)
    assert len(daemon.claims) == 2
    assert await daemon.manager.stop() is None
    assert daemon.events.count(('releasing', P0)) == 1
    assert set(fleet.owner_rows().values()) == {''}


async def test_dropped_partition_is_claimed_with_a_higher_epoch():
    """Guards against delayed journal inserts of the previous epoch."""
    fleet = Fleet(1, 'd1')
    await fleet.run(1000)
    daemon = fleet.daemons[0]
    await daemon.manager.drop(P0)
    assert not daemon.claims
    await fleet.run(1000)
    assert daemon.claims[P0].epoch == 2


async def test_directory_names_owners_and_homes():
    fleet = Fleet(5, 'd1')
    await fleet.run(1000)
    directory = fleet.daemons[0].directory
    assert directory.home_of('job') is None
    put_head(fleet.store.tables, 1)
    await fleet.daemons[0].homes.load()
    assert directory.owner_of(P0) == 'd1'
    assert directory.owner_of(PartitionId('p99')) is None
    homes = {directory.home_of(f'job-{number}') for number in range(100)}
    assert len(homes) == 5
