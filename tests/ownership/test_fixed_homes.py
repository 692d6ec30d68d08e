"""The row that fixes the homes of job ids and keys."""

import asyncio

import pytest

from radishlift.config.homes import HOMES_KEY, JOB_HOMES_TABLE
from radishlift.core.ids import DaemonId
from tests.config.head_rows import put_head, put_homes
from tests.requests.key_homes import ChangingPartitions, make_document
from tests.standins.tables import Fault, MemoryTableStore

KEYS = [f'k{number}' for number in range(50)]


def make_homes(store, version, *names):
    made = ChangingPartitions(make_document(version, *names), store=store)
    made.directory_of(DaemonId('d'))
    return made.homes[DaemonId('d')]


@pytest.fixture
def store():
    rows = MemoryTableStore()
    put_head(rows.tables, 2)
    return rows


async def test_racing_daemons_agree_on_homes(store):
    """Guards against two homes of a key while a document is distributed."""
    outdated = make_homes(store, 1, 'p1')
    racers = [make_homes(store, 2, 'p1', 'p2') for _ in range(4)]
    await asyncio.gather(
        *(job_homes.load() for job_homes in (outdated, *racers))
    )
    await outdated.load()
    homes = {
        tuple(map(job_homes.home_of, KEYS)) for job_homes in (outdated, *racers)
    }
    assert len(homes) == 1
    assert set(*homes) == {'p1', 'p2'}


async def test_only_the_newest_document_gives_homes(store):
    """Guards against a home that the newest document no longer has."""
    outdated = make_homes(store, 1, 'p1', 'p9')
    await outdated.load()
    assert not store.tables.read(JOB_HOMES_TABLE, HOMES_KEY).version
    assert outdated.home_of('k') is None


async def test_head_that_moves_before_the_write_prevents_it(store):
    """Guards against a write that was checked against an outdated head."""
    homes = make_homes(store, 2, 'p1')
    store.freeze_reads()
    put_head(store.tables, 3)
    await homes.load()
    assert not homes.is_known
    assert not store.tables.read(JOB_HOMES_TABLE, HOMES_KEY).version


async def test_outdated_read_does_not_replace_the_row(store):
    """Guards against a second row after a read that missed the first."""
    store.freeze_reads()
    put_homes(store.tables, 'p1')
    homes = make_homes(store, 2, 'p1', 'p2')
    await homes.load()
    assert homes.partitions == ('p1',)


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_unknown_outcome_is_resolved_by_reading(store, fault):
    """Guards against a daemon that uses homes which were not written."""
    homes = make_homes(store, 2, 'p1')
    store.fail_next_commits = [fault]
    await homes.load()
    assert not homes.is_known
    for late in store.lost_requests:
        store.tables.commit(late)
    await homes.load()
    assert homes.home_of('k') == 'p1'


@pytest.mark.parametrize('stored', [None, {}, {'partitions': []}, ['p1']])
async def test_unreadable_row_gives_no_homes(store, stored):
    """Guards against homes that are guessed from a damaged row."""
    homes = make_homes(store, 2, 'p1')
    put_homes(store.tables, 'p1')
    row = store.tables.read(JOB_HOMES_TABLE, HOMES_KEY)
    if stored is None:
        stored = {'partitions': [1]}
    object.__setattr__(row, 'value', stored)
    await homes.load()
    assert not homes.is_known
