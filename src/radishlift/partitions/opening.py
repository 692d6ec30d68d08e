"""Recovers a partition and journals that this daemon owns it."""

import asyncio
from collections.abc import Callable

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.journal.recovery import RecoveryResult, recover
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.open_partition import OpenPartition, is_final
from radishlift.partitions.owners import PartitionOwned
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.states import PartitionStates
from radishlift.workers.dispatcher import Dispatcher


async def open_partition(
    claim: OwnerClaim,
    parts: DaemonParts,
    dispatcher_type: type[Dispatcher],
    is_wanted: Callable[[], bool],
) -> OpenPartition | Failure:
    """Recovers a partition and takes over its attempts.

    Repeats while the table service is down, as long as `is_wanted`. Nothing
    is sent to workers before the journal shows the new owner.
    """
    opened = await _recover(claim, parts, dispatcher_type, is_wanted)
    if isinstance(opened, Failure):
        return opened
    failure = await _journal_owner(opened, parts, is_wanted)
    if failure is not None:
        return failure
    resumed_count = opened.effects.resume()
    log_event(
        'partition_taken_over',
        partition=claim.partition_id,
        epoch=claim.epoch,
        attempts=resumed_count,
    )
    return opened


async def _recover(
    claim: OwnerClaim,
    parts: DaemonParts,
    dispatcher_type: type[Dispatcher],
    is_wanted: Callable[[], bool],
) -> OpenPartition | Failure:
    while is_wanted():
        states = PartitionStates(parts.state_factories)
        outcome = await recover(
            parts.store,
            parts.object_store,
            claim.partition_id,
            states.all,
        )
        if isinstance(outcome, RecoveryResult):
            return OpenPartition(claim, parts, states, outcome, dispatcher_type)
        if is_final(outcome):
            return outcome
        await _pause(parts)
    return _unwanted(claim)


async def _journal_owner(
    opened: OpenPartition,
    parts: DaemonParts,
    is_wanted: Callable[[], bool],
) -> Failure | None:
    owned = PartitionOwned(
        opened.claim.epoch,
        parts.daemon_id,
        parts.incarnation,
        parts.settings.workers.lease_ms,
    )
    failure = opened.log.apply([owned])
    while failure is None and opened.log.has_pending:
        failure = await opened.flush_journal()
        if failure is not None and not is_final(failure):
            failure = None
            await _pause(parts)
        if not is_wanted():
            return _unwanted(opened.claim)
    return failure


async def _pause(parts: DaemonParts) -> None:
    retry_ms = parts.settings.partitions.recover_retry_ms
    await asyncio.sleep(retry_ms / 1000)


def _unwanted(claim: OwnerClaim) -> Failure:
    reason = f'{claim.partition_id} was lost during recovery'
    return Failure(ErrorKind.not_owner, reason)


__all__ = ('open_partition',)
