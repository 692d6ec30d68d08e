"""The lease of one target, measured on the target's clock."""

from radishlift.cell.settings import CellSettings

# For rounding of clocks and for calls that are processed with a delay.
_MARGIN_MS = 100


def inherited_expiry_ms(
    settings: CellSettings,
    max_lease_ms: int,
    inherited_at_ms: int,
) -> int:
    """Returns when all leases of the previous leader have expired.

    It may have renewed them for `unconfirmed_ms` after its last commit.
    """
    length_ms = max_lease_ms * settings.lease_share
    longest_ms = int(length_ms / (1 - settings.clock_drift))
    return inherited_at_ms + settings.unconfirmed_ms + longest_ms + _MARGIN_MS


class TargetLease:
    """Tracks until when a target may run its tasks.

    The target's clock is known only from samples in its answers. It may run
    slower than the clock of this host by `clock_drift`, and a sample was taken
    before its answer arrived. Expiry is calculated from these limits, so that
    the lease has ended on the target when `has_expired` returns true.
    """

    def __init__(
        self,
        settings: CellSettings,
        max_lease_ms: int,
        inherited_at_ms: int,
    ) -> None:
        self._drift = settings.clock_drift
        self._length_ms = int(max_lease_ms * settings.lease_share)
        self._clock_ms = 0
        self._sampled_at_ms: int | None = None
        self._until_ms: int | None = None
        self._inherited_until_ms = inherited_expiry_ms(
            settings,
            max_lease_ms,
            inherited_at_ms,
        )

    def update_clock(self, clock_ms: int, received_at_ms: int) -> None:
        """Stores a sample of the target's clock."""
        self._clock_ms = clock_ms
        self._sampled_at_ms = received_at_ms

    def grant(self, now_ms: int) -> int | None:
        """Extends the lease; returns its end on the target's clock.

        Returns None while the target's clock is unknown.
        """
        if self._sampled_at_ms is None:
            return None
        passed_ms = now_ms - self._sampled_at_ms
        until_ms = self._clock_ms + passed_ms + self._length_ms
        self._until_ms = max(until_ms, self._until_ms or 0)
        return self._until_ms

    @property
    def until_ms(self) -> int:
        """Returns the latest granted end; 0 before the first grant."""
        return self._until_ms or 0

    def has_expired(self, now_ms: int) -> bool:
        """Returns whether the lease has ended on the target's clock."""
        if self._sampled_at_ms is None or self._until_ms is None:
            return now_ms > self._inherited_until_ms
        passed_ms = (now_ms - self._sampled_at_ms) * (1 - self._drift)
        return self._clock_ms + passed_ms > self._until_ms + _MARGIN_MS

    def reset(self) -> None:
        """Discards the clock and lease of a process that has ended."""
        self._sampled_at_ms = None
        self._until_ms = None


__all__ = ('TargetLease', 'inherited_expiry_ms')
