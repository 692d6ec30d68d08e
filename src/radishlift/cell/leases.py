"""Leases of targets, measured on the clocks of the targets."""

from collections.abc import Mapping
from math import floor

from radishlift.cell.settings import CellSettings
from radishlift.steps.ids import TargetId

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


class InheritedLeases:
    """When the leases that earlier leaders granted have expired.

    A leader stores which leases it does not renew and how long they last, so
    that the wait for them continues in the next term. Any other lease may have
    been renewed until the takeover.
    """

    def __init__(self, default_until_ms: int) -> None:
        self._default_until_ms = default_until_ms
        self._until_ms: dict[TargetId, int] = {}

    def load(self, remaining_ms: Mapping[TargetId, int], now_ms: int) -> None:
        """Applies the remaining times that the previous leader stored."""
        self._until_ms = {
            target_id: min(now_ms + lease_ms, self._default_until_ms)
            for target_id, lease_ms in remaining_ms.items()
        }

    def list_loaded(self) -> tuple[TargetId, ...]:
        """Lists the targets for which the previous leader stored a time."""
        return tuple(self._until_ms)

    def until_ms(self, target_id: TargetId) -> int:
        """Returns when the lease of a target has expired."""
        return self._until_ms.get(target_id, self._default_until_ms)


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
        inherited_until_ms: int,
    ) -> None:
        self._drift = settings.clock_drift
        self._max_lease_ms = max_lease_ms
        self._length_ms = int(max_lease_ms * settings.lease_share)
        self._clock_ms = 0
        self._sampled_at_ms: int | None = None
        self._until_ms: int | None = None
        self._inherited_until_ms = inherited_until_ms

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
        return self.remaining_ms(now_ms) <= 0

    def remaining_ms(self, now_ms: int) -> int:
        """Returns how long the lease may last; 0 or less if it has expired."""
        if self._sampled_at_ms is None or self._until_ms is None:
            return self._inherited_until_ms + 1 - now_ms
        lease_ms = self._until_ms + _MARGIN_MS - self._clock_ms
        expires_at_ms = self._sampled_at_ms + lease_ms / (1 - self._drift)
        return floor(expires_at_ms) + 1 - now_ms

    def restart(self, clock_ms: int, received_at_ms: int) -> None:
        """Starts the lease of a new process with its own clock.

        Calls in transit may end on the clock of the earlier process, which
        the target limits to the longest lease.
        """
        self.update_clock(clock_ms, received_at_ms)
        self._until_ms = clock_ms + self._max_lease_ms


__all__ = ('InheritedLeases', 'TargetLease', 'inherited_expiry_ms')
