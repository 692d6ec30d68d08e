"""Queue of records that are not yet in a row."""

from collections import deque
from dataclasses import dataclass
from json import JSONEncoder
from typing import Any, Final

from radishlift.journal.records import encode_record

_ENCODER: Final = JSONEncoder(separators=(',', ':'), check_circular=False)


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """A record in its stored form with its position and size."""

    position: int
    stored: list[Any]
    size_bytes: int


class PendingRecords:
    """Pending records, ordered by position; positions start at 1."""

    def __init__(self) -> None:
        self._records: deque[PendingRecord] = deque()
        self._last_position = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def last_position(self) -> int:
        """Returns the position of the last appended record."""
        return self._last_position

    def append(self, record: object) -> int:
        """Adds a record and returns its position."""
        self._last_position += 1
        stored = encode_record(record)
        size_bytes = len(_ENCODER.encode(stored)) + 1
        self._records.append(
            PendingRecord(self._last_position, stored, size_bytes),
        )
        return self._last_position

    def pop_batch(self, max_bytes: int) -> list[PendingRecord]:
        """Removes and returns the first records up to a size.

        Returns at least one record if there are any.
        """
        taken: list[PendingRecord] = []
        size_bytes = 0
        while self._records:
            size_bytes += self._records[0].size_bytes
            if taken and size_bytes > max_bytes:
                break
            taken.append(self._records.popleft())
        return taken

    def put_back(self, taken: list[PendingRecord]) -> None:
        """Puts the last batch back at the front, in its order."""
        self._records.extendleft(reversed(taken))

    def cancel(self, positions: frozenset[int]) -> bool:
        """Removes records; returns False without a change if one is missing."""
        kept = deque(
            entry for entry in self._records if entry.position not in positions
        )
        if len(self._records) - len(kept) != len(positions):
            return False
        self._records = kept
        return True


__all__ = ('PendingRecord', 'PendingRecords')
