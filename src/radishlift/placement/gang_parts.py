"""The part of a multi-partition gang in one partition.

The home reserves a part in each partition, in the order of partition ids, and
commits when all parts are held. If one is refused, it releases all of them. A
hold does not end at its expiry, because the home may have decided to commit:
from then on the partition requests the outcome from the home, and releases
the hold if the home did not decide to commit.
"""

from dataclasses import dataclass
from typing import Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Attempt, GangRoundId, JobId, PartitionId
from radishlift.placement.engine_context import EngineContext, RefusedPart
from radishlift.placement.gang_changes import can_start_in_parts, is_committable
from radishlift.placement.gangs import (
    count_fitting_members,
    find_gang_workers,
    stop_gang,
)
from radishlift.placement.hand_offs import HandOff, list_waiting_gangs
from radishlift.placement.jobs import JobSpec, Resources, task_id_of
from radishlift.placement.phases import PHASES, PhaseBudget
from radishlift.placement.placement_filter import PlacementFilter
from radishlift.placement.policies import Policy
from radishlift.placement.records import (
    GangCommitted,
    GangMember,
    GangReleased,
    GangReserved,
)
from radishlift.placement.rules import get_policy, quota_shortage
from radishlift.placement.tables import NO_ROW
from radishlift.placement.transfers import QueuedTask

NO_ROUND: Final = GangRoundId('')

HOLD_MS: Final = 5_000
"""Time after which a home that has not committed may have failed."""
_SHARE_REQUEST_MS: Final = 15_000
"""Longer than two of the longest intervals between rounds of a gang, so that
all its parts have their quota shares at the same time."""


@dataclass(frozen=True, slots=True)
class PartRequest:
    """The members of a gang for which a home requests a hold.

    `tasks` have the last attempt of each member, 0 if it never started.
    """

    spec: JobSpec
    home: PartitionId
    tasks: tuple[QueuedTask, ...]
    now_ms: int
    round_id: GangRoundId = NO_ROUND
    hold_ms: int = HOLD_MS


class GangParts:
    """Operations on parts of multi-partition gangs in one engine.

    The returned records are applied. They have to be journaled before the
    home gets an answer.
    """

    def __init__(self, context: EngineContext) -> None:
        self._context = context

    def reserve(self, request: PartRequest) -> GangReserved | Failure:
        """Holds capacity for all members.

        Returns the existing hold if the request is repeated. Fails with
        `overloaded`, `quota_exceeded` or `conflict`.
        """
        context = self._context
        spec = request.spec
        known = context.tables.holds.get(spec.job_id)
        if known is not None and known.round_id == request.round_id:
            return known
        refusal = _reservation_failure(context, request)
        if refusal is not None:
            return refusal
        rows = find_gang_workers(context, *_search_arguments(context, request))
        if not rows:
            return Failure(
                ErrorKind.overloaded, 'not enough free capacity for the part'
            )
        reserved = GangReserved(
            spec,
            request.home,
            _members(context, request, rows),
            spec.demand,
            request.now_ms + request.hold_ms,
            request.round_id,
        )
        self._apply(reserved)
        context.inputs.refused_parts.pop(spec.job_id, None)
        return reserved

    def count_fitting(self, request: PartRequest) -> int:
        """Counts the members that fit into the free capacity now."""
        return count_fitting_members(
            self._context, *_search_arguments(self._context, request)
        )

    def commit(
        self,
        job_id: JobId,
        now_ms: int,
        round_id: GangRoundId = NO_ROUND,
    ) -> GangCommitted | Failure:
        """Starts the held members; called only once the home has decided.

        Fails with `conflict` if nothing is held for the round or a worker
        was lost. The hold then has to be released before the home is
        informed.
        """
        hold = self._context.tables.holds.get(job_id)
        if hold is None or hold.round_id != round_id:
            return Failure(ErrorKind.conflict, 'the hold has ended')
        if not is_committable(self._context.tables, hold):
            return Failure(
                ErrorKind.conflict,
                'a worker was lost or the gang has changed',
            )
        committed = GangCommitted(job_id, now_ms, round_id)
        self._apply(committed)
        return committed

    def release(
        self,
        job_id: JobId,
        reason: str,
        round_id: GangRoundId = NO_ROUND,
        now_ms: int = 0,
    ) -> GangReleased:
        """Releases the hold of a round, if any, and closes the round."""
        released = GangReleased(job_id, reason, round_id, now_ms)
        self._apply(released)
        return released

    def list_waiting(self, now_ms: int) -> list[HandOff]:
        """Lists gangs of this home that could start in several partitions."""
        return list_waiting_gangs(self._context, now_ms)

    def list_expired_holds(self, now_ms: int) -> list[GangReserved]:
        """Lists the holds whose outcome has to be requested from the home."""
        holds = self._context.tables.holds.values()
        return [hold for hold in holds if now_ms >= hold.expires_at_ms]

    def stop(self, job_id: JobId, *, is_cancelled: bool) -> None:
        """Schedules the stop of a part.

        Its members are cancelled with `is_cancelled`, else queued again.
        """
        inputs = self._context.inputs
        if is_cancelled:
            inputs.cancellations.append(job_id)
        else:
            inputs.stopped_parts.append(job_id)

    def _apply(self, record: object) -> None:
        self._context.state.apply(record)
        self._context.sync_workers()


def _reservation_failure(
    context: EngineContext, request: PartRequest
) -> Failure | None:
    spec = request.spec
    tables = context.tables
    if spec.job_id in tables.holds:
        return Failure(
            ErrorKind.conflict, 'another round holds capacity for the part'
        )
    if request.round_id in tables.gangs.closed_rounds:
        return Failure(ErrorKind.conflict, 'the round was released')
    job_row = tables.jobs.row_of.get(spec.job_id, NO_ROW)
    if job_row != NO_ROW and not can_start_in_parts(tables, job_row):
        return Failure(ErrorKind.conflict, 'the gang has started here')
    count = len(request.tasks)
    shortage = quota_shortage(context, spec.team, spec.demand, count)
    if shortage is not None:
        context.inputs.refused_parts[spec.job_id] = RefusedPart(
            spec.team,
            spec.demand,
            count,
            request.now_ms + _SHARE_REQUEST_MS,
        )
        return Failure(ErrorKind.quota_exceeded, shortage.detail)
    return None


def _search_arguments(
    context: EngineContext,
    request: PartRequest,
) -> tuple[Policy, Resources, int, PlacementFilter]:
    spec = request.spec
    policy = get_policy(context, spec.department)
    rank = policy.rank(spec, False)
    worker_filter = PlacementFilter(
        context, spec, rank, spec.demand, request.now_ms
    )
    return policy, spec.demand, len(request.tasks), worker_filter


def _members(
    context: EngineContext,
    request: PartRequest,
    rows: list[int],
) -> tuple[GangMember, ...]:
    worker_infos = [context.tables.workers.worker_info[row] for row in rows]
    return tuple(
        GangMember(
            task_id_of(request.spec.job_id, task.index),
            Attempt(task.attempt + 1),
            worker.worker_id,
            worker.incarnation,
            task.failed_on,
        )
        for task, worker in zip(request.tasks, worker_infos, strict=True)
    )


@PHASES.register('holds')
def stop_parts(context: EngineContext, budget: PhaseBudget) -> bool:
    """Stops gang parts of which another part has to start again."""
    stopped = context.inputs.stopped_parts
    while stopped:
        if budget.is_exhausted():
            return False
        job_row = context.tables.jobs.row_of.get(stopped.popleft(), NO_ROW)
        if job_row != NO_ROW and context.tables.jobs.is_part[job_row]:
            stop_gang(context, job_row, 'another part of the gang stopped')
    _forget_refused(context, budget.now_ms)
    return True


def _forget_refused(context: EngineContext, now_ms: int) -> None:
    refused = context.inputs.refused_parts
    is_over = [
        job_id for job_id in refused if now_ms >= refused[job_id].until_ms
    ]
    for job_id in is_over:
        del refused[job_id]


__all__ = ('HOLD_MS', 'NO_ROUND', 'GangParts', 'PartRequest', 'stop_parts')
