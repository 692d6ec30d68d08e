"""The steps of a partition that takes part in a gang over partitions.

The home reserves a part in each partition in partition-id order, and commits
when all parts are held. On any refusal it releases all of them. A hold does
not end by time alone, because the home may have decided to commit: from its
expiry on the partition asks the home and releases what was not decided.
"""

from dataclasses import dataclass
from typing import Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Attempt, GangRoundId, JobId, PartitionId
from radishlift.placement.gang_changes import is_committable, may_spread
from radishlift.placement.gangs import (
    count_gang_room,
    find_gang_workers,
    stop_gang,
)
from radishlift.placement.hand_offs import HandOff, list_waiting_gangs
from radishlift.placement.jobs import JobSpec, Resources, task_id_of
from radishlift.placement.permits import Permit
from radishlift.placement.policies import Policy
from radishlift.placement.records import (
    GangCommitted,
    GangMember,
    GangReleased,
    GangReserved,
)
from radishlift.placement.rules import policy_of, quota_shortage
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.tables import NO_ROW
from radishlift.placement.transfers import QueuedTask
from radishlift.placement.working import RefusedPart, Working

NO_ROUND: Final = GangRoundId('')

HOLD_MS: Final = 5_000
"""A home that does not commit in this time may have failed."""
_WANTED_MS: Final = 15_000
"""Longer than two of the longest pauses between the rounds of a gang, so that
all its parts have their shares at once."""


@dataclass(frozen=True, slots=True)
class PartRequest:
    """The members of a gang that a home asks this partition to hold.

    `tasks` have the last attempt of each member, 0 if it never started.
    """

    spec: JobSpec
    home: PartitionId
    tasks: tuple[QueuedTask, ...]
    now_ms: int
    round_id: GangRoundId = NO_ROUND
    hold_ms: int = HOLD_MS


class GangParts:
    """The steps of gangs that span partitions, for one engine.

    Each record that is returned was applied and has to be journaled before
    the home is answered.
    """

    def __init__(self, working: Working) -> None:
        self._working = working

    def reserve(self, request: PartRequest) -> GangReserved | Failure:
        """Holds capacity for all members, or fails with `overloaded`.

        A repeat returns the hold that exists.
        """
        working = self._working
        spec = request.spec
        known = working.tables.holds.get(spec.job_id)
        if known is not None and known.round_id == request.round_id:
            return known
        refusal = _refusal_of(working, request)
        if refusal is not None:
            return refusal
        rows = find_gang_workers(working, *_search(working, request))
        if not rows:
            return Failure(ErrorKind.overloaded, 'no room for the part')
        reserved = GangReserved(
            spec,
            request.home,
            _members(working, request, rows),
            spec.demand,
            request.now_ms + request.hold_ms,
            request.round_id,
        )
        self._apply(reserved)
        working.inputs.refused_parts.pop(spec.job_id, None)
        return reserved

    def count_room(self, request: PartRequest) -> int:
        """Counts how many of the members have room now."""
        return count_gang_room(self._working, *_search(self._working, request))

    def commit(
        self,
        job_id: JobId,
        now_ms: int,
        round_id: GangRoundId = NO_ROUND,
    ) -> GangCommitted | Failure:
        """Starts the held members; called only once the home has decided.

        Fails with `conflict` when nothing is held for the round or a worker
        was lost. The hold is then to be released before the home is told.
        """
        hold = self._working.tables.holds.get(job_id)
        if hold is None or hold.round_id != round_id:
            return Failure(ErrorKind.conflict, 'the hold has ended')
        if not is_committable(self._working.tables, hold):
            return Failure(ErrorKind.conflict, 'a worker of the gang is gone')
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
        """Gives up the hold of a round, if any, and closes the round."""
        released = GangReleased(job_id, reason, round_id, now_ms)
        self._apply(released)
        return released

    def list_waiting(self, now_ms: int) -> list[HandOff]:
        """Lists gangs of this home that could start over partitions."""
        return list_waiting_gangs(self._working, now_ms)

    def overdue(self, now_ms: int) -> list[GangReserved]:
        """Lists the holds whose home is to be asked for the outcome."""
        holds = self._working.tables.holds.values()
        return [hold for hold in holds if now_ms >= hold.expires_at_ms]

    def stop(self, job_id: JobId, *, is_cancelled: bool) -> None:
        """Stops a part in the next ticks, for good or to be started anew."""
        inputs = self._working.inputs
        if is_cancelled:
            inputs.cancellations.append(job_id)
        else:
            inputs.stopped_parts.append(job_id)

    def _apply(self, record: object) -> None:
        self._working.state.apply(record)
        self._working.sync_workers()


def _refusal_of(working: Working, request: PartRequest) -> Failure | None:
    spec = request.spec
    tables = working.tables
    if spec.job_id in tables.holds:
        return Failure(ErrorKind.conflict, 'another round holds the part')
    if request.round_id in tables.gangs.closed_rounds:
        return Failure(ErrorKind.conflict, 'the round was released')
    job_row = tables.jobs.row_of.get(spec.job_id, NO_ROW)
    if job_row != NO_ROW and not may_spread(tables, job_row):
        return Failure(ErrorKind.conflict, 'the gang has started here')
    count = len(request.tasks)
    shortage = quota_shortage(working, spec.team, spec.demand, count)
    if shortage is not None:
        working.inputs.refused_parts[spec.job_id] = RefusedPart(
            spec.team,
            spec.demand,
            count,
            request.now_ms + _WANTED_MS,
        )
        return Failure(ErrorKind.quota_exceeded, shortage.detail)
    return None


def _search(
    working: Working,
    request: PartRequest,
) -> tuple[Policy, Resources, int, Permit]:
    spec = request.spec
    policy = policy_of(working, spec.department)
    rank = policy.rank(spec, False)
    permit = Permit(working, spec, rank, spec.demand, request.now_ms)
    return policy, spec.demand, len(request.tasks), permit


def _members(
    working: Working,
    request: PartRequest,
    rows: list[int],
) -> tuple[GangMember, ...]:
    described = [working.tables.workers.worker_info[row] for row in rows]
    return tuple(
        GangMember(
            task_id_of(request.spec.job_id, task.index),
            Attempt(task.attempt + 1),
            worker.worker_id,
            worker.incarnation,
            task.failed_on,
        )
        for task, worker in zip(request.tasks, described, strict=True)
    )


@SYSTEMS.register('holds')
def stop_parts(working: Working, time: TickTime) -> bool:
    """Stops the parts of gangs of which another part needs a new start."""
    stopped = working.inputs.stopped_parts
    while stopped:
        if time.is_over():
            return False
        job_row = working.tables.jobs.row_of.get(stopped.popleft(), NO_ROW)
        if job_row != NO_ROW and working.tables.jobs.is_part[job_row]:
            stop_gang(working, job_row, 'another part of the gang stopped')
    _forget_refused(working, time.now_ms)
    return True


def _forget_refused(working: Working, now_ms: int) -> None:
    refused = working.inputs.refused_parts
    is_over = [
        job_id for job_id in refused if now_ms >= refused[job_id].until_ms
    ]
    for job_id in is_over:
        del refused[job_id]


__all__ = ('HOLD_MS', 'NO_ROUND', 'GangParts', 'PartRequest', 'stop_parts')
