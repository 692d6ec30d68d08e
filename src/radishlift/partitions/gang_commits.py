"""Carries out the decisions of a home until all gang parts have ended."""

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


class GangCommitSender:
    """Sends the commits and stops of decided rounds; both are idempotent."""

    def __init__(
        self,
        caller: HomeCaller,
        settings: PartitionSettings,
    ) -> None:
        self._caller = caller
        self._settings = settings
        self._sending: set[JobId] = set()
        self._confirmed: set[tuple[GangRoundId, PartitionId]] = set()

    async def send_pending(
        self, partition: OpenPartition, job_id: JobId
    ) -> None:
        """Sends the commits and stops that the parts of a gang need now.

        Nothing is sent before the decision is durable: a new owner that does
        not find it lets the other parts release their reservations.
        """
        if job_id in self._sending:
            return
        self._sending.add(job_id)
        try:
            await self._send_to_open_shares(partition, job_id)
        finally:
            self._sending.discard(job_id)

    def retain_rounds(self, rounds: set[GangRoundId]) -> None:
        """Forgets the confirmations of rounds that have ended."""
        self._confirmed = {
            confirmation
            for confirmation in self._confirmed
            if confirmation[0] in rounds
        }

    async def _send_to_open_shares(
        self, partition: OpenPartition, job_id: JobId
    ) -> None:
        failure = await partition.wait_durable(self._settings.call_timeout_ms)
        gang = partition.states.placement.tables.gangs.multi_partition.get(
            job_id
        )
        if failure is not None or gang is None:
            return
        self._cancel_if_member_failed(partition, job_id)
        await asyncio.gather(
            *(
                self._send_to_share(partition, gang, share)
                for share in gang.open_shares()
            ),
        )

    async def _send_to_share(
        self,
        partition: OpenPartition,
        gang: MultiPartitionGang,
        share: GangShare,
    ) -> None:
        decided = gang.decision
        key = (decided.round_id, share.partition_id)
        if key not in self._confirmed:
            reply = await self._caller.call(
                share.partition_id,
                lambda remaining_ms: CommitGangPart(
                    share.partition_id,
                    decided.job_id,
                    decided.round_id,
                    remaining_ms,
                ),
                self._settings.call_timeout_ms,
            )
            if isinstance(reply, GangPartGone):
                await self._journal_part_gone(partition, gang, share)
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
        await self._send_stop(partition, gang, share)

    async def _send_stop(
        self,
        partition: OpenPartition,
        gang: MultiPartitionGang,
        share: GangShare,
    ) -> None:
        """Stops a part if the job is cancelled or must be restarted."""
        job_id = gang.decision.job_id
        jobs = partition.states.placement.tables.jobs
        row = jobs.row_of[job_id]
        is_cancelled = not jobs.is_open(row)
        if not is_cancelled and not jobs.queued_rows(row):
            return
        await self._caller.call(
            share.partition_id,
            lambda _: StopGangPart(
                share.partition_id,
                job_id,
                gang.decision.round_id,
                is_cancelled,
            ),
            self._settings.call_timeout_ms,
        )

    async def _journal_part_gone(
        self,
        partition: OpenPartition,
        gang: MultiPartitionGang,
        share: GangShare,
    ) -> None:
        """Puts the members of a part that can't start back into the queue."""
        if share.partition_id in gang.ended_partitions:
            return
        ended = GangPartEnded(
            gang.decision.job_id,
            gang.decision.round_id,
            share.partition_id,
            share.tasks,
            {},
            partition.now_ms(),
        )
        partition.log.apply([ended])
        partition.request_tick()
        partition.request_flush(())

    def _cancel_if_member_failed(
        self, partition: OpenPartition, job_id: JobId
    ) -> None:
        """Cancels a gang if a member in any part has failed permanently."""
        jobs = partition.states.placement.tables.jobs
        row = jobs.row_of[job_id]
        if jobs.ended_counts[row].get(TaskState.failed) and jobs.is_open(row):
            partition.engine.cancel(job_id)
            partition.request_tick()


__all__ = ('GangCommitSender',)
