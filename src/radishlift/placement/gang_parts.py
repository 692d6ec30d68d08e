"""Two steps by which a gang starts in several partitions.

The home reserves a part in each partition in partition-id order, and commits
when all parts are held. On any refusal it releases all of them. A hold that
is not committed in time ends by itself.
"""

from dataclasses import dataclass
from typing import Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Attempt, JobId, PartitionId
from radishlift.placement.gang_changes import is_committable, is_unstarted
from radishlift.placement.gangs import find_gang_workers
from radishlift.placement.jobs import JobSpec, task_id_of
from radishlift.placement.permits import Permit
from radishlift.placement.records import (
    GangCommitted,
    GangMember,
    GangReleased,
    GangReserved,
)
from radishlift.placement.rules import policy_of, quota_shortage
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.tables import NO_ROW
from radishlift.placement.working import Working

HOLD_MS: Final = 5_000
"""A home that does not commit in this time may have failed."""


@dataclass(frozen=True, slots=True)
class PartRequest:
    """The members of a gang that a home asks this partition to hold."""

    spec: JobSpec
    home: PartitionId
    indexes: tuple[int, ...]
    now_ms: int


def reserve_part(
    working: Working,
    request: PartRequest,
) -> GangReserved | Failure:
    """Holds capacity for all members, or fails with `overloaded`.

    A repeat returns the hold that exists.
    """
    spec = request.spec
    known = working.tables.holds.get(spec.job_id)
    if known is not None:
        return known
    job_row = working.tables.jobs.row_of.get(spec.job_id, NO_ROW)
    if job_row != NO_ROW and not is_unstarted(working.tables, job_row):
        return Failure(ErrorKind.conflict, 'the gang has started here')
    count = len(request.indexes)
    shortage = quota_shortage(working, spec.team, spec.demand, count)
    if shortage is not None:
        return Failure(ErrorKind.quota_exceeded, shortage.detail)
    rows = _find_workers(working, request)
    if not rows:
        return Failure(ErrorKind.overloaded, 'no room for the part')
    reserved = GangReserved(
        spec,
        request.home,
        _members(working, request, rows),
        spec.demand,
        request.now_ms + HOLD_MS,
    )
    _apply(working, reserved)
    return reserved


def _find_workers(working: Working, request: PartRequest) -> list[int]:
    spec = request.spec
    policy = policy_of(working, spec.department)
    rank = policy.rank(spec, False)
    permit = Permit(working, spec, rank, spec.demand, request.now_ms)
    count = len(request.indexes)
    return find_gang_workers(working, policy, spec.demand, count, permit)


def _members(
    working: Working,
    request: PartRequest,
    rows: list[int],
) -> tuple[GangMember, ...]:
    described = [working.tables.workers.worker_info[row] for row in rows]
    return tuple(
        GangMember(
            task_id_of(request.spec.job_id, index),
            Attempt(1),
            worker.worker_id,
            worker.incarnation,
        )
        for index, worker in zip(request.indexes, described, strict=True)
    )


def commit_part(
    working: Working,
    job_id: JobId,
    now_ms: int,
) -> GangCommitted | Failure:
    """Starts the held members.

    Fails with `conflict` when the hold has ended or a worker was lost; the
    home then cancels the parts that are committed and releases the others.
    """
    hold = working.tables.holds.get(job_id)
    if hold is None or now_ms >= hold.expires_at_ms:
        return Failure(ErrorKind.conflict, 'the hold has ended')
    if not is_committable(working.tables, hold):
        return Failure(ErrorKind.conflict, 'a worker of the gang is gone')
    committed = GangCommitted(job_id, now_ms)
    _apply(working, committed)
    return committed


def release_part(
    working: Working,
    job_id: JobId,
    reason: str,
) -> GangReleased | None:
    """Gives up a hold, if there is one."""
    if job_id not in working.tables.holds:
        return None
    released = GangReleased(job_id, reason)
    _apply(working, released)
    return released


class GangParts:
    """The steps of gangs that span partitions, for one engine.

    Each record that is returned was applied and has to be journaled before
    the home is answered.
    """

    def __init__(self, working: Working) -> None:
        self._working = working

    def reserve(self, request: PartRequest) -> GangReserved | Failure:
        """Holds capacity for all members, or fails with `overloaded`."""
        return reserve_part(self._working, request)

    def commit(self, job_id: JobId, now_ms: int) -> GangCommitted | Failure:
        """Starts the held members; fails when the hold has ended."""
        return commit_part(self._working, job_id, now_ms)

    def release(self, job_id: JobId, reason: str) -> GangReleased | None:
        """Gives up a hold, if there is one."""
        return release_part(self._working, job_id, reason)


def _apply(working: Working, record: object) -> None:
    working.state.apply(record)
    working.sync_workers()


@SYSTEMS.register('holds')
def expire_holds(working: Working, time: TickTime) -> bool:
    """Ends the holds that were not committed in time."""
    for job_id, hold in list(working.tables.holds.items()):
        if time.now_ms >= hold.expires_at_ms:
            working.emit(GangReleased(job_id, 'not committed in time'))
    return True


__all__ = (
    'GangParts',
    'PartRequest',
    'commit_part',
    'release_part',
    'reserve_part',
)
