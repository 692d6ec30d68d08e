"""Clock that also counts the time for which the host is suspended."""

import time

_NS_IN_MS = 1_000_000


class BootClock:
    """Reads the clocks of this host; leases go on while it is suspended."""

    def monotonic_ms(self) -> int:
        """Reads the time since the host started."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_IN_MS

    def wall_ms(self) -> int:
        """Reads Unix time."""
        return time.time_ns() // _NS_IN_MS


__all__ = ('BootClock',)
