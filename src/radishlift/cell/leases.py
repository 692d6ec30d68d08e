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

    A target shortens a lease to the longest one. Leases that an earlier leader
    granted are limited only by this. A late call to an earlier process may
    prolong the lease again and again, but not beyond the end that it names,
    which is then read on the clock of the later process.
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
        self._until_ms = 0
        # The latest end granted to any process, each on its own clock.
        self._latest_until_ms = 0
        # Bounds the leases that this leader did not grant to this process.
        self._unknown_until_ms = 0
        self._granted_at_ms = 0
        # When start calls without an answer were sent.
        self._open_starts_ms: list[int] = []
        # When a start was taken that no later list has confirmed, if any was.
        self._unlisted_start_ms: int | None = None
        self._inherited_until_ms = inherited_until_ms

    def has_outlived_calls(self, age_ms: int) -> bool:
        """Returns whether no call of this leader extends a new process's lease.

        The process has run for `age_ms` at least, and its clock began at 0.
        """
        return age_ms > self._on_slowest_clock(self._latest_until_ms)

    def update_clock(self, clock_ms: int, received_at_ms: int) -> None:
        """Stores a sample of the target's clock."""
        self._clock_ms = clock_ms
        self._sampled_at_ms = received_at_ms

    def begin_process(self, clock_ms: int, received_at_ms: int) -> None:
        """Starts the lease of a new process with its own clock.

        Earlier calls that it has processed end within the longest lease. It
        must be fenced, so that none takes effect later.
        """
        self.update_clock(clock_ms, received_at_ms)
        self._until_ms = 0
        self._unknown_until_ms = clock_ms + self._max_lease_ms

    def expect_late_calls(self, clock_ms: int, received_at_ms: int) -> None:
        """Records that a new process has answered that is not fenced yet."""
        self.begin_process(clock_ms, received_at_ms)
        self._unknown_until_ms = max(
            self._unknown_until_ms, self._latest_until_ms
        )

    def open_start(self, sent_at_ms: int) -> None:
        """Records that a start is sent.

        A later process than the known one may accept it.
        """
        self._open_starts_ms.append(sent_at_ms)

    def close_start(self, sent_at_ms: int, taken_at_ms: int | None) -> None:
        """Records when the target has taken a start, None if it has not."""
        self._open_starts_ms.remove(sent_at_ms)
        if taken_at_ms is not None:
            self._unlisted_start_ms = max(
                taken_at_ms, self._unlisted_start_ms or 0
            )

    def record_list(self, requested_at_ms: int) -> None:
        """Records that the known process has answered a later call."""
        started_at_ms = self._unlisted_start_ms
        if started_at_ms is not None and started_at_ms < requested_at_ms:
            self._unlisted_start_ms = None

    def grant(self, now_ms: int) -> int | None:
        """Extends the lease; returns its end on the target's clock.

        Returns None while the target's clock is unknown.
        """
        if self._sampled_at_ms is None:
            return None
        self._granted_at_ms = now_ms
        passed_ms = now_ms - self._sampled_at_ms
        until_ms = self._clock_ms + passed_ms + self._length_ms
        self._until_ms = max(until_ms, self._until_ms)
        self._latest_until_ms = max(self._until_ms, self._latest_until_ms)
        return self._until_ms

    @property
    def until_ms(self) -> int:
        """Returns the latest granted end; 0 before the first grant."""
        return self._until_ms

    def has_expired(self, now_ms: int) -> bool:
        """Returns whether the lease has ended on the target's clock."""
        return self.remaining_ms(now_ms) <= 0

    def remaining_ms(self, now_ms: int) -> int:
        """Returns how long the lease may last; 0 or less if it has expired."""
        expires_at_ms = self._known_expiry_ms()
        starts_ms = list(self._open_starts_ms)
        if self._unlisted_start_ms is not None:
            starts_ms.append(self._unlisted_start_ms)
        if starts_ms:
            latest_ms = max(*starts_ms, self._granted_at_ms)
            longest_ms = self._on_slowest_clock(self._max_lease_ms)
            expires_at_ms = max(expires_at_ms, latest_ms + longest_ms)
        return expires_at_ms + 1 - now_ms

    def _known_expiry_ms(self) -> int:
        until_ms = max(self._until_ms, self._unknown_until_ms)
        if self._sampled_at_ms is None or not until_ms:
            return self._inherited_until_ms
        lease_ms = until_ms - self._clock_ms
        return self._sampled_at_ms + self._on_slowest_clock(lease_ms)

    def _on_slowest_clock(self, lease_ms: int) -> int:
        return floor((lease_ms + _MARGIN_MS) / (1 - self._drift))


__all__ = ('InheritedLeases', 'TargetLease', 'inherited_expiry_ms')
