"""Collects evidence that previous owners no longer renew leases."""

from radishlift.core.errors import Failure
from radishlift.core.logs import log_event
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.messages import DropPartition, PartitionDropped
from radishlift.partitions.owner_history import (
    OwnerHistory,
    OwnerLapsed,
    PartitionOwned,
)
from radishlift.partitions.partition_log import PartitionLog
from radishlift.partitions.parts import DaemonParts
from radishlift.workers.leases import PreviousOwners


class PreviousOwnerMonitor:
    """Checks the previous owners of a partition until their leases expire.

    See `radishlift.workers.leases` for what counts as evidence and why.
    """

    def __init__(
        self,
        parts: DaemonParts,
        claim: OwnerClaim,
        history: OwnerHistory,
    ) -> None:
        self._parts = parts
        self._claim = claim
        self._history = history
        self.leases = PreviousOwners(history.owners)
        now_ms = parts.clock.monotonic_ms()
        for epoch in history.stopped & history.owners.keys():
            lease_ms = history.owners[epoch].lease_ms
            self.leases.observe_stopped(epoch, now_ms, lease_ms)

    async def check(self, log: PartitionLog) -> None:
        """Collects evidence and journals which leases have expired."""
        for epoch in self.leases.unconfirmed_epochs:
            owner_record = self._history.owners[epoch]
            if await self._has_stopped(owner_record):
                now_ms = self._parts.clock.monotonic_ms()
                self.leases.observe_stopped(
                    epoch, now_ms, owner_record.lease_ms
                )
        now_ms = self._parts.clock.monotonic_ms()
        for epoch in self.leases.expired_epochs(now_ms):
            if log.apply([OwnerLapsed(epoch)]) is None:
                self.leases.forget(epoch)

    async def _has_stopped(self, owner_record: PartitionOwned) -> bool:
        parts = self._parts
        is_this_daemon = owner_record.daemon_id == parts.daemon_id
        if is_this_daemon and owner_record.incarnation == parts.incarnation:
            # A runner starts only after the previous one of this process has
            # stopped.
            return True
        if parts.members.has_ended(
            owner_record.daemon_id, owner_record.incarnation
        ):
            return True
        if is_this_daemon:
            return False
        reply = await parts.network.call(
            owner_record.daemon_id,
            DropPartition(self._claim.partition_id, self._claim.epoch),
            parts.settings.partitions.call_timeout_ms,
        )
        if isinstance(reply, Failure):
            log_event(
                'former_owner_silent',
                partition=self._claim.partition_id,
                owner=owner_record.daemon_id,
                reason=reply.reason,
            )
            return False
        return _confirms_drop(reply, self._claim, owner_record)


def _confirms_drop(
    reply: object,
    claim: OwnerClaim,
    owner_record: PartitionOwned,
) -> bool:
    if not isinstance(reply, PartitionDropped):
        return False
    return (
        reply.partition_id == claim.partition_id
        and reply.incarnation == owner_record.incarnation
    )


__all__ = ('PreviousOwnerMonitor',)
