"""Carries out what a home has decided, until all parts have ended."""

import asyncio

from radishlift.core.ids import GangRoundId, JobId, PartitionId
from radishlift.core.logs import log_event
from radishlift.partitions.gang_messages import (
    CommitGangPart,
    GangPartCommitted,
    GangPartGone,
    StopGangPart,
)
from radishlift.partitions.homes import HomeCaller
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.settings import PartitionSettings
from radishlift.placement.gang_records import (
    GangPartEnded,
    GangShare,
    MultiPartitionGang,
)
from radishlift.placement.jobs import TaskState


class GangCommits:
    """Sends the commits and stops of decided rounds; each may be repeated."""

    def __init__(
        self,
        caller: HomeCaller,
        settings: PartitionSettings,
    ) -> None:
        self._caller = caller
        self._settings = settings
        self._pushing: set[JobId] = set()
        self._confirmed: set[tuple[GangRoundId, PartitionId]] = set()

    async def push(self, opened: OpenPartition, job_id: JobId) -> None:
        """Sends what the parts of a gang have to be told now.

        Nothing is sent before the decision is durable: a successor that does
        not find it lets the other parts release their holds.
        """
        if job_id in self._pushing:
            return
        self._pushing.add(job_id)
        try:
            await self._push(opened, job_id)
        finally:
            self._pushing.discard(job_id)

    def retain(self, rounds: set[GangRoundId]) -> None:
        """Forgets the confirmations of rounds that have ended."""
        self._confirmed = {
            known for known in self._confirmed if known[0] in rounds
        }

    async def _push(self, opened: OpenPartition, job_id: JobId) -> None:
        failure = await opened.wait_durable(self._settings.call_timeout_ms)
        spread = opened.states.placement.tables.gangs.multi_partition.get(
            job_id
        )
        if failure is not None or spread is None:
            return
        self._cancel_failed(opened, job_id)
        await asyncio.gather(
            *(
                self._push_share(opened, spread, share)
                for share in spread.open_shares()
            ),
        )

    async def _push_share(
        self,
        opened: OpenPartition,
        spread: MultiPartitionGang,
        share: GangShare,
    ) -> None:
        decided = spread.decision
        key = (decided.round_id, share.partition_id)
        if key not in self._confirmed:
            reply = await self._caller.call(
                share.partition_id,
                lambda left_ms: CommitGangPart(
                    share.partition_id,
                    decided.job_id,
                    decided.round_id,
                    left_ms,
                ),
                self._settings.call_timeout_ms,
            )
            if isinstance(reply, GangPartGone):
                await self._end(opened, spread, share)
                return
            if not isinstance(reply, GangPartCommitted):
                log_event(
                    'gang_commit_not_confirmed',
                    job=decided.job_id,
                    partition=share.partition_id,
                    reason=reply.reason,
                )
                return
            self._confirmed.add(key)
        await self._stop(opened, spread, share)

    async def _stop(
        self,
        opened: OpenPartition,
        spread: MultiPartitionGang,
        share: GangShare,
    ) -> None:
        """Stops a part if the job is cancelled or has to start anew."""
        job_id = spread.decision.job_id
        jobs = opened.states.placement.tables.jobs
        row = jobs.row_of[job_id]
        is_cancelled = not jobs.is_open(row)
        if not is_cancelled and not jobs.queued_rows(row):
            return
        await self._caller.call(
            share.partition_id,
            lambda _: StopGangPart(
                share.partition_id,
                job_id,
                spread.decision.round_id,
                is_cancelled,
            ),
            self._settings.call_timeout_ms,
        )

    async def _end(
        self,
        opened: OpenPartition,
        spread: MultiPartitionGang,
        share: GangShare,
    ) -> None:
        """Takes the members of a part that can't start back to the queue."""
        if share.partition_id in spread.ended_partitions:
            return
        ended = GangPartEnded(
            spread.decision.job_id,
            spread.decision.round_id,
            share.partition_id,
            share.tasks,
            {},
            opened.now_ms(),
        )
        opened.log.apply([ended])
        opened.wake()
        opened.request_flush(())

    def _cancel_failed(self, opened: OpenPartition, job_id: JobId) -> None:
        """Cancels a gang of which a member in any part failed for good."""
        jobs = opened.states.placement.tables.jobs
        row = jobs.row_of[job_id]
        if jobs.ended_counts[row].get(TaskState.failed) and jobs.is_open(row):
            opened.engine.cancel(job_id)
            opened.wake()


__all__ = ('GangCommits',)
