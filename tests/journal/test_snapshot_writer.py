import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.journal.recovery import RecoveryResult, recover
from radishlift.journal.rows import row_key
from tests.journal.states import PARTITION, NumberList, Owner, recovered_numbers
from tests.standins.tables import Fault, MemoryTableStore


@pytest.fixture
async def owner():
    owner = Owner(MemoryTableStore(), snapshot_rows_count=3)
    await owner.open(1)
    for number in range(4):
        owner.append_numbers(number)
        await owner.journal.flush()
    return owner


def journal_keys(owner: Owner) -> list[str]:
    return [row.key for row in owner.store.tables.scan('journal', '', '', 99)]


async def test_recovery_reads_the_snapshot_and_later_rows(owner):
    """Guards against records that are applied twice or not at all."""
    assert await owner.snapshot() == 1
    state = NumberList()
    outcome = await recover(owner.store, owner.objects, PARTITION, [state])
    assert outcome == RecoveryResult(5, 3, 1, 1)
    assert state.numbers == [0, 1, 2, 3]


async def test_covered_rows_are_deleted_within_the_given_writes(owner):
    """Guards against deletions that use up the write rate."""
    await owner.snapshot()
    assert await owner.snapshot_writer.step(2) == 2
    assert await owner.snapshot_writer.step(9) == 1
    assert await owner.snapshot_writer.step(9) == 0
    assert not owner.snapshot_writer.has_work
    assert journal_keys(owner) == [row_key(PARTITION, 4)]
    assert await recovered_numbers(owner.store, owner.objects) == [0, 1, 2, 3]


async def test_snapshot_ahead_of_all_rows_recovers(owner):
    """Guards against a sequence that is used twice after a deletion."""
    await owner.snapshot()
    owner.store.tables._tables['journal'].clear()
    state = NumberList()
    outcome = await recover(owner.store, owner.objects, PARTITION, [state])
    assert outcome == RecoveryResult(4, 3, 0, 0)


async def test_delayed_duplicate_of_a_deleted_row_is_ignored(owner):
    """Guards against a delayed retry that is replayed after the snapshot."""
    late = owner.store.tables.history[1]
    await owner.snapshot()
    await owner.snapshot_writer.step(9)
    owner.store.tables.commit(late)
    assert row_key(PARTITION, 1) in journal_keys(owner)
    assert await recovered_numbers(owner.store, owner.objects) == [0, 1, 2, 3]


async def test_state_with_pending_records_is_not_captured():
    """Guards against a snapshot with records of later rows."""
    owner = Owner(MemoryTableStore(), snapshot_rows_count=1, row_bytes=1024)
    await owner.open(1)
    owner.append_numbers(1, 2, padding='x' * 700)
    await owner.journal.flush(max_rows=1)
    assert owner.journal.pop_captured_state() is None
    await owner.journal.flush()
    captured = owner.journal.pop_captured_state()
    assert (captured.sequence, captured.dumped) == (2, {'NumberList': [1, 2]})


@pytest.mark.parametrize('has_new_owner_snapshot', [True, False])
async def test_deposed_owner_can_not_replace_a_snapshot(
    owner, has_new_owner_snapshot
):
    """Guards against a previous owner that replaces a later snapshot."""
    new_owner = Owner(owner.store, owner.objects, snapshot_rows_count=3)
    await new_owner.open(2)
    new_owner.append_numbers(4)
    await new_owner.journal.flush()
    if has_new_owner_snapshot:
        assert await new_owner.snapshot() == 1
    before = dict(owner.objects.objects)
    outcome = await owner.snapshot()
    if has_new_owner_snapshot:
        assert outcome == 0
        outcome = await owner.snapshot_writer.step(9)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.not_owner
    assert owner.objects.objects == before
    numbers = await recovered_numbers(owner.store, owner.objects)
    assert numbers == [0, 1, 2, 3, 4]


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_lost_answer_of_the_snapshot_row_is_resolved(owner, fault):
    """Guards against deleting the object that the snapshot row refers to."""
    owner.store.fail_next_commits = [fault]
    failure = await owner.snapshot()
    assert failure.kind is ErrorKind.store_outcome_unknown
    assert await owner.snapshot_writer.step(1) in {0, 1}
    assert await owner.snapshot_writer.step(9) == 3
    assert await recovered_numbers(owner.store, owner.objects) == [0, 1, 2, 3]


async def test_outage_of_the_object_store_keeps_the_rows(owner):
    """Guards against rows deleted before their snapshot is stored."""
    owner.objects.is_down = True
    assert (await owner.snapshot()).kind is ErrorKind.store_unavailable
    assert len(journal_keys(owner)) == 4
    owner.objects.is_down = False
    assert await owner.snapshot_writer.step(1) == 1
