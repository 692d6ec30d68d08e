"""Segments of answered keys, which snapshots refer to."""

from itertools import repeat

import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, Epoch, Sequence
from radishlift.journal.recovery import RecoveryResult, recover
from radishlift.journal.settings import JournalSettings
from radishlift.journal.snapshot_writer import SnapshotWriter
from radishlift.journal.snapshots import CapturedState
from radishlift.ownership.api import OWNERS_TABLE, OwnerClaim
from radishlift.requests.idempotency import (
    IdempotencyTable,
    RequestAnswered,
    RequestIntent,
    RequestNotSent,
    RequestsForgotten,
)
from radishlift.requests.key_segments import SEGMENT_MS
from radishlift.services.api import Transaction, Write
from tests.journal.states import PARTITION
from tests.standins.tables import Fault, MemoryObjectStore, MemoryTableStore

DAEMON = DaemonId('a')
START_MINUTE = 100
STEPS_COUNT = 60


def intent(key, minute, nonce='n'):
    at_ms = (START_MINUTE + minute) * SEGMENT_MS
    return RequestIntent(key, 'd', DAEMON, nonce, at_ms)


def answered(key, nonce='n', body=''):
    return RequestAnswered(key, nonce, 200, 'text/plain', body)


def add_keys(table, *minutes):
    """Adds two answered keys for each minute."""
    for minute in minutes:
        for number in range(2):
            key = f'{minute}-{number}'
            table.apply(intent(key, minute))
            table.apply(answered(key, body=key))


def forget_before(table, minute):
    before_ms = (START_MINUTE + minute) * SEGMENT_MS
    table.apply(RequestsForgotten(before_ms))


class FaultyObjects(MemoryObjectStore):
    """Fails before or after the write or delete of a given number."""

    def __init__(self):
        super().__init__()
        self.fail_after = None
        self.fail_before = None
        self.calls = []

    async def put(self, name, content):
        return await self._run(name, super().put(name, content))

    async def delete(self, name):
        return await self._run(f'-{name}', super().delete(name))

    def deleted(self):
        return [name for name in self.calls if name.startswith('-')]

    async def _run(self, name, call):
        index = len(self.calls)
        self.calls.append(name)
        if index == self.fail_before:
            call.close()
            return Failure(ErrorKind.store_unavailable, 'down')
        outcome = await call
        if index == self.fail_after:
            return Failure(ErrorKind.store_outcome_unknown, 'answer lost')
        return outcome


class SnapshotOwner:
    """An owner of a partition that stores snapshots of a table of keys."""

    def __init__(self, store, objects, epoch):
        self.store = store
        self.objects = objects
        write = Write(OWNERS_TABLE, PARTITION, {'epoch': epoch})
        committed = store.tables.commit(Transaction((), (write,)))
        version = committed.versions[0]
        self.claim = OwnerClaim(PARTITION, Epoch(epoch), version)
        self.table = IdempotencyTable()

    async def recover(self):
        outcome = await recover(
            self.store, self.objects, PARTITION, [self.table]
        )
        if isinstance(outcome, RecoveryResult):
            self.writer = SnapshotWriter(
                self.store,
                self.objects,
                self.claim,
                JournalSettings(),
                outcome.parts,
            )
        return outcome

    def offer(self, sequence):
        dumped = {'IdempotencyTable': self.table.dump()}
        self.writer.set_next_state(CapturedState(Sequence(sequence), dumped))

    async def step(self, count=STEPS_COUNT):
        """Runs steps of the snapshot writer; returns the last failure."""
        failure = None
        for _ in range(count):
            if not self.writer.has_work:
                break
            outcome = await self.writer.step(9)
            if isinstance(outcome, Failure):
                failure = outcome
        return failure

    async def snapshot(self, sequence):
        self.offer(sequence)
        return await self.step()

    def stored_row(self):
        return self.store.tables.read('snapshots', PARTITION).value


async def open_owner(store=None, objects=None, epoch=1):
    owner = SnapshotOwner(
        store or MemoryTableStore(), objects or FaultyObjects(), epoch
    )
    outcome = await owner.recover()
    assert isinstance(outcome, RecoveryResult), outcome
    return owner


def check_objects(owner):
    """Checks that exactly the objects in use exist."""
    row = owner.stored_row()
    assert set(owner.objects.objects) == {row['object_name'], *row['parts']}


async def check_recovery(owner, table, epoch=9):
    """Checks that a new owner recovers the same keys; returns it."""
    new_owner = await open_owner(owner.store, owner.objects, epoch)
    assert new_owner.table.dump() == table.dump()
    return new_owner


async def test_sealed_segments_are_stored_once():
    """A snapshot must not write sealed segments again."""
    owner = await open_owner()
    add_keys(owner.table, 0, 1, 2)
    await owner.snapshot(1)
    owner.objects.calls.clear()
    add_keys(owner.table, 3)
    await owner.snapshot(2)
    written = [name for name in owner.objects.calls if name[0] != '-']
    assert len(written) == 2
    assert written[0].startswith('segments/p1/IdempotencyTable-000000000102')
    check_objects(owner)
    await check_recovery(owner, owner.table)


async def test_segments_are_deleted_after_no_snapshot_names_them():
    """A segment must not be deleted before a snapshot without it is stored."""
    owner = await open_owner()
    add_keys(owner.table, 0, 1, 2)
    await owner.snapshot(1)
    forget_before(owner.table, 1)
    assert owner.table.get('0-0') is None
    add_keys(owner.table, 3)
    owner.objects.calls.clear()
    owner.store.fail_next_commits = [Fault.none, Fault.down]
    owner.offer(2)
    await owner.step(3)
    assert not owner.objects.deleted()
    await owner.step()
    check_objects(owner)
    assert len(owner.stored_row()['parts']) == 2


async def test_unanswered_key_keeps_no_segment_open():
    """A key without an answer must not keep its segment open.

    Else each snapshot would write all keys again after one lost answer.
    """
    owner = await open_owner()
    owner.table.apply(intent('lost', 0))
    add_keys(owner.table, 0, 1)
    owner.table.apply(intent('back', 1))
    dumped = owner.table.dump()
    assert [part.name for part in dumped.parts] == ['000000000100']
    await owner.snapshot(1)
    owner.table.apply(RequestNotSent('back', 'n'))
    add_keys(owner.table, 2)
    owner.table.apply(answered('lost', body='late'))
    await owner.snapshot(2)
    new_owner = await check_recovery(owner, owner.table)
    assert new_owner.table.get('lost').answered.body_base64 == 'late'
    assert new_owner.table.get('back') is None
    # The late answer is in the segment of minute 2.
    forget_before(new_owner.table, 2)
    assert new_owner.table.get('lost') is not None
    forget_before(new_owner.table, 3)
    assert new_owner.table.get('lost') is None
    assert new_owner.table.get('2-0') is None


@pytest.mark.parametrize('minute', range(3))
async def test_repeat_after_takeover_gets_the_first_answer(minute):
    """A new owner must not run a key of an old segment again."""
    owner = await open_owner()
    add_keys(owner.table, 0, 1, 2)
    await owner.snapshot(1)
    before = owner.table.get(f'{minute}-1')
    new_owner = await check_recovery(owner, owner.table)
    assert new_owner.table.get(f'{minute}-1') == before
    assert before.answered.body_base64 == f'{minute}-1'


@pytest.mark.parametrize('damage', ['missing', 'changed', 'empty', 'swapped'])
async def test_missing_or_damaged_segment_is_a_failure(damage):
    """Recovery must not go on without the keys of a segment."""
    owner = await open_owner()
    add_keys(owner.table, 0, 1, 2)
    await owner.snapshot(1)
    objects = owner.objects.objects
    first, second = owner.stored_row()['parts']
    if damage == 'missing':
        objects.pop(first)
    else:
        objects[first] = {
            'changed': objects[first][:-1] + b'?',
            'empty': b'',
            'swapped': objects[second],
        }[damage]
    new_owner = SnapshotOwner(owner.store, owner.objects, 2)
    outcome = await new_owner.recover()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.internal
    assert first in outcome.reason


async def test_outage_during_recovery_is_no_damage():
    """An outage of the store must not look like a damaged segment."""
    owner = await open_owner()
    add_keys(owner.table, 0, 1)
    await owner.snapshot(1)
    owner.objects.is_down = True
    outcome = await SnapshotOwner(owner.store, owner.objects, 2).recover()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.store_unavailable


async def start_second_snapshot(objects=None):
    """Returns an owner whose second snapshot adds and removes segments."""
    owner = await open_owner(objects=objects)
    add_keys(owner.table, 0, 1, 2)
    await owner.snapshot(1)
    forget_before(owner.table, 1)
    add_keys(owner.table, 3, 4)
    owner.objects.calls.clear()
    owner.offer(2)
    return owner


@pytest.mark.parametrize('steps_count', range(7))
async def test_kill_between_steps_leaves_only_what_is_removed(steps_count):
    """A kill at any step must lose no key and leave no object for good."""
    owner = await start_second_snapshot()
    at_first = IdempotencyTable()
    add_keys(at_first, 0, 1, 2)
    await owner.step(steps_count)
    is_stored = owner.stored_row()['sequence'] == 2
    expected = owner.table if is_stored else at_first
    new_owner = await check_recovery(owner, expected)
    await new_owner.step()
    check_objects(new_owner)
    add_keys(new_owner.table, 5)
    assert await new_owner.snapshot(3) is None
    check_objects(new_owner)
    await check_recovery(new_owner, new_owner.table, 10)


@pytest.mark.parametrize('steps_count', range(4))
async def test_kill_before_any_segment_is_sealed_leaves_nothing(steps_count):
    """A kill must not leave a snapshot object that no row names."""
    owner = await open_owner()
    add_keys(owner.table, 0)
    await owner.snapshot(1)
    add_keys(owner.table, 0)
    owner.offer(2)
    commit = owner.store.commit
    first_name = owner.stored_row()['object_name']

    async def refuse_snapshot(transaction):
        for write in transaction.writes:
            if write.value['object_name'] != first_name:
                return Failure(ErrorKind.store_unavailable, 'killed')
        return await commit(transaction)

    owner.store.commit = refuse_snapshot
    await owner.step(steps_count)
    assert owner.stored_row()['sequence'] == 1
    owner.store.commit = commit
    new_owner = await check_recovery(owner, owner.table)
    await new_owner.step()
    check_objects(new_owner)


@pytest.mark.parametrize('index', range(5))
@pytest.mark.parametrize('has_effect', [True, False])
async def test_lost_answers_of_the_object_store_are_resolved(index, has_effect):
    """A snapshot must not refer to a segment that was not stored."""
    owner = await start_second_snapshot()
    if has_effect:
        owner.objects.fail_after = index
    else:
        owner.objects.fail_before = index
    await owner.step()
    assert len(owner.objects.calls) > index
    owner.objects.fail_after = None
    owner.objects.fail_before = None
    assert owner.stored_row()['sequence'] == 2
    add_keys(owner.table, 5)
    assert await owner.snapshot(3) is None
    check_objects(owner)
    await check_recovery(owner, owner.table)


@pytest.mark.parametrize('index', range(3))
@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_lost_answers_of_the_row_are_resolved(index, fault):
    """Objects that the row names must not be deleted.

    The outcome of the write of the row is unknown here.
    """
    owner = await start_second_snapshot()
    owner.store.fail_next_commits = [*repeat(Fault.none, index), fault]
    await owner.step()
    assert owner.stored_row()['sequence'] == 2
    check_objects(owner)
    await check_recovery(owner, owner.table)


@pytest.mark.parametrize('steps_count', range(5))
async def test_deposed_owner_removes_only_its_own_new_objects(steps_count):
    """A deposed owner must not delete segments in use or leave its own."""
    owner = await start_second_snapshot()
    await owner.step(steps_count)
    new_owner = await open_owner(owner.store, owner.objects, 2)
    add_keys(new_owner.table, 5)
    assert await new_owner.snapshot(3) is None
    add_keys(owner.table, 6)
    owner.offer(4)
    await owner.step(5)
    check_objects(new_owner)
    await check_recovery(new_owner, new_owner.table, 10)


async def test_outdated_row_does_not_delete_objects_in_use():
    """A list of leftovers read before a commit must not be used."""
    owner = await start_second_snapshot()
    await owner.step(1)
    store = MemoryTableStore(owner.store.tables)
    store.freeze_reads()
    outdated = store._read_tables
    await owner.step()
    store.refresh_reads()
    new_owner = await open_owner(store, owner.objects, 2)
    store._read_tables = outdated
    failure = await new_owner.step(3)
    assert failure.kind is ErrorKind.conflict
    store.refresh_reads()
    await new_owner.step()
    check_objects(new_owner)
    await check_recovery(new_owner, owner.table)


async def test_outage_of_the_object_store_does_not_grow_the_row():
    """The row must not gain a name with each snapshot in an outage."""
    owner = await start_second_snapshot()
    owner.objects.is_down = True
    for sequence in range(3, 20):
        await owner.step(3)
        owner.offer(sequence)
    listed = len(owner.stored_row()['leftover'])
    assert listed <= 4
    owner.objects.is_down = False
    await owner.step()
    assert await owner.snapshot(30) is None
    check_objects(owner)


def test_table_of_an_earlier_snapshot_is_loaded():
    """An upgrade must keep the keys of a snapshot without segments."""
    old = [
        {
            'intent': {
                'key': 'k',
                'digest': 'd',
                'daemon_id': 'a',
                'nonce': 'n',
                'intent_at_ms': SEGMENT_MS,
            },
            'answered': {
                'key': 'k',
                'nonce': 'n',
                'status': 200,
                'content_type': '',
                'body_base64': 'Yg==',
                'is_kept': True,
                'failure_kind': '',
                'reason': '',
            },
        },
    ]
    table = IdempotencyTable()
    table.load(old)
    assert table.get('k').answered.body_base64 == 'Yg=='


def test_second_intent_of_a_dropped_key_wins_in_replay():
    """Replay must not return the answer of a run that the owner removed."""
    table = IdempotencyTable()
    table.apply(intent('k', 0))
    table.apply(answered('k', body='first'))
    table.apply(intent('k', 1, 'n2'))
    assert table.get('k').answered is None
    table.apply(answered('k', 'n2', 'second'))
    assert table.get('k').answered.body_base64 == 'second'


def test_intent_with_an_earlier_time_changes_no_sealed_segment():
    """A sealed segment must not change when wall clocks differ."""
    table = IdempotencyTable()
    add_keys(table, 0, 1)
    sealed = table.dump().parts[0]
    before = dict(sealed.content)
    table.apply(intent('late', 0))
    table.apply(answered('late'))
    assert sealed.content == before
    assert table.dump().parts == (sealed,)
