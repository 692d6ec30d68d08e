"""Tests of the row that assigns homes to teams."""

from radishlift.config.document import ConfigDocument, Partition
from radishlift.core.ids import ConfigVersion, PartitionId, TeamName
from radishlift.quotas.homes import QuotaHomes
from tests.partitions.owner import Config
from tests.standins.tables import Fault, MemoryTableStore

TEAMS = [TeamName(f't{number}') for number in range(20)]


def make_homes(store, *names):
    partitions = {PartitionId(name): Partition((name,)) for name in names}
    document = ConfigDocument(ConfigVersion(1), partitions=partitions)
    return QuotaHomes(store, Config(document))


async def test_daemons_with_different_partitions_agree_on_homes():
    """Guards against two homes that each grant the whole quota."""
    store = MemoryTableStore()
    first = make_homes(store, 'p1', 'p2')
    late = make_homes(store, 'p1', 'p2', 'p3', 'p4')
    await first.load()
    await late.load()
    homes = [first.home_of(team) for team in TEAMS]
    assert homes == [late.home_of(team) for team in TEAMS]
    assert set(homes) == {'p1', 'p2'}


async def test_lost_answer_is_resolved_by_reading():
    """Guards against a daemon that never reads its row after a lost answer."""
    store = MemoryTableStore()
    homes = make_homes(store, 'p1')
    store.fail_next_commits = [Fault.lose_answers]
    await homes.load()
    assert not homes.is_known
    await homes.load()
    assert homes.home_of(TEAMS[0]) == 'p1'
