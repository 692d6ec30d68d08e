"""Handles messages about multi-partition gangs, for parts and for homes."""

from typing import Any

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, GangRoundId, JobId, PartitionId
from radishlift.partitions.gang_messages import (
    AskGangRound,
    CommitGangPart,
    GangPartAccepted,
    GangPartCommitted,
    GangPartGone,
    GangPartRecorded,
    GangPartRefused,
    GangPartReserved,
    GangRoundOutcome,
    ReleaseGangPart,
    ReportGangPart,
    ReserveGangPart,
    RoundOutcome,
    StopGangPart,
)
from radishlift.partitions.gang_rounds import GangRounds
from radishlift.partitions.gang_shares import epoch_of
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.partitions import Partitions
from radishlift.placement.gang_parts import PartRequest
from radishlift.placement.gang_records import GangPartEnded


class GangServer:
    """Registers the handlers of messages about gangs.

    A reply that states a fact is sent after the fact is journaled. A deposed
    owner therefore sends no reply that the new owner contradicts.
    """

    def __init__(
        self,
        partitions: Partitions,
        rounds: GangRounds,
    ) -> None:
        self._partitions = partitions
        self._rounds = rounds
        self._settings = rounds.parts.settings.partitions
        handlers = {
            ReserveGangPart: self._reserve,
            CommitGangPart: self._commit,
            ReleaseGangPart: self._release,
            StopGangPart: self._stop,
            AskGangRound: self._round_outcome,
            ReportGangPart: self._journal_part_end,
        }
        for message_type, handler in handlers.items():
            rounds.parts.network.register(
                message_type, self._with_open_partition(handler)
            )

    def _with_open_partition(self, handler: Any) -> Any:
        async def handle(_sender: DaemonId, request: Any) -> Any:
            runner = self._partitions.get(request.partition_id)
            partition = None if runner is None else runner.partition
            if partition is None:
                reason = f'{request.partition_id} is not owned here'
                return Failure(ErrorKind.not_owner, reason)
            return await handler(partition, request)

        return handle

    async def _reserve(
        self,
        partition: OpenPartition,
        request: ReserveGangPart,
    ) -> GangPartReserved | GangPartRefused | Failure:
        refusal = partition.log.journal.refusal()
        if refusal is not None:
            return refusal
        holds = partition.states.placement.tables.holds
        existing = holds.get(request.spec.job_id)
        part_request = PartRequest(
            request.spec,
            request.home,
            request.tasks,
            partition.now_ms(),
            request.round_id,
            self._settings.gang_hold_ms,
        )
        reserved = partition.engine.gang_parts.reserve(part_request)
        if isinstance(reserved, Failure):
            room_count = 0
            if reserved.kind is ErrorKind.overloaded:
                room_count = partition.engine.gang_parts.count_fitting(
                    part_request
                )
            reason = reserved.reason
            return GangPartRefused(request.partition_id, room_count, reason)
        failure = None
        if existing is None:
            failure = partition.add_applied(reserved)
        failure = failure or await partition.wait_durable(request.timeout_ms)
        return failure or GangPartReserved(request.partition_id)

    async def _commit(
        self,
        partition: OpenPartition,
        request: CommitGangPart,
    ) -> GangPartCommitted | GangPartGone | Failure:
        refusal = partition.log.journal.refusal()
        if refusal is not None:
            return refusal
        reason = commit_or_close(partition, request.job_id, request.round_id)
        failure = await partition.wait_durable(request.timeout_ms)
        if failure is not None:
            return failure
        if reason:
            return GangPartGone(request.partition_id, reason)
        return GangPartCommitted(request.partition_id)

    async def _release(
        self,
        partition: OpenPartition,
        request: ReleaseGangPart,
    ) -> GangPartAccepted:
        hold = partition.states.placement.tables.holds.get(request.job_id)
        if hold is not None and hold.round_id == request.round_id:
            released = partition.engine.gang_parts.release(
                request.job_id,
                'the home released the round',
                request.round_id,
                partition.now_ms(),
            )
            partition.add_applied(released)
        return GangPartAccepted(request.partition_id)

    async def _stop(
        self,
        partition: OpenPartition,
        request: StopGangPart,
    ) -> GangPartAccepted:
        part = partition.states.placement.tables.gangs.parts.get(request.job_id)
        if part is not None and part.round_id == request.round_id:
            partition.engine.gang_parts.stop(
                request.job_id,
                is_cancelled=request.is_cancelled,
            )
            partition.request_tick()
        return GangPartAccepted(request.partition_id)

    async def _round_outcome(
        self,
        partition: OpenPartition,
        request: AskGangRound,
    ) -> GangRoundOutcome | Failure:
        refusal = _refuse_if_later_epoch(partition, request.round_id)
        if refusal is not None:
            return refusal
        if request.round_id in self._rounds.open_rounds:
            return GangRoundOutcome(RoundOutcome.undecided)
        if not _is_part_open(
            partition, request.job_id, request.round_id, request.part
        ):
            return GangRoundOutcome(RoundOutcome.ended)
        failure = await partition.wait_durable(request.timeout_ms)
        return failure or GangRoundOutcome(RoundOutcome.committed)

    async def _journal_part_end(
        self,
        partition: OpenPartition,
        request: ReportGangPart,
    ) -> GangPartRecorded | Failure:
        refusal = _refuse_if_later_epoch(partition, request.round_id)
        refusal = refusal or partition.log.journal.refusal()
        if refusal is not None:
            return refusal
        if _is_part_open(
            partition, request.job_id, request.round_id, request.part
        ):
            ended = GangPartEnded(
                request.job_id,
                request.round_id,
                request.part,
                request.queued_tasks,
                request.ended_counts,
                partition.now_ms(),
            )
            partition.log.apply([ended])
            partition.request_tick()
        failure = await partition.wait_durable(request.timeout_ms)
        return failure or GangPartRecorded(request.job_id)


def commit_or_close(
    partition: OpenPartition,
    job_id: JobId,
    round_id: GangRoundId,
) -> str:
    """Starts a reserved part, or closes its round and returns the reason.

    Called only after the decision of the home. A part that has already started
    is not changed.
    """
    part = partition.states.placement.tables.gangs.parts.get(job_id)
    if part is not None and part.round_id == round_id:
        return ''
    parts = partition.engine.gang_parts
    committed = parts.commit(job_id, partition.now_ms(), round_id)
    if not isinstance(committed, Failure):
        partition.add_applied(committed)
        return ''
    reason = committed.reason
    released = parts.release(job_id, reason, round_id, partition.now_ms())
    partition.add_applied(released)
    return reason


def _refuse_if_later_epoch(
    partition: OpenPartition,
    round_id: GangRoundId,
) -> Failure | None:
    """Refuses requests about rounds of later owners, who may decide them."""
    epoch = epoch_of(round_id)
    if epoch is not None and partition.claim.epoch >= epoch:
        return None
    reason = f'round {round_id} is not of this owner or an earlier one'
    return Failure(ErrorKind.not_owner, reason)


def _is_part_open(
    partition: OpenPartition,
    job_id: JobId,
    round_id: GangRoundId,
    part: PartitionId,
) -> bool:
    """Returns whether a part is decided and has not ended."""
    gang = partition.states.placement.tables.gangs.multi_partition.get(job_id)
    if gang is None or gang.decision.round_id != round_id:
        return False
    return any(share.partition_id == part for share in gang.open_shares())


__all__ = ('GangServer', 'commit_or_close')
