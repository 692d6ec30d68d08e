"""Owners of slots that are confirmed dead."""

from radishlift.core.clock import Clock
from radishlift.membership.api import MemberDirectory
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_rows import SlotOwner, SlotRow


class DeadOwners:
    """Finds dead owners whose slots may be reclaimed.

    Slots are reclaimed only when the longest deadline has passed after the
    evidence of death, since executors continue to run the requests of a dead
    daemon.
    """

    def __init__(
        self,
        members: MemberDirectory,
        limits: ServiceLimits,
        clock: Clock,
        settings: RequestSettings,
    ) -> None:
        self._members = members
        self._limits = limits
        self._clock = clock
        self._settings = settings
        self._dead_since_ms: dict[SlotOwner, int] = {}

    def is_dead(self, owner: SlotOwner) -> bool:
        """Returns whether there is evidence that an owner is dead."""
        if owner not in self._dead_since_ms:
            if not self._members.is_dead(owner.daemon_id, owner.incarnation):
                return False
            self._dead_since_ms[owner] = self._clock.monotonic_ms()
        return True

    def first_reclaimable(
        self, row: SlotRow, own: SlotOwner
    ) -> SlotOwner | None:
        """Returns a dead owner of a row whose requests are confirmed ended."""
        now_ms = self._clock.monotonic_ms()
        delay_ms = self._limits.longest_deadline_ms
        delay_ms += self._settings.settle_margin_ms
        for owner, _ in row.owners():
            if owner == own or not self.is_dead(owner):
                continue
            if now_ms - self._dead_since_ms[owner] >= delay_ms:
                return owner
        return None

    def keep_only(self, listed: set[SlotOwner]) -> None:
        """Removes the owners that no row lists any more."""
        for owner in set(self._dead_since_ms) - listed:
            self._dead_since_ms.pop(owner)


__all__ = ('DeadOwners',)
