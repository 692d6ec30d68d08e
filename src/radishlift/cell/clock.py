"""Clock that includes the time for which the host is suspended."""

import time

_NS_IN_MS = 1_000_000


class BootClock:
    """Reads the host's clocks; leases also expire while it is suspended."""

    def monotonic_ms(self) -> int:
        """Returns the time since the host started."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_IN_MS

    def wall_ms(self) -> int:
        """Returns Unix time."""
        return time.time_ns() // _NS_IN_MS


__all__ = ('BootClock',)
