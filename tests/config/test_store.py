import asyncio
import random

import pytest

from radishlift.config.changes import (
    Change,
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
)
from radishlift.config.rows import read_head
from radishlift.config.settings import ConfigSettings
from radishlift.config.store import ConfigStore
from radishlift.core.clock import ManualClock
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.ids import ConfigVersion
from tests.config.documents import TEXT
from tests.standins.tables import Fault, MemoryTableStore, Tables

NONE = ConfigVersion(0)
ONE = ConfigVersion(1)


class YieldingStore(MemoryTableStore):
    """Yields to other tasks before each operation, in a seeded order."""

    def __init__(self, tables: Tables, seed: int) -> None:
        super().__init__(tables)
        self._random = random.Random(seed)

    async def read(self, table, key):
        await self._yield()
        return await super().read(table, key)

    async def commit(self, transaction):
        await self._yield()
        return await super().commit(transaction)

    async def _yield(self):
        for _ in range(self._random.randrange(4)):
            await asyncio.sleep(0)


class RacedStore(MemoryTableStore):
    """Runs a concurrent change just before the first commit."""

    def __init__(self, tables: Tables, race) -> None:
        super().__init__(tables)
        self._races = [race]

    async def commit(self, transaction):
        if self._races:
            await self._races.pop()()
        return await super().commit(transaction)


def make_store(rows: MemoryTableStore, **settings: int) -> ConfigStore:
    clock = ManualClock(1000)

    async def pause(pause_ms: int) -> None:
        clock.advance(pause_ms)

    config_settings = ConfigSettings(**settings)
    return ConfigStore(rows, config_settings, clock, pause=pause)


@pytest.fixture
def rows():
    return MemoryTableStore()


@pytest.fixture
async def store(rows):
    store = make_store(rows)
    accepted = await store.change(Change(TEXT, NONE, 'ann', 'first'))
    assert accepted.version == 1
    return store


def with_weight(weight: int, text: str = TEXT) -> str:
    return text.replace('share_weight = 2', f'share_weight = {weight}')


def with_team(name: str, text: str = TEXT) -> str:
    return f'{text}\n[team:{name}]\ndepartment = school-kits\n'


async def test_changes_to_different_sections_merge(store):
    """Guards against the loss of one of two concurrent changes."""
    await store.change(Change(with_weight(3), ONE, 'ann', 'weight'))
    merged = await store.change(Change(with_team('x'), ONE, 'ben', 'team'))
    assert isinstance(merged, ChangeAccepted)
    assert merged.merged == ('department:rug-depot',)
    assert merged.document.departments['rug-depot'].share_weight == 3
    assert merged.document.teams['x'].department == 'school-kits'
    assert {change.section for change in merged.changes} == {'team:x'}


async def test_a_conflict_names_fields_and_who_changed_them(store):
    """Guards against overwriting a change that the operator has not seen."""
    await store.change(Change(with_weight(3), ONE, 'ann', 'weight'))
    await store.change(Change(with_team('x'), ONE, 'cay', 'other'))
    conflict = await store.change(Change(with_weight(4), ONE, 'ben', 'race'))
    assert isinstance(conflict, ChangeConflict)
    assert conflict.head == 3
    assert len(conflict.fields) == 1
    field = conflict.fields[0]
    assert (field.section, field.key) == (
        'department:rug-depot',
        'share_weight',
    )
    assert (field.base, field.theirs, field.ours) == ('2.0', '3.0', '4.0')
    assert (field.version, field.who) == (2, 'ann')


async def test_a_conflict_names_fields_of_both_sides(store):
    """Guards against a conflict that omits fields of the operator's change."""
    await store.change(Change(with_weight(3), ONE, 'ann', 'weight'))
    text = TEXT.replace('waiting_first', 'least_loaded')
    conflict = await store.change(Change(text, ONE, 'ben', 'race'))
    assert [(field.key, field.who) for field in conflict.fields] == [
        ('policy', ''),
        ('share_weight', 'ann'),
    ]
    assert conflict.fields[0].ours == 'least_loaded'


async def test_waiting_changes_are_bounded(rows, store):
    """Guards against unbounded memory for changes during an outage."""
    rows.fault = Fault.lose_requests
    changes = [Change(with_weight(3), ONE, 'ann', 'w') for _ in range(80)]
    answers = await asyncio.gather(*map(store.change, changes))
    kinds = [answer.kind for answer in answers]
    assert kinds.count(ErrorKind.overloaded) == 16
    assert kinds.count(ErrorKind.store_outcome_unknown) == 1
    assert kinds.count(ErrorKind.deadline_passed) == 63


async def test_a_merge_with_an_invalid_result_is_a_conflict(store):
    """Guards against two valid changes that are invalid together."""
    without = TEXT.replace(
        '[department:school-kits]\npolicy = packing_first\n', ''
    )
    await store.change(Change(without, ONE, 'ann', 'close'))
    conflict = await store.change(Change(with_team('x'), ONE, 'ben', 'team'))
    assert isinstance(conflict, ChangeConflict)
    assert conflict.errors[0].section == 'team:x'


async def test_an_invalid_change_reports_all_errors_and_stores_nothing(store):
    broken = with_weight(0).replace('cpu_milli = 240000', 'cpu_milli = -1')
    answer = await store.change(Change(broken, ONE, '', 'a\nb'))
    assert isinstance(answer, ChangeInvalid)
    assert [error.key for error in answer.errors] == [
        'who',
        'why',
        'share_weight',
        'cpu_milli',
    ]
    assert len(await store.history()) == 1


async def test_a_text_that_grows_over_the_limit_is_refused(store):
    """Guards against storing a document that no daemon can read back.

    Writing out every key makes the stored text larger than the given one.
    """
    many = ''.join(
        f'[service:s{number}]\ndepartment = rug-depot\n'
        for number in range(1500)
    )
    answer = await store.change(Change(TEXT + many, ONE, 'ann', 'large'))
    assert isinstance(answer, ChangeInvalid)
    assert 'with all keys written' in answer.errors[0].allowed


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_a_change_with_a_lost_message_has_a_known_outcome(
    rows, store, fault
):
    """Guards against a change that is applied twice or wrongly refused."""
    rows.fail_next_commits.extend([fault, Fault.down])
    accepted = await store.change(Change(with_weight(3), ONE, 'ann', 'w'))
    assert isinstance(accepted, ChangeAccepted)
    assert accepted.version == 2
    assert [entry.version for entry in await store.history()] == [2, 1]


async def test_a_lost_request_that_loses_the_race_is_merged(rows, store):
    """Guards against confusing a lost change with another operator's."""
    other = make_store(MemoryTableStore(rows.tables))
    racing = RacedStore(
        rows.tables,
        lambda: other.change(Change(with_weight(3), ONE, 'ben', 'race')),
    )
    racing.fail_next_commits.append(Fault.lose_requests)
    change = Change(with_team('x'), ONE, 'ann', 'team')
    accepted = await make_store(racing).change(change)
    assert accepted.version == 3
    assert accepted.merged == ('department:rug-depot',)


async def test_outage_refuses_before_anything_is_sent(rows, store):
    """Guards against the outcome "not run" for a change that took effect."""
    rows.fault = Fault.down
    refused = await store.change(Change(with_weight(3), ONE, 'ann', 'w'))
    assert isinstance(refused, Failure)
    assert refused.answer.outcome is Outcome.not_run
    rows.fault = Fault.none
    assert len(await store.history()) == 1


async def test_a_change_without_an_answer_has_an_unknown_outcome(rows, store):
    """Guards against "not run" for a stored change whose answers are lost."""
    rows.fault = Fault.lose_answers
    unknown = await store.change(Change(with_weight(3), ONE, 'ann', 'w'))
    assert unknown.kind is ErrorKind.store_outcome_unknown
    rows.fault = Fault.none
    assert len(await store.history()) == 2
    repeated = await store.change(Change(with_weight(3), ONE, 'ann', 'w'))
    assert (repeated.version, repeated.changes) == (2, ())


async def test_stale_reads_do_not_hide_the_base_or_the_head(rows, store):
    """Guards against checking a change against an outdated head."""
    rows.freeze_reads()
    other = make_store(MemoryTableStore(rows.tables))
    await other.change(Change(with_weight(3), ONE, 'ann', 'w'))
    same = await store.change(Change(TEXT, ONE, 'ben', 'nothing'))
    assert same.version == 2
    assert same.document.departments['rug-depot'].share_weight == 3
    await other.change(Change(with_weight(4), ConfigVersion(2), 'ann', 'w'))
    text = with_team('x', with_weight(4))
    newer = await store.change(Change(text, ConfigVersion(3), 'ann', 't'))
    assert newer.version == 4
    absent = await store.change(Change(TEXT, ConfigVersion(9), 'ann', 't'))
    assert absent.kind is ErrorKind.invalid_input


async def test_rollback_is_a_new_version(store):
    """Guards against a rollback that lowers the version."""
    await store.change(Change(with_weight(3), ONE, 'ann', 'weight'))
    back = await store.rollback(ONE, ConfigVersion(2), 'ben', 'undo')
    assert back.version == 3
    assert back.document.departments['rug-depot'].share_weight == 2
    newest = (await store.history())[0]
    assert (newest.who, newest.why, newest.base) == ('ben', 'undo', 2)
    assert newest.changed == {'department:rug-depot': ['share_weight']}
    missing = await store.rollback(ConfigVersion(7), ONE, 'ben', 'undo')
    assert missing.kind is ErrorKind.not_found


async def test_old_versions_are_deleted(rows):
    """Guards against a table that grows without bound."""
    store = make_store(rows, kept_versions_count=10)
    for number in range(1, 16):
        base = ConfigVersion(number - 1)
        text = with_weight(number + 2)
        await store.change(Change(text, base, 'ann', 'w'))
    assert len(rows.tables.scan('config', '', '', 500)) == 10
    assert len(await store.history()) == 10
    old = await store.change(Change(TEXT, ConfigVersion(2), 'ann', 'w'))
    assert old.kind is ErrorKind.not_found


@pytest.mark.parametrize('seed', [1, 2, 3])
async def test_no_racing_change_is_lost(seed):
    """Guards against lost updates by concurrent daemons and operators."""
    tables = Tables()
    stores = [
        make_store(
            YieldingStore(tables, seed + number), change_timeout_ms=60_000
        )
        for number in range(3)
    ]
    await stores[0].change(Change(TEXT, NONE, 'ann', 'first'))
    answers = await asyncio.gather(
        *(
            stores[number % 3].change(
                Change(with_team(f't{number}'), ONE, f'op{number}', 'race')
            )
            for number in range(12)
        )
    )
    versions = sorted(answer.version for answer in answers)
    assert versions == list(range(2, 14))
    newest = max(answers, key=lambda answer: answer.version)
    assert len(newest.document.teams) == 13
    head = await read_head(MemoryTableStore(tables))
    assert head.version == 13
