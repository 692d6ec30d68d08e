"""Knowledge of when the configuration in force was the newest."""

from radishlift.core.clock import Clock


class ConfigFreshness:
    """Tracks the latest time at which the configuration was the newest.

    All configurations that were acknowledged before that time are part of the
    one in force, or were refused. Times are monotonic milliseconds of this
    host; the clock must include the time in which the host is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_at_ms: int | None = None

    def confirm(self, at_ms: int) -> None:
        """Records a confirmation; earlier ones than the latest are ignored.

        A read confirms the time at which it was requested, as the time at
        which the store answered it is unknown.
        """
        if self._confirmed_at_ms is None or at_ms > self._confirmed_at_ms:
            self._confirmed_at_ms = at_ms

    @property
    def age_ms(self) -> int | None:
        """Returns the time since the confirmation; None without one."""
        if self._confirmed_at_ms is None:
            return None
        return self._clock.monotonic_ms() - self._confirmed_at_ms

    def is_within(self, max_age_ms: int | None) -> bool:
        """Returns whether the age is below a bound, if there is one."""
        if max_age_ms is None:
            return True
        age_ms = self.age_ms
        return age_ms is not None and age_ms < max_age_ms


__all__ = ('ConfigFreshness',)
