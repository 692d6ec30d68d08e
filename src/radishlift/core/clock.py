"""Clocks, which tests can replace."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the current time in milliseconds."""

    def monotonic_ms(self) -> int:
        """Returns a time that never goes back, from an arbitrary origin."""

    def wall_ms(self) -> int:
        """Returns the time since the Unix epoch; only for display."""


class SystemClock:
    """The clocks of this host."""

    def monotonic_ms(self) -> int:
        """Reads the monotonic clock."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Reads the wall clock."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock for tests that moves only by `advance`."""

    def __init__(self, now_ms: int = 0) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> int:
        """Returns the time that was set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Returns the time that was set."""
        return self.now_ms

    def advance(self, by_ms: int) -> None:
        """Moves the clock forward."""
        self.now_ms += by_ms


__all__ = ('Clock', 'ManualClock', 'SystemClock')
