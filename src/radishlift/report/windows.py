"""Counts of good and total events over sliding windows, bounded in size."""

from array import array
from dataclasses import dataclass
from typing import Final

_MINUTE_MS: Final = 60_000
_HOUR_MS: Final = 60 * _MINUTE_MS


@dataclass(frozen=True, slots=True)
class Window:
    """A window as slots; it moves on by one slot at a time."""

    name: str
    slot_ms: int
    slots_count: int

    @property
    def length_ms(self) -> int:
        """Returns the length of the whole window."""
        return self.slot_ms * self.slots_count


WINDOWS: Final = (
    Window('5m', 10_000, 30),
    Window('1h', _MINUTE_MS, 60),
    Window('6h', 5 * _MINUTE_MS, 72),
    Window('3d', _HOUR_MS, 72),
)


@dataclass(frozen=True, slots=True)
class EventCount:
    """Good events among all events."""

    good: int
    total: int

    def __add__(self, other: 'EventCount') -> 'EventCount':
        return EventCount(self.good + other.good, self.total + other.total)


class EventRing:
    """Counts of one window; the oldest slot is reused for the newest."""

    __slots__ = (
        '_good',
        '_good_sum',
        '_slot',
        '_total',
        '_total_sum',
        '_window',
    )

    def __init__(self, window: Window, now_ms: int) -> None:
        self._window = window
        self._slot = now_ms // window.slot_ms
        self._good = array('Q', bytes(8 * window.slots_count))
        self._total = array('Q', bytes(8 * window.slots_count))
        self._good_sum = 0
        self._total_sum = 0

    def record(self, now_ms: int, *, is_good: bool) -> None:
        """Counts one event."""
        index = self._advance(now_ms)
        self._total[index] += 1
        self._total_sum += 1
        if is_good:
            self._good[index] += 1
            self._good_sum += 1

    def count(self, now_ms: int) -> EventCount:
        """Returns the counts of the window that ends now."""
        self._advance(now_ms)
        return EventCount(self._good_sum, self._total_sum)

    def _advance(self, now_ms: int) -> int:
        slot = now_ms // self._window.slot_ms
        slots_count = self._window.slots_count
        if slot > self._slot:
            passed_count = min(slot - self._slot, slots_count)
            for passed in range(slot - passed_count + 1, slot + 1):
                index = passed % slots_count
                self._good_sum -= self._good[index]
                self._total_sum -= self._total[index]
                self._good[index] = 0
                self._total[index] = 0
            self._slot = slot
        return self._slot % slots_count


class WindowCounts:
    """Counts of one objective over all windows."""

    __slots__ = ('_rings', '_started_ms')

    def __init__(self, now_ms: int) -> None:
        self._started_ms = now_ms
        self._rings = tuple(EventRing(window, now_ms) for window in WINDOWS)

    def record(self, now_ms: int, *, is_good: bool) -> None:
        """Counts one event in every window."""
        for ring in self._rings:
            ring.record(now_ms, is_good=is_good)

    def counts(self, now_ms: int) -> tuple[EventCount, ...]:
        """Returns the counts in the order of the windows."""
        return tuple(ring.count(now_ms) for ring in self._rings)

    def covered_ms(self, now_ms: int) -> int:
        """Returns how long events have been counted."""
        return now_ms - self._started_ms


__all__ = ('WINDOWS', 'EventCount', 'EventRing', 'Window', 'WindowCounts')
