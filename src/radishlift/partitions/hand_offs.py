"""Hands jobs that a partition can't start soon to one with room.

The home journals `HandOffBegun` and `JobHandedOff`, sends the job until the
other partition has journaled it, and journals `HandOffConfirmed`. A successor
of the home repeats what is not confirmed; the other side accepts a job once.
"""

import asyncio

from radishlift.core.errors import Failure
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.partitions.hand_off_state import (
    HandOffBegun,
    HandOffConfirmed,
)
from radishlift.partitions.homes import HomeCaller, OwnerLookup
from radishlift.partitions.loads import LoadBoard
from radishlift.partitions.messages import HandOffJob, JobSubmitted
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.settings import PartitionSettings
from radishlift.placement.jobs import JobKind
from radishlift.placement.records import JobHandedOff
from radishlift.placement.transfer_rows import read_transfer


class HandOffSender:
    """Hands off jobs of the partitions that are owned here."""

    def __init__(
        self,
        partitions: Partitions,
        caller: HomeCaller,
        lookup: OwnerLookup,
        loads: LoadBoard,
        settings: PartitionSettings,
    ) -> None:
        self._partitions = partitions
        self._caller = caller
        self._lookup = lookup
        self._loads = loads
        self._settings = settings

    async def run_forever(self) -> None:
        """Hands off jobs until cancelled."""
        while True:
            await self.step()
            await self._partitions.pace.wait_until_busy()
            await asyncio.sleep(self._settings.hand_off_interval_ms / 1000)

    async def step(self) -> None:
        """Measures the loads, begins hand-offs and sends open ones."""
        opened = [
            runner.opened
            for runner in self._partitions.owned()
            if runner.opened is not None
        ]
        self._loads.update(opened)
        await asyncio.gather(*(self._serve(one) for one in opened))

    async def _serve(self, opened: OpenPartition) -> None:
        await self._begin(opened)
        if not await self._is_durable(opened):
            return
        jobs = opened.states.placement.tables.jobs
        for job_id, begun in list(opened.states.hand_offs.open.items()):
            row = jobs.row_of.get(job_id)
            if row is None or jobs.to_partition[row] != begun.to_partition:
                # The owner stopped between the two records: the job stays.
                await self._confirm(opened, job_id)
            else:
                await self._send(opened, row, begun)

    async def _begin(self, opened: OpenPartition) -> None:
        records: list[object] = []
        tables = opened.states.placement.tables
        jobs = tables.jobs
        now_ms = opened.now_ms()
        for waiting in opened.engine.list_hand_offs(now_ms):
            row = jobs.row_of[waiting.job_id]
            spec = jobs.spec[row]
            # A partition that the job passed has a closed entry of it.
            closed = {opened.claim.partition_id, *jobs.passed_partitions[row]}
            target = self._loads.room_for(
                [one for one in self._lookup.partitions() if one not in closed],
                spec.demand,
                # A gang over several partitions starts from here instead.
                waiting.tasks_count if spec.kind is JobKind.gang else 1,
            )
            if target is not None:
                transfer = read_transfer(tables, row)
                records.append(HandOffBegun(spec.job_id, target, transfer))
                records.append(JobHandedOff(spec.job_id, target, now_ms))
        if records:
            await self._commit(opened, records)
            for record in records:
                if isinstance(record, JobHandedOff):
                    opened.closed_jobs.signal(record.job_id)

    async def _send(
        self,
        opened: OpenPartition,
        row: int,
        begun: HandOffBegun,
    ) -> None:
        jobs = opened.states.placement.tables.jobs
        spec = jobs.spec[row]
        accepted_at_ms = jobs.accepted_at_ms[row]
        target = begun.to_partition
        reply = await self._caller.call(
            target,
            lambda left_ms: HandOffJob(
                target,
                spec,
                accepted_at_ms,
                opened.claim.partition_id,
                left_ms,
                begun.transfer,
            ),
            self._settings.call_timeout_ms,
        )
        if isinstance(reply, JobSubmitted):
            await self._confirm(opened, spec.job_id)
            return
        log_event(
            'hand_off_not_confirmed',
            job=spec.job_id,
            partition=target,
            reason=reply.reason if isinstance(reply, Failure) else reply,
        )

    async def _is_durable(self, opened: OpenPartition) -> bool:
        """Waits for the records of the open hand-offs.

        A job that is sent before its `JobHandedOff` is durable would run in
        both partitions if a successor of this owner does not find the record.
        """
        if not opened.states.hand_offs.open:
            return True
        opened.request_flush(())
        opened.wake()
        failure = await opened.log.journal.wait_durable(
            opened.log.last_position,
            self._settings.call_timeout_ms,
        )
        return failure is None

    async def _confirm(self, opened: OpenPartition, job_id: JobId) -> None:
        await self._commit(opened, [HandOffConfirmed(job_id)])

    async def _commit(
        self,
        opened: OpenPartition,
        records: list[object],
    ) -> None:
        opened.request_flush(())
        committing = opened.log.commit(records, self._settings.call_timeout_ms)
        opened.wake()
        failure = await committing
        if failure is not None:
            log_event(
                'hand_off_not_journaled',
                partition=opened.claim.partition_id,
                reason=failure.reason,
            )


__all__ = ('HandOffSender',)
