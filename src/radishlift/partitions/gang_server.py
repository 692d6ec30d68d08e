"""Answers owners about gangs over partitions, as a part and as a home."""

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

    A reply that something is so is sent after that is journaled. A message to
    a deposed owner therefore gets no reply that its successor contradicts.
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
            AskGangRound: self._tell_outcome,
            ReportGangPart: self._record_end,
        }
        for message_type, handler in handlers.items():
            rounds.parts.network.register(message_type, self._opened(handler))

    def _opened(self, handler: Any) -> Any:
        async def handle(_sender: DaemonId, asked: Any) -> Any:
            runner = self._partitions.get(asked.partition_id)
            opened = None if runner is None else runner.opened
            if opened is None:
                reason = f'{asked.partition_id} is not owned here'
                return Failure(ErrorKind.not_owner, reason)
            return await handler(opened, asked)

        return handle

    async def _reserve(
        self,
        opened: OpenPartition,
        asked: ReserveGangPart,
    ) -> GangPartReserved | GangPartRefused | Failure:
        refusal = opened.log.journal.refusal()
        if refusal is not None:
            return refusal
        holds = opened.states.placement.tables.holds
        before = holds.get(asked.spec.job_id)
        request = PartRequest(
            asked.spec,
            asked.home,
            asked.tasks,
            opened.now_ms(),
            asked.round_id,
            self._settings.gang_hold_ms,
        )
        reserved = opened.engine.gang_parts.reserve(request)
        if isinstance(reserved, Failure):
            room_count = 0
            if reserved.kind is ErrorKind.overloaded:
                room_count = opened.engine.gang_parts.count_fitting(request)
            reason = reserved.reason
            return GangPartRefused(asked.partition_id, room_count, reason)
        failure = None
        if before is None:
            failure = opened.add_applied(reserved)
        failure = failure or await opened.wait_durable(asked.timeout_ms)
        return failure or GangPartReserved(asked.partition_id)

    async def _commit(
        self,
        opened: OpenPartition,
        asked: CommitGangPart,
    ) -> GangPartCommitted | GangPartGone | Failure:
        refusal = opened.log.journal.refusal()
        if refusal is not None:
            return refusal
        reason = commit_or_close(opened, asked.job_id, asked.round_id)
        failure = await opened.wait_durable(asked.timeout_ms)
        if failure is not None:
            return failure
        if reason:
            return GangPartGone(asked.partition_id, reason)
        return GangPartCommitted(asked.partition_id)

    async def _release(
        self,
        opened: OpenPartition,
        asked: ReleaseGangPart,
    ) -> GangPartAccepted:
        hold = opened.states.placement.tables.holds.get(asked.job_id)
        if hold is not None and hold.round_id == asked.round_id:
            released = opened.engine.gang_parts.release(
                asked.job_id,
                'the home released the round',
                asked.round_id,
                opened.now_ms(),
            )
            opened.add_applied(released)
        return GangPartAccepted(asked.partition_id)

    async def _stop(
        self,
        opened: OpenPartition,
        asked: StopGangPart,
    ) -> GangPartAccepted:
        part = opened.states.placement.tables.gangs.parts.get(asked.job_id)
        if part is not None and part.round_id == asked.round_id:
            opened.engine.gang_parts.stop(
                asked.job_id,
                is_cancelled=asked.is_cancelled,
            )
            opened.wake()
        return GangPartAccepted(asked.partition_id)

    async def _tell_outcome(
        self,
        opened: OpenPartition,
        asked: AskGangRound,
    ) -> GangRoundOutcome | Failure:
        refusal = _refuse_if_former(opened, asked.round_id)
        if refusal is not None:
            return refusal
        if asked.round_id in self._rounds.open:
            return GangRoundOutcome(RoundOutcome.undecided)
        if not _is_open(opened, asked.job_id, asked.round_id, asked.part):
            return GangRoundOutcome(RoundOutcome.ended)
        failure = await opened.wait_durable(asked.timeout_ms)
        return failure or GangRoundOutcome(RoundOutcome.committed)

    async def _record_end(
        self,
        opened: OpenPartition,
        asked: ReportGangPart,
    ) -> GangPartRecorded | Failure:
        refusal = _refuse_if_former(opened, asked.round_id)
        refusal = refusal or opened.log.journal.refusal()
        if refusal is not None:
            return refusal
        if _is_open(opened, asked.job_id, asked.round_id, asked.part):
            ended = GangPartEnded(
                asked.job_id,
                asked.round_id,
                asked.part,
                asked.queued_tasks,
                asked.ended_counts,
                opened.now_ms(),
            )
            opened.log.apply([ended])
            opened.wake()
        failure = await opened.wait_durable(asked.timeout_ms)
        return failure or GangPartRecorded(asked.job_id)


def commit_or_close(
    opened: OpenPartition,
    job_id: JobId,
    round_id: GangRoundId,
) -> str:
    """Starts a part that is held, or closes its round and tells why.

    Called only when the home has decided. A part that has started already
    stays as it is.
    """
    part = opened.states.placement.tables.gangs.parts.get(job_id)
    if part is not None and part.round_id == round_id:
        return ''
    parts = opened.engine.gang_parts
    committed = parts.commit(job_id, opened.now_ms(), round_id)
    if not isinstance(committed, Failure):
        opened.add_applied(committed)
        return ''
    reason = committed.reason
    released = parts.release(job_id, reason, round_id, opened.now_ms())
    opened.add_applied(released)
    return reason


def _refuse_if_former(
    opened: OpenPartition,
    round_id: GangRoundId,
) -> Failure | None:
    """Refuses to tell about rounds of a later owner, who may decide them."""
    epoch = epoch_of(round_id)
    if epoch is not None and opened.claim.epoch >= epoch:
        return None
    reason = f'round {round_id} is not of this owner or a former one'
    return Failure(ErrorKind.not_owner, reason)


def _is_open(
    opened: OpenPartition,
    job_id: JobId,
    round_id: GangRoundId,
    part: PartitionId,
) -> bool:
    """Tells whether a part is decided and has not ended."""
    spread = opened.states.placement.tables.gangs.multi_partition.get(job_id)
    if spread is None or spread.decision.round_id != round_id:
        return False
    return any(share.partition_id == part for share in spread.open_shares())


__all__ = ('GangServer', 'commit_or_close')
