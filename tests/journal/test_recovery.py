import pytest
from msgpack import packb, unpackb

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.kinds import UnknownFormat
from radishlift.journal.recovery import recover
from radishlift.journal.rows import row_key
from radishlift.services.api import Row
from tests.journal.states import PARTITION, NumberList, Owner
from tests.standins.tables import Fault, MemoryTableStore

GOOD = {'epoch': 1, 'nonce': 'n', 'records': []}


@pytest.fixture
async def owner():
    owner = Owner(MemoryTableStore(), snapshot_rows_count=2)
    await owner.open(1)
    for number in range(5):
        owner.append_numbers(number)
        await owner.journal.flush()
    return owner


async def recover_failure(owner: Owner) -> Failure:
    outcome = await recover(
        owner.store, owner.objects, PARTITION, [NumberList()]
    )
    assert isinstance(outcome, Failure)
    return outcome


@pytest.mark.parametrize('sequence', [1, 3])
async def test_missing_row_is_an_error(owner, sequence):
    """Guards against acknowledged records that are silently skipped."""
    del owner.store.tables._tables['journal'][row_key(PARTITION, sequence)]
    failure = await recover_failure(owner)
    assert failure.kind is ErrorKind.internal
    assert row_key(PARTITION, sequence) in failure.reason


@pytest.mark.parametrize(
    'damaged',
    [
        {'epoch': 1},
        {**GOOD, 'records': [['no_such_record', {}]]},
        {**GOOD, 'records': [['test_noted', {'number': 'text'}]]},
        {**GOOD, 'records': [['job_handed_off', {}]]},
        {**GOOD, 'epoch': 0},
    ],
)
async def test_unreadable_row_is_an_error(owner, damaged):
    """Guards against a partition that runs on damaged state."""
    key = row_key(PARTITION, 3)
    owner.store.tables._tables['journal'][key] = Row('journal', key, 9, damaged)
    failure = await recover_failure(owner)
    assert failure.kind is ErrorKind.internal
    assert key in failure.reason


@pytest.mark.parametrize('content', [b'', b'\xc1', b'\x80', None])
async def test_damaged_snapshot_is_an_error(owner, content):
    """Guards against a start from an empty state after damage."""
    await owner.snapshot()
    name = next(iter(owner.objects.objects))
    owner.objects.objects[name] = content
    if content is None:
        del owner.objects.objects[name]
    assert (await recover_failure(owner)).kind in {
        ErrorKind.internal,
        ErrorKind.not_found,
    }


async def test_outage_is_not_an_empty_journal(owner):
    """Guards against a partition that starts empty during an outage."""
    owner.store.fault = Fault.down
    failure = await recover_failure(owner)
    assert failure.kind is ErrorKind.store_unavailable


async def test_record_of_unknown_kind_is_not_reported_as_damage(owner):
    """Guards against repeated claims of a partition of a newer version."""
    key = row_key(PARTITION, 3)
    newer = {**GOOD, 'records': [['test_of_tomorrow', {}]], 'added': 1}
    owner.store.tables._tables['journal'][key] = Row('journal', key, 9, newer)
    failure = await recover_failure(owner)
    assert isinstance(failure, UnknownFormat)
    assert key in failure.reason


async def test_fields_of_a_newer_version_are_replayed(owner):
    """Guards against a journal that an older daemon can't take over."""
    rows = owner.store.tables._tables['journal']
    for key, row in rows.items():
        records = [
            [name, {**plain, 'added': 1}]
            for name, plain in row.value['records']
        ]
        value = {**row.value, 'records': records, 'added': 1}
        rows[key] = Row('journal', key, row.version, value)
    state = NumberList()
    outcome = await recover(owner.store, owner.objects, PARTITION, [state])
    assert not isinstance(outcome, Failure)
    assert outcome.records_count == 5


@pytest.mark.parametrize(
    'change',
    [
        {'format': 2},
        {'format': 2, 'states': 'of another shape'},
        {'states': {'StateOfTomorrow': []}},
    ],
)
async def test_snapshot_of_a_newer_version_is_not_reported_as_damage(
    owner, change
):
    """Guards against a newer snapshot that is reported as damaged."""
    await owner.snapshot()
    name = next(iter(owner.objects.objects))
    plain = unpackb(owner.objects.objects[name])
    owner.objects.objects[name] = packb(plain | change)
    assert isinstance(await recover_failure(owner), UnknownFormat)
    owner.objects.objects[name] = packb(plain | {'added': 1})
    outcome = await recover(
        owner.store, owner.objects, PARTITION, [NumberList()]
    )
    assert not isinstance(outcome, Failure)
