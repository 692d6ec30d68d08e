"""Clocks, which tests can replace."""

import time
from typing import Final, Protocol

_NS_IN_MS: Final = 1_000_000
_BOOT_CLOCK_ID: Final[int] = getattr(
    time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC
)


class Clock(Protocol):
    """Source of the current time in milliseconds."""

    def monotonic_ms(self) -> int:
        """Returns a time that never goes back, from an arbitrary origin."""

    def wall_ms(self) -> int:
        """Returns the time since the Unix epoch; only for display."""


class BootClock:
    """The clocks of this host, including the time while it is suspended.

    Leases, and knowledge that must be recent, also expire in that time. Hosts
    without `CLOCK_BOOTTIME` use `CLOCK_MONOTONIC`, which may leave it out.
    """

    def monotonic_ms(self) -> int:
        """Returns the time since the host started."""
        return time.clock_gettime_ns(_BOOT_CLOCK_ID) // _NS_IN_MS

    def wall_ms(self) -> int:
        """Returns Unix time."""
        return time.time_ns() // _NS_IN_MS


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


__all__ = ('BootClock', 'Clock', 'ManualClock')
