"""Owners of slots that have died."""

from radishlift.core.clock import Clock
from radishlift.membership.api import MemberDirectory
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_rows import SlotOwner, SlotRow


class DeadOwners:
    """Finds dead owners whose slots may be reclaimed.

    Slots are reclaimed only when the longest deadline has passed since their
    owner was known to have ended, as executors continue to run the requests
    of a daemon that has ended. Other evidence of death only excludes an owner
    from the distribution of slots.
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
        self._ended_since_ms: dict[SlotOwner, int] = {}

    def is_dead(self, owner: SlotOwner) -> bool:
        """Returns whether there is evidence that an owner is dead."""
        return self._has_ended(owner) or self._members.is_dead(
            owner.daemon_id, owner.incarnation
        )

    def first_reclaimable(
        self, row: SlotRow, own: SlotOwner
    ) -> SlotOwner | None:
        """Returns a dead owner of a row whose requests are confirmed ended."""
        now_ms = self._clock.monotonic_ms()
        delay_ms = self._limits.longest_deadline_ms
        delay_ms += self._settings.settle_margin_ms
        for owner, _ in row.owners():
            if owner == own or not self._has_ended(owner):
                continue
            if now_ms - self._ended_since_ms[owner] >= delay_ms:
                return owner
        return None

    def keep_only(self, listed: set[SlotOwner]) -> None:
        """Removes the owners that no row lists any more."""
        for owner in set(self._ended_since_ms) - listed:
            self._ended_since_ms.pop(owner)

    def _has_ended(self, owner: SlotOwner) -> bool:
        if owner not in self._ended_since_ms:
            if not self._members.has_ended(owner.daemon_id, owner.incarnation):
                return False
            self._ended_since_ms[owner] = self._clock.monotonic_ms()
        return True


__all__ = ('DeadOwners',)
