"""Bounds after which the leases of a worker's attempts have surely ended.

A lease expiry is `clock_ms + lease_ms` in the worker's clock, where `clock_ms`
is the latest clock that its sender had received. Clocks are never compared
between hosts. The bounds rest on two facts:

1. A clock received at the owner's time `t` was read at the worker before `t`.
   While the rates of the two clocks differ by less than 5%, the worker's clock
   has passed `clock_ms + lease_ms` when the owner's clock passes
   `t + 1.05 * lease_ms`. This holds for every lease computed from that or an
   earlier clock, however late its message arrives: the expiry is absolute.
2. A daemon renews only for a partition whose `PartitionOwned` record it has
   journaled (see `radishlift.partitions.owner_history`). The insert of that
   record fences the journal: no start of an earlier owner can be committed
   after it, and all starts that an earlier owner may send have been read by
   then.

An owner's own leases follow from fact 1 alone. Leases of its predecessors do
not: a deposed owner that has lost only the table service does not know that it
is deposed, still reaches workers, receives new clocks and renews. It must do
so, as running tasks keep their leases during an outage of the table service.
The journal fence stops its starts, not its renewals, so the fence alone gives
no bound. A bound exists once the successor has observed, for each earlier
owner in the journal that is not yet recorded as stopped, that it has received
its last clock:

* there is evidence that the daemon's incarnation is dead, or
* the daemon has confirmed, when asked, that it has dropped that epoch.

Any clock of that owner was read before the observation at the successor's time
`t`. By fact 1 its leases have ended when the successor's clock passes
`t + 1.05 * lease_ms`, with the lease length that the earlier owner journaled.

Without such an observation no bound exists for a worker that does not answer.
Its attempts then stay committed until the worker answers, has a new
incarnation, or is gone from the host list.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import Epoch

# Clocks of hosts run at most 5% apart (docs/design.md, section 3).
_RATE_MARGIN_NUMERATOR: Final = 105
_RATE_MARGIN_DENOMINATOR: Final = 100


def lapse_bound_ms(observed_at_ms: int, lease_ms: int) -> int:
    """Returns the time by which leases from earlier clocks have ended.

    Both times are on the observer's monotonic clock.
    """
    scaled = lease_ms * _RATE_MARGIN_NUMERATOR
    # Rounded up, so that the margin is never cut short.
    return observed_at_ms - (-scaled // _RATE_MARGIN_DENOMINATOR)


@dataclass(slots=True)
class WorkerClock:
    """The latest clock of one incarnation of a worker.

    `received_at_ms` is on this daemon's monotonic clock.
    """

    clock_ms: int | None = None
    received_at_ms: int = 0

    def observe(self, clock_ms: int, received_at_ms: int) -> None:
        """Takes a clock from an answer; answers may come out of order."""
        if self.clock_ms is None or clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.received_at_ms = received_at_ms

    def lease_until_ms(self, lease_ms: int) -> int | None:
        """Computes an expiry in the worker's clock; None without a clock."""
        return None if self.clock_ms is None else self.clock_ms + lease_ms

    def bound_ms(self, lease_ms: int) -> int:
        """Returns when all leases computed from this clock have ended.

        It is 0 without a clock, as no lease can have been computed.
        """
        if self.clock_ms is None:
            return 0
        return lapse_bound_ms(self.received_at_ms, lease_ms)


class FormerOwners:
    """What is known about the leases of the predecessors of an owner."""

    def __init__(self, epochs: Iterable[Epoch]) -> None:
        self._bounds: dict[Epoch, int | None] = dict.fromkeys(epochs)

    @property
    def unknown_epochs(self) -> tuple[Epoch, ...]:
        """Lists the epochs whose owner may still renew leases."""
        return tuple(
            epoch for epoch, bound in self._bounds.items() if bound is None
        )

    def observe_stopped(self, epoch: Epoch, at_ms: int, lease_ms: int) -> None:
        """Notes that the owner of an epoch surely receives no clock more."""
        if self._bounds.get(epoch, 0) is None:
            self._bounds[epoch] = lapse_bound_ms(at_ms, lease_ms)

    def ended_epochs(self, now_ms: int) -> tuple[Epoch, ...]:
        """Lists the epochs whose leases have surely ended."""
        return tuple(
            epoch
            for epoch, bound in self._bounds.items()
            if bound is not None and bound <= now_ms
        )

    def forget(self, epoch: Epoch) -> None:
        """Drops an epoch that is recorded as stopped."""
        self._bounds.pop(epoch, None)

    def have_ended(self, now_ms: int) -> bool:
        """Tells whether no lease of a predecessor can be in force."""
        return all(
            bound is not None and bound <= now_ms
            for bound in self._bounds.values()
        )


__all__ = ('FormerOwners', 'WorkerClock', 'lapse_bound_ms')
