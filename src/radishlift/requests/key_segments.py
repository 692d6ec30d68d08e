"""Answered keys in segments of a minute; all but the newest are sealed.

An answered key is added to the newest segment, that of the minute of the latest
intent. If it were added to the segment of its own intent, one missing answer
would keep that segment open, and each snapshot would write all its keys again.
No key is removed too early, as its intent is not newer than its segment.
"""

from collections.abc import Mapping
from typing import Any, Final

from radishlift.journal.parts import SealedPart

SEGMENT_MS: Final = 60_000

_NAME_DIGITS: Final = 12


class KeySegments:
    """Encoded entries of answered keys by minute, the oldest first.

    As objects the entries would take twice the memory, and sealed segments are
    stored in their encoded form.
    """

    def __init__(self) -> None:
        self._segments: dict[int, dict[str, bytes]] = {}
        self._newest_minute = 0

    def __len__(self) -> int:
        return sum(map(len, self._segments.values()))

    def get(self, key: str) -> bytes | None:
        """Returns the latest entry of a key.

        There are two if the owner removed the key before its second intent,
        but the replay of the journal did not.
        """
        for segment in reversed(self._segments.values()):
            packed = segment.get(key)
            if packed is not None:
                return packed
        return None

    def advance(self, at_ms: int) -> None:
        """Starts a new segment if an intent is of a later minute."""
        self._newest_minute = max(self._newest_minute, at_ms // SEGMENT_MS)

    def add(self, key: str, packed: bytes) -> None:
        """Adds the entry of an answered key to the newest segment."""
        self._segments.setdefault(self._newest_minute, {})[key] = packed

    def has_older(self, before_ms: int) -> bool:
        """Returns whether the whole oldest segment is older than a time."""
        oldest = next(iter(self._segments), None)
        return oldest is not None and _end_ms(oldest) <= before_ms

    def drop_older(self, before_ms: int) -> None:
        """Removes the segments that are wholly older than a time."""
        while self.has_older(before_ms):
            self._segments.pop(next(iter(self._segments)))

    def sealed_parts(self) -> tuple[SealedPart, ...]:
        """Returns the segments that do not change any more."""
        return tuple(
            SealedPart(f'{minute:0{_NAME_DIGITS}d}', segment)
            for minute, segment in self._segments.items()
            if minute != self._newest_minute
        )

    def dump_open(self) -> dict[str, Any]:
        """Returns the newest segment and its minute as plain data."""
        return {
            'newest': self._newest_minute,
            'open': dict(self._segments.get(self._newest_minute, {})),
        }

    def load(
        self,
        plain: Mapping[str, Any],
        parts: tuple[SealedPart, ...],
    ) -> None:
        """Replaces all segments by those of a snapshot."""
        loaded = {int(part.name): part.content for part in parts}
        self._newest_minute = plain['newest']
        self._segments = {minute: loaded[minute] for minute in sorted(loaded)}
        if plain['open']:
            self._segments[self._newest_minute] = dict(plain['open'])


def _end_ms(minute: int) -> int:
    return (minute + 1) * SEGMENT_MS


__all__ = ('SEGMENT_MS', 'KeySegments')
