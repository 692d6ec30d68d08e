import pytest

from radishlift.journal import inserts
from radishlift.services.api import Condition, Transaction
from tests.journal.protocol import explore


def test_no_interleaving_breaks_the_journal():
    """Guards against an order of actions that loses or repeats a record."""
    assert 1000 < explore(max_states=6000, depth=5) < 6000


def _without_condition(table: str):
    correct = inserts.Insert.transaction

    def transaction(insert: inserts.Insert) -> Transaction:
        sent = correct(insert)
        return Transaction(
            tuple(
                Condition(condition.table, condition.key, condition.version)
                for condition in sent.conditions
                if condition.table != table
            ),
            sent.writes,
        )

    return transaction


@pytest.mark.parametrize('table', ['owners', 'journal'])
def test_exploration_finds_a_missing_condition(monkeypatch, table):
    """Guards against an exploration that can't detect a fault."""
    broken = _without_condition(table)
    monkeypatch.setattr(inserts.Insert, 'transaction', broken)
    with pytest.raises(AssertionError, match='after'):
        explore(max_states=6000, depth=5)
