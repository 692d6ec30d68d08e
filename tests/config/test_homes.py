"""Removals of partitions from the document."""

import pytest

from radishlift.config.changes import Change, ChangeAccepted, ChangeInvalid
from radishlift.config.homes import HOMES_KEY, JOB_HOMES_TABLE
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.ownership.fixed_homes import JobHomes
from tests.config.documents import TEXT
from tests.config.head_rows import put_homes
from tests.config.test_store import NONE, ONE, RacedStore, make_store
from tests.requests.key_homes import DaemonConfig
from tests.standins.tables import Fault, MemoryTableStore

HOME = '[partition:pinetown-1]\nracks = pinetown/r1, pinetown/r2\n'
ADDED = '\n[partition:p2]\nracks = r9\n'
WITHOUT_HOME = Change(TEXT.replace(HOME, ADDED), ONE, 'ann', 'move')
EMPTIED = TEXT.replace('racks = pinetown/r1, pinetown/r2', 'racks =')


@pytest.fixture
async def rows():
    store = MemoryTableStore()
    await make_store(store).change(Change(TEXT, NONE, 'ann', 'first'))
    return store


async def test_change_that_removes_a_home_is_refused_with_the_reason(rows):
    """Guards against ids and keys without a home."""
    put_homes(rows.tables, 'pinetown-1')
    refused = await make_store(rows).change(WITHOUT_HOME)
    assert isinstance(refused, ChangeInvalid)
    assert [error.section for error in refused.errors] == [
        'partition:pinetown-1'
    ]
    assert 'home of job ids and idempotency keys' in str(refused.errors[0])


async def test_rollback_to_a_version_without_a_home_is_refused(rows):
    """Guards against a home that is removed by a rollback."""
    store = make_store(rows)
    await store.change(Change(TEXT + ADDED, ONE, 'ann', 'add'))
    put_homes(rows.tables, 'p2', 'pinetown-1')
    refused = await store.rollback(ONE, ConfigVersion(2), 'ben', 'back')
    assert isinstance(refused, ChangeInvalid)


async def test_home_without_racks_and_a_removed_other_are_accepted(rows):
    """Guards against racks that can't be moved away from a home."""
    put_homes(rows.tables, 'pinetown-1')
    store = make_store(rows)
    emptied = await store.change(Change(EMPTIED + ADDED, ONE, 'ann', 'x'))
    assert isinstance(emptied, ChangeAccepted), emptied
    assert not emptied.document.partitions['pinetown-1'].racks
    removed = Change(EMPTIED, ConfigVersion(2), 'ann', 'x')
    assert isinstance(await store.change(removed), ChangeAccepted)


@pytest.mark.parametrize('checked_count', [0, 1])
async def test_homes_written_during_a_removal_refuse_it(rows, checked_count):
    """Guards against a home that is fixed and removed at the same time."""
    commit = rows.commit
    commits = []

    async def fix_then_commit(transaction):
        # The first commit checks the read, the second writes the version.
        if len(commits) == checked_count:
            put_homes(rows.tables, 'pinetown-1')
        commits.append(transaction)
        return await commit(transaction)

    rows.commit = fix_then_commit
    refused = await make_store(rows).change(WITHOUT_HOME)
    assert isinstance(refused, ChangeInvalid), refused


async def test_removal_during_the_write_of_homes_prevents_it(rows):
    """Guards against a home that the newest document does not have."""
    accepted = await make_store(rows).snapshot(ONE)

    async def remove():
        await make_store(MemoryTableStore(rows.tables)).change(WITHOUT_HOME)

    config = DaemonConfig(accepted.document)
    homes = JobHomes(RacedStore(rows.tables, remove), config)
    await homes.load()
    assert not homes.is_known
    assert not rows.tables.read(JOB_HOMES_TABLE, HOMES_KEY).version


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_removal_with_a_lost_answer_is_settled(rows, fault):
    """Guards against a removal whose outcome is told wrongly."""
    rows.fail_next_commits = [Fault.none, fault]
    accepted = await make_store(rows).change(WITHOUT_HOME)
    assert isinstance(accepted, ChangeAccepted)
    assert accepted.version == 2


async def test_homes_written_after_a_lost_removal_refuse_it(rows):
    """Guards against "unknown" for a removal that was surely not written."""
    store = make_store(rows)
    rows.fail_next_commits = [Fault.none, Fault.lose_requests]
    commit = rows.commit

    async def fix_then_commit(transaction):
        if rows.lost_requests:
            put_once(rows)
        return await commit(transaction)

    rows.commit = fix_then_commit
    refused = await store.change(WITHOUT_HOME)
    assert isinstance(refused, ChangeInvalid), refused


def put_once(rows):
    if not rows.tables.read(JOB_HOMES_TABLE, HOMES_KEY).version:
        put_homes(rows.tables, 'pinetown-1')


async def test_removal_during_an_outage_is_not_run(rows):
    """Guards against a removal that is accepted without knowing the homes."""
    store = make_store(rows)
    rows.fail_next_commits = [Fault.lose_answers]
    refused = await store.change(WITHOUT_HOME)
    assert isinstance(refused, Failure)
    assert refused.kind is ErrorKind.store_unavailable
