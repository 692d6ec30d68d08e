"""Answered keys in segments, all but the newest of which are sealed.

An answered key joins the newest segment, that of the minute of the newest
intent so far. By the minute of its own intent, one answer that never comes
would keep a segment open, and all its keys would be written again with each
snapshot. No key is dropped earlier for that: its intent is not newer than the
minute of its segment.
"""

from collections.abc import Mapping
from typing import Any, Final

from radishlift.journal.parts import SealedPart

SEGMENT_MS: Final = 60_000

_NAME_DIGITS: Final = 12


class KeySegments:
    """Packed entries of answered keys by minute, the oldest first.

    Entries are kept packed: as objects they take twice the memory, and a
    sealed segment is stored as it is.
    """

    def __init__(self) -> None:
        self._segments: dict[int, dict[str, bytes]] = {}
        self._newest_minute = 0

    def __len__(self) -> int:
        return sum(map(len, self._segments.values()))

    def get(self, key: str) -> bytes | None:
        """Returns the entry of a key, the latest if there are several.

        A journal holds a second intent of a key if its owner had dropped the
        first; replay may have kept it.
        """
        for segment in reversed(self._segments.values()):
            packed = segment.get(key)
            if packed is not None:
                return packed
        return None

    def advance(self, at_ms: int) -> None:
        """Notes the time of an intent; minutes never go back."""
        self._newest_minute = max(self._newest_minute, at_ms // SEGMENT_MS)

    def add(self, key: str, packed: bytes) -> None:
        """Adds an answered key to the newest segment."""
        self._segments.setdefault(self._newest_minute, {})[key] = packed

    def has_older(self, before_ms: int) -> bool:
        """Tells whether a segment has only keys older than a time."""
        oldest = next(iter(self._segments), None)
        return oldest is not None and _end_ms(oldest) <= before_ms

    def drop_older(self, before_ms: int) -> None:
        """Drops the segments whose keys are all older than a time."""
        while self.has_older(before_ms):
            self._segments.pop(next(iter(self._segments)))

    def sealed_parts(self) -> tuple[SealedPart, ...]:
        """Returns the segments that nothing changes any more."""
        return tuple(
            SealedPart(f'{minute:0{_NAME_DIGITS}d}', segment)
            for minute, segment in self._segments.items()
            if minute != self._newest_minute
        )

    def dump_open(self) -> dict[str, Any]:
        """Returns the newest segment as plain data."""
        return {
            'newest': self._newest_minute,
            'open': dict(self._segments.get(self._newest_minute, {})),
        }

    def load(
        self,
        plain: Mapping[str, Any],
        parts: tuple[SealedPart, ...],
    ) -> None:
        """Replaces all segments."""
        loaded = {int(part.name): part.content for part in parts}
        self._newest_minute = plain['newest']
        self._segments = {minute: loaded[minute] for minute in sorted(loaded)}
        if plain['open']:
            self._segments[self._newest_minute] = dict(plain['open'])


def _end_ms(minute: int) -> int:
    return (minute + 1) * SEGMENT_MS


__all__ = ('SEGMENT_MS', 'KeySegments')
