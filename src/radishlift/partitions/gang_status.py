"""Joins the status of a gang in its home with that of its parts."""

import asyncio
from dataclasses import replace
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId, PartitionId
from radishlift.partitions.homes import HomeCaller
from radishlift.partitions.messages import (
    GetJobStatus,
    JobSpread,
    JobStatus,
    OpenShare,
)
from radishlift.placement.jobs import TaskState

_TRIES: Final = 3


async def join_status(
    caller: HomeCaller,
    spread: JobSpread,
    timeout_ms: int,
) -> JobStatus | Failure:
    """Asks the partitions of the open shares, and adds what they count.

    A part that is unknown has not started, or has ended meanwhile; asking
    the home again tells which.
    """
    job_id = spread.status.job_id
    shown = spread
    for _ in range(_TRIES):
        replies = await asyncio.gather(
            *(
                _ask(caller, share.partition_id, job_id, timeout_ms)
                for share in shown.shares
            ),
        )
        unknown = _unknown(shown.shares, replies)
        if unknown:
            home = shown.status.partition_id
            again = await _ask(caller, home, job_id, timeout_ms)
            if not isinstance(again, JobSpread):
                return again
            if not set(unknown) <= set(again.shares):
                shown = again
                continue
        return _join(shown, replies)
    return Failure(ErrorKind.overloaded, f'the parts of {job_id} change')


async def _ask(
    caller: HomeCaller,
    partition_id: PartitionId,
    job_id: JobId,
    timeout_ms: int,
) -> Any:
    return await caller.call(
        partition_id,
        lambda _: GetJobStatus(partition_id, job_id),
        timeout_ms,
    )


def _unknown(
    shares: tuple[OpenShare, ...],
    replies: list[Any],
) -> list[OpenShare]:
    return [
        share
        for share, reply in zip(shares, replies, strict=True)
        if isinstance(reply, Failure) and reply.kind is ErrorKind.not_found
    ]


def _join(spread: JobSpread, replies: list[Any]) -> JobStatus | Failure:
    counts = dict(spread.status.task_counts)
    for share, reply in zip(spread.shares, replies, strict=True):
        added = {TaskState.queued: share.tasks_count}
        if isinstance(reply, JobStatus):
            added = reply.task_counts
        elif reply.kind is not ErrorKind.not_found:
            return reply
        for state, count in added.items():
            counts[state] = counts.get(state, 0) + count
    return replace(spread.status, task_counts=counts)


__all__ = ('join_status',)
