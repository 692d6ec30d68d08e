"""Merges the status of a gang in its home with that of its parts."""

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

_MAX_TRIES_COUNT: Final = 3


async def merge_gang_status(
    caller: HomeCaller,
    home_status: JobSpread,
    timeout_ms: int,
) -> JobStatus | Failure:
    """Adds the task counts of the open shares to those of the home.

    A partition that does not know the job has not started its part, or the
    part has ended in the meantime. A second request to the home shows which.
    """
    job_id = home_status.status.job_id
    current = home_status
    for _ in range(_MAX_TRIES_COUNT):
        replies = await asyncio.gather(
            *(
                _request_status(caller, share.partition_id, job_id, timeout_ms)
                for share in current.shares
            ),
        )
        unknown = _unknown_shares(current.shares, replies)
        if unknown:
            home = current.status.partition_id
            home_reply = await _request_status(caller, home, job_id, timeout_ms)
            if not isinstance(home_reply, JobSpread):
                return home_reply
            if not set(unknown) <= set(home_reply.shares):
                current = home_reply
                continue
        return _add_share_counts(current, replies)
    return Failure(ErrorKind.overloaded, f'the parts of {job_id} keep changing')


async def _request_status(
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


def _unknown_shares(
    shares: tuple[OpenShare, ...],
    replies: list[Any],
) -> list[OpenShare]:
    return [
        share
        for share, reply in zip(shares, replies, strict=True)
        if isinstance(reply, Failure) and reply.kind is ErrorKind.not_found
    ]


def _add_share_counts(
    home_status: JobSpread, replies: list[Any]
) -> JobStatus | Failure:
    counts = dict(home_status.status.task_counts)
    for share, reply in zip(home_status.shares, replies, strict=True):
        share_counts = {TaskState.queued: share.tasks_count}
        if isinstance(reply, JobStatus):
            share_counts = reply.task_counts
        elif reply.kind is not ErrorKind.not_found:
            return reply
        for state, count in share_counts.items():
            counts[state] = counts.get(state, 0) + count
    return replace(home_status.status, task_counts=counts)


__all__ = ('merge_gang_status',)
