"""The lease of one target, counted on the target's own clock."""

from radishlift.cell.settings import CellSettings

# Rounding of clocks, and calls that are carried out a little late.
_MARGIN_MS = 100


def inherited_expiry_ms(
    settings: CellSettings,
    max_lease_ms: int,
    inherited_at_ms: int,
) -> int:
    """Returns when leases of a predecessor have surely lapsed.

    It may have prolonged them until it was sure not to lead any more.
    """
    length_ms = max_lease_ms * settings.lease_share
    longest_ms = int(length_ms / (1 - settings.clock_drift))
    return inherited_at_ms + settings.unconfirmed_ms + longest_ms + _MARGIN_MS


class TargetLease:
    """Knows until when a target may run what it was told to run.

    The end of the lease is known for sure although the target's clock is
    only known by samples: the clock may be slower than this host's by the
    drift of the settings, and a sample is at least as old as its answer.
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
        """Takes a sample of the target's clock."""
        self._clock_ms = clock_ms
        self._sampled_at_ms = received_at_ms

    def grant(self, now_ms: int) -> int | None:
        """Returns the end of a lease to be sent now, on the target's clock.

        None as long as the target's clock is unknown.
        """
        if self._sampled_at_ms is None:
            return None
        passed_ms = now_ms - self._sampled_at_ms
        until_ms = self._clock_ms + passed_ms + self._length_ms
        self._until_ms = max(until_ms, self._until_ms or 0)
        return self._until_ms

    @property
    def until_ms(self) -> int:
        """Returns the latest end that was sent; 0 before the first."""
        return self._until_ms or 0

    def has_expired(self, now_ms: int) -> bool:
        """Tells whether nothing runs on the target any more for sure."""
        if self._sampled_at_ms is None or self._until_ms is None:
            return now_ms > self._inherited_until_ms
        passed_ms = (now_ms - self._sampled_at_ms) * (1 - self._drift)
        return self._clock_ms + passed_ms > self._until_ms + _MARGIN_MS

    def reset(self) -> None:
        """Forgets a process that has ended."""
        self._sampled_at_ms = None
        self._until_ms = None


__all__ = ('TargetLease', 'inherited_expiry_ms')
