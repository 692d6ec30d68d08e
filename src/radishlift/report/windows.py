"""Counts of good and total events over sliding windows, bounded in size."""

from array import array
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

_MINUTE_MS: Final = 60_000
_HOUR_MS: Final = 60 * _MINUTE_MS


@dataclass(frozen=True, slots=True)
class Window:
    """A sliding window of equal slots; it advances one slot at a time."""

    name: str
    slot_ms: int
    slots_count: int

    @property
    def length_ms(self) -> int:
        """Returns the length of the whole window."""
        return self.slot_ms * self.slots_count


# Must divide the slot length of every window.
TICK_MS: Final = 10_000

WINDOWS: Final = (
    Window('5m', TICK_MS, 30),
    Window('1h', _MINUTE_MS, 60),
    Window('6h', 5 * _MINUTE_MS, 72),
    Window('3d', _HOUR_MS, 72),
)


@dataclass(frozen=True, slots=True)
class EventCount:
    """Numbers of good events and of all events."""

    good: int
    total: int

    def __add__(self, other: 'EventCount') -> 'EventCount':
        return EventCount(self.good + other.good, self.total + other.total)


class EventRing:
    """Ring buffer of a window's counts; the newest slot replaces the oldest."""

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

    def add(self, now_ms: int, events: EventCount) -> None:
        """Adds events to the current slot."""
        index = self._advance(now_ms)
        self._good[index] += events.good
        self._total[index] += events.total
        self._good_sum += events.good
        self._total_sum += events.total

    def count(self, now_ms: int) -> EventCount:
        """Returns the counts of the window that ends now."""
        self._advance(now_ms)
        return EventCount(self._good_sum, self._total_sum)

    def dump(self, now_ms: int) -> list[tuple[int, int, int]]:
        """Returns (age in slots, good, total) of each slot with events."""
        self._advance(now_ms)
        slots_count = self._window.slots_count
        return [
            (age, self._good[index], self._total[index])
            for age in range(slots_count)
            if self._total[index := (self._slot - age) % slots_count]
        ]

    def load(
        self,
        now_ms: int,
        saved_slots: Sequence[Sequence[int]],
        passed_ms: int,
    ) -> None:
        """Adds slots that were dumped `passed_ms` ago."""
        self._advance(now_ms)
        slots_count = self._window.slots_count
        for age, good, total in saved_slots:
            slots_ago = age + passed_ms // self._window.slot_ms
            if 0 <= slots_ago < slots_count:
                index = (self._slot - slots_ago) % slots_count
                self._good[index] += good
                self._total[index] += total
                self._good_sum += good
                self._total_sum += total

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
    """Counts of one objective over all windows.

    Events are collected during a tick, which lies within one slot of every
    window, and then added to all rings, so that an event costs two additions.
    """

    __slots__ = ('_good', '_rings', '_started_ms', '_tick', '_total')

    def __init__(self, now_ms: int) -> None:
        self._started_ms = now_ms
        self._tick = now_ms // TICK_MS
        self._good = 0
        self._total = 0
        self._rings = tuple(EventRing(window, now_ms) for window in WINDOWS)

    def record(self, now_ms: int, *, is_good: bool) -> None:
        """Counts one event in every window."""
        if now_ms // TICK_MS != self._tick:
            self._finish_tick(now_ms)
        self._total += 1
        self._good += is_good

    def counts(self, now_ms: int) -> tuple[EventCount, ...]:
        """Returns the counts in the order of the windows."""
        self._finish_tick(now_ms)
        return tuple(ring.count(now_ms) for ring in self._rings)

    def covered_ms(self, now_ms: int) -> int:
        """Returns the time over which events have been counted."""
        return now_ms - self._started_ms

    def dump(self, now_ms: int) -> tuple[list[tuple[int, int, int]], ...]:
        """Returns the slots of all windows, for `load` in a later process."""
        self._finish_tick(now_ms)
        return tuple(ring.dump(now_ms) for ring in self._rings)

    def load(
        self,
        now_ms: int,
        saved_windows: Sequence[Sequence[Sequence[int]]],
        passed_ms: int,
        covered_ms: int,
    ) -> None:
        """Adds counts that were dumped `passed_ms` ago.

        They covered `covered_ms` then; the time since is added to it.
        """
        self._finish_tick(now_ms)
        for ring, slots in zip(self._rings, saved_windows, strict=True):
            ring.load(now_ms, slots, passed_ms)
        self._started_ms = now_ms - passed_ms - covered_ms

    def _finish_tick(self, now_ms: int) -> None:
        if self._total:
            events = EventCount(self._good, self._total)
            for ring in self._rings:
                ring.add(self._tick * TICK_MS, events)
        self._good = 0
        self._total = 0
        self._tick = now_ms // TICK_MS


__all__ = (
    'TICK_MS',
    'WINDOWS',
    'EventCount',
    'EventRing',
    'Window',
    'WindowCounts',
)
