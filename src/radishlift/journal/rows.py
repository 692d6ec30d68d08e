"""Stored form of journal rows."""

from dataclasses import dataclass
from typing import Any, Final

from radishlift.core.codec import read_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Epoch, PartitionId, Sequence
from radishlift.services.api import Row

JOURNAL_TABLE: Final = 'journal'
SEQUENCE_DIGITS: Final = 12


@dataclass(frozen=True, slots=True)
class JournalRow:
    """A row of a journal; `records` are in the stored form `[name, fields]`.

    Each insert has its own nonce, which its retries repeat, so that a writer
    recognises its own insert when it reads the row back.
    """

    epoch: Epoch
    nonce: str
    records: list[Any]


def key_prefix(partition_id: PartitionId) -> str:
    """Returns the key prefix of a partition's rows."""
    return f'{partition_id}/'


def row_key(partition_id: PartitionId, sequence: int) -> str:
    """Returns the key of a row; keys sort by sequence."""
    return f'{key_prefix(partition_id)}{sequence:0{SEQUENCE_DIGITS}d}'


def parse_sequence(key: str) -> Sequence | Failure:
    """Parses the sequence from a row key."""
    digits = key.rpartition('/')[2]
    if len(digits) == SEQUENCE_DIGITS and digits.isdecimal():
        return Sequence(int(digits))
    return Failure(ErrorKind.internal, f'{key} is not a journal key')


def parse_row(row: Row) -> JournalRow | Failure:
    """Parses a stored row; its records stay in their stored form."""
    parsed = read_plain(row.value, JournalRow)
    if isinstance(parsed, Failure):
        return Failure(ErrorKind.internal, f'{row.key}: {parsed.reason}')
    return parsed


def plain_row(row: JournalRow) -> dict[str, Any]:
    """Returns the stored form of a row.

    The records are already in their stored form; converting them again took a
    quarter of the CPU time of a flush.
    """
    return {'epoch': row.epoch, 'nonce': row.nonce, 'records': row.records}


__all__ = (
    'JOURNAL_TABLE',
    'JournalRow',
    'key_prefix',
    'parse_row',
    'plain_row',
    'row_key',
    'parse_sequence',
)
