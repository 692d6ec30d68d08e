"""Routes jobs from any daemon to the owners of their home partitions."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, PartitionId, TaskId
from radishlift.partitions.gang_status import join_status
from radishlift.partitions.homes import (
    HomeCaller,
    OwnerLookup,
    make_job_id,
    no_partition,
)
from radishlift.partitions.loads import LoadBoard
from radishlift.partitions.messages import (
    CancelJob,
    ExplainTask,
    GetJobStatus,
    JobCancelling,
    JobMoved,
    JobSpread,
    JobStatus,
    JobSubmitted,
    SubmitJob,
    TaskExplained,
)
from radishlift.placement.hand_offs import MAX_HAND_OFFS
from radishlift.placement.jobs import JobSpec, job_id_of

_MAX_ID_CHARS: Final = 200


class JobRouter:
    """The jobs of the cell, as every daemon offers them to callers.

    All calls are idempotent: repeating one returns the first outcome. A
    failure says "not run" only if no owner can have journaled the job.
    """

    def __init__(
        self,
        caller: HomeCaller,
        lookup: OwnerLookup,
        loads: LoadBoard,
    ) -> None:
        self._caller = caller
        self._lookup = lookup
        self._loads = loads

    async def submit(
        self,
        spec: JobSpec,
        timeout_ms: int,
    ) -> JobSubmitted | Failure:
        """Submits a job; one without an id gets `<partition>.<random>`."""
        identified = self._identify(spec)
        if isinstance(identified, Failure):
            return identified
        deadline_ms = self._caller.deadline_ms(timeout_ms)
        home = await self._find_home(identified.job_id, deadline_ms)
        if isinstance(home, Failure):
            return home
        return await self._caller.call(
            home,
            lambda left_ms: SubmitJob(home, identified, left_ms),
            self._caller.left_ms(deadline_ms),
        )

    async def cancel(
        self,
        job_id: JobId,
        timeout_ms: int,
    ) -> JobCancelling | Failure:
        """Cancels a job, also after it was handed off."""
        return await self._follow(
            job_id,
            lambda partition_id, left_ms: CancelJob(
                partition_id,
                job_id,
                left_ms,
            ),
            timeout_ms,
        )

    async def status(
        self,
        job_id: JobId,
        timeout_ms: int,
    ) -> JobStatus | Failure:
        """Returns the states of a job's tasks, also over partitions."""
        shown = await self._follow(
            job_id,
            lambda partition_id, _: GetJobStatus(partition_id, job_id),
            timeout_ms,
            takes_last_known=True,
        )
        if isinstance(shown, JobMoved):
            return shown.last_known or _in_transit(shown)
        if isinstance(shown, JobSpread):
            return await join_status(self._caller, shown, timeout_ms)
        return shown

    async def explain(
        self,
        task_id: TaskId,
        timeout_ms: int,
    ) -> TaskExplained | Failure:
        """Returns where a task runs or why it does not."""
        return await self._follow(
            job_id_of(task_id),
            lambda partition_id, _: ExplainTask(partition_id, task_id),
            timeout_ms,
        )

    def _identify(self, spec: JobSpec) -> JobSpec | Failure:
        if len(spec.job_id) > _MAX_ID_CHARS:
            reason = f'job_id is longer than {_MAX_ID_CHARS} characters'
            return Failure(ErrorKind.invalid_input, reason)
        if spec.job_id:
            return spec
        home = self._loads.choose(self._lookup.partitions(), spec.demand)
        if home is None:
            return no_partition()
        return replace(spec, job_id=make_job_id(home))

    async def _find_home(
        self,
        job_id: JobId,
        deadline_ms: int,
    ) -> PartitionId | Failure:
        """Waits for the homes to be known, as they soon are after a start."""
        while True:
            home = self._lookup.home_of(job_id)
            if not isinstance(home, Failure):
                return home
            if home.kind is ErrorKind.no_configuration:
                return home
            if not await self._caller.pause(deadline_ms):
                return home

    async def _follow(
        self,
        job_id: JobId,
        message_of: Callable[[PartitionId, int], object],
        timeout_ms: int,
        *,
        takes_last_known: bool = False,
    ) -> Any:
        """Asks the home and then the partitions that the job moved to.

        Between the hand-off in one partition and the accept in the next, the
        next one does not know the job. Returns the `JobMoved` of the former
        at once if the caller takes what that knows, else asks again until the
        deadline.
        """
        deadline_ms = self._caller.deadline_ms(timeout_ms)
        while True:
            moved, reply = await self._ask(job_id, message_of, deadline_ms)
            if moved is None or moved.last_known is None:
                return reply
            if not isinstance(reply, Failure):
                return reply
            if reply.kind is not ErrorKind.not_found:
                return reply
            if takes_last_known:
                return moved
            if not await self._caller.pause(deadline_ms):
                return _in_transit(moved)

    async def _ask(
        self,
        job_id: JobId,
        message_of: Callable[[PartitionId, int], object],
        deadline_ms: int,
    ) -> tuple[JobMoved | None, Any]:
        """Returns the last reply, and the one that named its partition."""
        partition_id = await self._find_home(job_id, deadline_ms)
        if isinstance(partition_id, Failure):
            return None, partition_id
        moved: JobMoved | None = None
        for _ in range(MAX_HAND_OFFS + 1):
            reply = await self._caller.call(
                partition_id,
                _bind(message_of, partition_id),
                self._caller.left_ms(deadline_ms),
            )
            if not isinstance(reply, JobMoved):
                return moved, reply
            moved = reply
            partition_id = reply.to_partition
        reason = f'{job_id} was handed off more than {MAX_HAND_OFFS} times'
        return None, Failure(ErrorKind.internal, reason)


def _bind(
    message_of: Callable[[PartitionId, int], object],
    partition_id: PartitionId,
) -> Callable[[int], object]:
    return lambda left_ms: message_of(partition_id, left_ms)


def _in_transit(moved: JobMoved) -> Failure:
    reason = f'{moved.job_id} is being handed off to {moved.to_partition}'
    return Failure(ErrorKind.peer_unavailable, reason)


__all__ = ('JobRouter',)
