"""Recovers a partition and journals its new owner."""

import asyncio
from collections.abc import Callable

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.journal.recovery import RecoveryResult, recover
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.open_partition import OpenPartition, ends_ownership
from radishlift.partitions.owner_history import PartitionOwned
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.states import PartitionStates
from radishlift.workers.dispatcher import Dispatcher


async def recover_partition(
    claim: OwnerClaim,
    parts: DaemonParts,
    dispatcher_type: type[Dispatcher],
    is_wanted: Callable[[], bool],
) -> OpenPartition | Failure:
    """Recovers a partition and resumes its attempts.

    Retries while the table service is unavailable, as long as `is_wanted`
    returns true. Nothing is sent to workers before the record of the new
    owner is journaled.
    """
    partition = await _recover_states(claim, parts, dispatcher_type, is_wanted)
    if isinstance(partition, Failure):
        return partition
    failure = await _journal_owner(partition, parts, is_wanted)
    if failure is not None:
        return failure
    try:
        resumed_count = partition.effects.resume_attempts()
    except Exception:
        await partition.dispatcher.stop()
        raise
    log_event(
        'partition_taken_over',
        partition=claim.partition_id,
        epoch=claim.epoch,
        attempts=resumed_count,
    )
    return partition


async def _recover_states(
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
        if ends_ownership(outcome):
            return outcome
        await _wait_before_retry(parts)
    return _lost_failure(claim)


async def _journal_owner(
    partition: OpenPartition,
    parts: DaemonParts,
    is_wanted: Callable[[], bool],
) -> Failure | None:
    owner_record = PartitionOwned(
        partition.claim.epoch,
        parts.daemon_id,
        parts.incarnation,
        parts.settings.workers.lease_ms,
    )
    failure = partition.log.apply([owner_record])
    while failure is None and partition.log.has_pending:
        failure = await partition.flush_journal()
        if failure is not None and not ends_ownership(failure):
            failure = None
            await _wait_before_retry(parts)
        if not is_wanted():
            return _lost_failure(partition.claim)
    return failure


async def _wait_before_retry(parts: DaemonParts) -> None:
    retry_ms = parts.settings.partitions.recover_retry_ms
    await asyncio.sleep(retry_ms / 1000)


def _lost_failure(claim: OwnerClaim) -> Failure:
    reason = f'{claim.partition_id} was lost during recovery'
    return Failure(ErrorKind.not_owner, reason)


__all__ = ('recover_partition',)
