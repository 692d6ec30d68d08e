import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    Transaction,
    Write,
)
from tests.standins.tables import Fault, MemoryTableStore


def insert(key: str, number: int) -> Transaction:
    return Transaction(
        (Condition('t', key, 0),),
        (Write('t', key, {'number': number}),),
    )


async def test_insert_applies_once():
    store = MemoryTableStore()
    assert isinstance(await store.commit(insert('k', 1)), Committed)
    conflict = await store.commit(insert('k', 2))
    assert isinstance(conflict, Conflict)
    assert conflict.rows[0].value == {'number': 1}


@pytest.mark.parametrize(
    ('fault', 'kind', 'applied'),
    [
        (Fault.down, ErrorKind.store_unavailable, False),
        (Fault.lose_requests, ErrorKind.store_outcome_unknown, False),
        (Fault.lose_answers, ErrorKind.store_outcome_unknown, True),
    ],
)
async def test_faults_apply_or_lose_the_commit(fault, kind, applied):
    store = MemoryTableStore()
    store.fail_next_commits.append(fault)
    outcome = await store.commit(insert('k', 1))
    assert isinstance(outcome, Failure)
    assert outcome.kind is kind
    assert bool((await store.read('t', 'k')).version) is applied


async def test_scan_returns_keys_after_the_given_one():
    store = MemoryTableStore()
    for key in ('p/1', 'p/2', 'p/3', 'q/1'):
        await store.commit(insert(key, 1))
    rows = await store.scan('t', 'p/', 'p/1')
    assert [row.key for row in rows] == ['p/2', 'p/3']
