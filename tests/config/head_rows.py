"""Writes configuration rows for the tests of other modules."""

from radishlift.config.homes import HOMES_KEY, JOB_HOMES_TABLE
from radishlift.config.rows import HEAD_KEY, HEAD_TABLE
from radishlift.services.api import Transaction, Write
from tests.standins.tables import Tables


def put_head(tables: Tables, version: int) -> None:
    """Writes the head row, which names the newest version."""
    value = {'version': version, 'nonce': f'n{version}'}
    write = Write(HEAD_TABLE, HEAD_KEY, value)
    tables.commit(Transaction((), (write,)))


def put_homes(tables: Tables, *names: str) -> None:
    """Writes the row that lists the home partitions."""
    value = {'partitions': list(names)}
    write = Write(JOB_HOMES_TABLE, HOMES_KEY, value)
    tables.commit(Transaction((), (write,)))


__all__ = ('put_head', 'put_homes')
