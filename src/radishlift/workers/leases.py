"""Bounds after which the leases of a worker's attempts are sure to be expired.

A lease expires at `clock_ms + lease_ms` in the worker's clock, where
`clock_ms` is the latest reading of that clock that the sender had received.
Clocks are never compared between hosts. The bounds follow from two facts:

1. A clock reading received at the owner's time `t` was taken at the worker
   before `t`. While the rates of the two clocks differ by less than 5%, the
   worker's clock has passed `clock_ms + lease_ms` when the owner's clock
   passes `t + 1.05 * lease_ms`. This holds for every lease computed from that
   or an earlier reading, however late its message arrives, because the expiry
   is absolute.
2. A daemon renews only for a partition whose `PartitionOwned` record it has
   journaled (see `radishlift.partitions.owner_history`). The insert of that
   record fences the journal: no start of an earlier owner can be committed
   after it, and all starts that an earlier owner may send have been read by
   then.

For an owner's own leases fact 1 is enough. It is not for the leases of
previous owners: a deposed owner that has lost only the table service does not
know that it is deposed, still reaches workers, receives new clock readings and
renews leases. It must do so, because running tasks keep their leases during an
outage of the table service. The journal fence stops its starts but not its
renewals, so the fence alone gives no bound. A bound exists once the new owner
has observed, for each previous owner in the journal that is not yet recorded
as stopped, that it receives no more clock readings:

* a newer incarnation of the daemon runs, or its host was removed from the
  host list (a refused connection may come from the network), or
* the daemon has confirmed, on request, that it has dropped that epoch.

Every clock reading of that owner was taken before this observation at the new
owner's time `t`. By fact 1 its leases are expired when the new owner's clock
passes `t + 1.05 * lease_ms`, with the lease length that the previous owner
journaled.

Without such an observation there is no bound for a worker that does not
answer. Its attempts then stay committed until the worker answers, has a new
incarnation, or is removed from the host list.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import Epoch

# The rates of host clocks differ by at most 5% (docs/design.md, section 3).
_RATE_MARGIN_NUMERATOR: Final = 105
_RATE_MARGIN_DENOMINATOR: Final = 100


def lease_expiry_bound_ms(observed_at_ms: int, lease_ms: int) -> int:
    """Returns the time by which leases from earlier readings are expired.

    Both times are on the observer's monotonic clock.
    """
    scaled = lease_ms * _RATE_MARGIN_NUMERATOR
    # Rounds up, so that the margin is never too small.
    return observed_at_ms - (-scaled // _RATE_MARGIN_DENOMINATOR)


@dataclass(slots=True)
class WorkerClock:
    """The latest clock reading of one incarnation of a worker.

    `received_at_ms` is on this daemon's monotonic clock.
    """

    clock_ms: int | None = None
    received_at_ms: int = 0

    def observe(self, clock_ms: int, received_at_ms: int) -> None:
        """Stores the clock of an answer unless a later one is known.

        Answers may arrive out of order.
        """
        if self.clock_ms is None or clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.received_at_ms = received_at_ms

    def lease_until_ms(self, lease_ms: int) -> int | None:
        """Returns a lease expiry in the worker's clock.

        Returns None while no clock reading is known.
        """
        return None if self.clock_ms is None else self.clock_ms + lease_ms

    def expiry_bound_ms(self, lease_ms: int) -> int:
        """Returns when all leases computed from this clock are expired.

        Returns 0 without a clock reading, as no lease can have been computed.
        """
        if self.clock_ms is None:
            return 0
        return lease_expiry_bound_ms(self.received_at_ms, lease_ms)


class PreviousOwners:
    """Expiry bounds of the leases that previous owners may have granted."""

    def __init__(self, epochs: Iterable[Epoch]) -> None:
        self._bounds_ms: dict[Epoch, int | None] = dict.fromkeys(epochs)

    @property
    def unconfirmed_epochs(self) -> tuple[Epoch, ...]:
        """Returns the epochs whose owner may still renew leases."""
        return tuple(
            epoch for epoch, bound in self._bounds_ms.items() if bound is None
        )

    def observe_stopped(self, epoch: Epoch, at_ms: int, lease_ms: int) -> None:
        """Records that the owner of an epoch receives no more clocks.

        Later observations of the same epoch do not move its bound.
        """
        if self._bounds_ms.get(epoch, 0) is None:
            self._bounds_ms[epoch] = lease_expiry_bound_ms(at_ms, lease_ms)

    def expired_epochs(self, now_ms: int) -> tuple[Epoch, ...]:
        """Returns the epochs whose leases are all expired."""
        return tuple(
            epoch
            for epoch, bound in self._bounds_ms.items()
            if bound is not None and bound <= now_ms
        )

    def forget(self, epoch: Epoch) -> None:
        """Drops an epoch that the journal records as stopped."""
        self._bounds_ms.pop(epoch, None)

    def have_expired(self, now_ms: int) -> bool:
        """Returns whether all leases of previous owners are expired."""
        return all(
            bound is not None and bound <= now_ms
            for bound in self._bounds_ms.values()
        )


__all__ = ('PreviousOwners', 'WorkerClock', 'lease_expiry_bound_ms')
