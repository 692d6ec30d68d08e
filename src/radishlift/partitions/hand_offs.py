"""Passes jobs that a partition can't start soon to one with free capacity.

The home journals `HandOffBegun` and `JobHandedOff`, sends the job until the
other partition has journaled it, and then journals `HandOffConfirmed`. A new
owner of the home repeats unconfirmed hand-offs. The other partition accepts a
job only once.
"""

import asyncio
from random import sample
from typing import Final

from radishlift.core.errors import Failure
from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.partitions.hand_off_state import (
    HandOffBegun,
    HandOffConfirmed,
)
from radishlift.partitions.homes import HomeCaller, OwnerLookup
from radishlift.partitions.loads import LoadTable
from radishlift.partitions.messages import HandOffJob, JobSubmitted
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.settings import PartitionSettings
from radishlift.placement.jobs import JobKind
from radishlift.placement.records import JobHandedOff
from radishlift.placement.transfer_rows import read_transfer

_MAX_REFRESHES: Final = 4


class HandOffSender:
    """Hands off jobs of the partitions that are owned here."""

    def __init__(
        self,
        partitions: Partitions,
        caller: HomeCaller,
        lookup: OwnerLookup,
        loads: LoadTable,
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
            await self.run_once()
            await self._partitions.idle_timer.wait_while_quiet()
            await asyncio.sleep(self._settings.hand_off_interval_ms / 1000)

    async def run_once(self) -> None:
        """Measures the loads, starts hand-offs and sends unconfirmed ones."""
        partitions = [
            runner.partition
            for runner in self._partitions.owned()
            if runner.partition is not None
        ]
        self._loads.update(partitions)
        await asyncio.gather(
            *(self._process_partition(partition) for partition in partitions)
        )

    async def _process_partition(self, partition: OpenPartition) -> None:
        await self._start_hand_offs(partition)
        if not await self._is_durable(partition):
            return
        jobs = partition.states.placement.tables.jobs
        for job_id, hand_off in list(partition.states.hand_offs.open.items()):
            row = jobs.row_of.get(job_id)
            if row is None or jobs.to_partition[row] != hand_off.to_partition:
                # Only the first record was journaled, so the job stays here.
                await self._journal_confirmation(partition, job_id)
            else:
                await self._send_job(partition, row, hand_off)

    async def _start_hand_offs(self, partition: OpenPartition) -> None:
        records: list[object] = []
        tables = partition.states.placement.tables
        jobs = tables.jobs
        if partition.engine.list_hand_offs(partition.now_ms()):
            await self._refresh_suspected()
        now_ms = partition.now_ms()
        for job in partition.engine.list_hand_offs(now_ms):
            row = jobs.row_of[job.job_id]
            spec = jobs.spec[row]
            # A partition that handed the job off has a closed entry of it.
            passed = {
                partition.claim.partition_id,
                *jobs.passed_partitions[row],
            }
            to_partition = self._loads.choose_with_capacity(
                [
                    partition_id
                    for partition_id in self._lookup.partitions()
                    if partition_id not in passed
                    and not self._caller.is_suspected(partition_id)
                ],
                spec.demand,
                # A gang that fits no single partition is started over several
                # partitions from here.
                job.tasks_count if spec.kind is JobKind.gang else 1,
            )
            if to_partition is not None:
                transfer = read_transfer(tables, row)
                records.append(
                    HandOffBegun(spec.job_id, to_partition, transfer)
                )
                records.append(JobHandedOff(spec.job_id, to_partition, now_ms))
        if records:
            await self._commit(partition, records)
            for record in records:
                if isinstance(record, JobHandedOff):
                    partition.job_close_events.signal(record.job_id)

    async def _refresh_suspected(self) -> None:
        """Reads whether partitions of suspected daemons have new owners.

        Nothing is sent to these partitions, so that no call would read it.
        """
        suspected = [
            partition_id
            for partition_id in self._lookup.partitions()
            if self._caller.is_suspected(partition_id)
        ]
        await asyncio.gather(
            *(
                self._lookup.refresh(partition_id)
                for partition_id in sample(
                    suspected, min(len(suspected), _MAX_REFRESHES)
                )
            )
        )

    async def _send_job(
        self,
        partition: OpenPartition,
        row: int,
        hand_off: HandOffBegun,
    ) -> None:
        jobs = partition.states.placement.tables.jobs
        spec = jobs.spec[row]
        accepted_at_ms = jobs.accepted_at_ms[row]
        to_partition = hand_off.to_partition
        reply = await self._caller.call(
            to_partition,
            lambda remaining_ms: HandOffJob(
                to_partition,
                spec,
                accepted_at_ms,
                partition.claim.partition_id,
                remaining_ms,
                hand_off.transfer,
            ),
            self._settings.call_timeout_ms,
        )
        if isinstance(reply, JobSubmitted):
            await self._journal_confirmation(partition, spec.job_id)
            return
        log_event(
            'hand_off_not_confirmed',
            job=spec.job_id,
            partition=to_partition,
            reason=reply.reason if isinstance(reply, Failure) else reply,
        )

    async def _is_durable(self, partition: OpenPartition) -> bool:
        """Waits until the records of the open hand-offs are durable.

        A job that is sent before its `JobHandedOff` record is durable would
        run in both partitions if a new owner does not find the record.
        """
        if not partition.states.hand_offs.open:
            return True
        partition.request_flush(())
        partition.request_tick()
        failure = await partition.log.journal.wait_durable(
            partition.log.last_position,
            self._settings.call_timeout_ms,
        )
        return failure is None

    async def _journal_confirmation(
        self, partition: OpenPartition, job_id: JobId
    ) -> None:
        await self._commit(partition, [HandOffConfirmed(job_id)])

    async def _commit(
        self,
        partition: OpenPartition,
        records: list[object],
    ) -> None:
        partition.request_flush(())
        commit_call = partition.log.commit(
            records, self._settings.call_timeout_ms
        )
        partition.request_tick()
        failure = await commit_call
        if failure is not None:
            log_event(
                'hand_off_not_journaled',
                partition=partition.claim.partition_id,
                reason=failure.reason,
            )


__all__ = ('HandOffSender',)
