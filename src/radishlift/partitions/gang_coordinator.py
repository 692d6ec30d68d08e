"""Runs the multi-partition gangs of the partitions that are owned here.

For gangs whose home is owned here it starts rounds and carries out decisions.
For gang parts it asks homes for the outcome of overdue reservations and reports
ended parts.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from radishlift.core.ids import JobId
from radishlift.core.logs import log_event
from radishlift.partitions.gang_messages import (
    AskGangRound,
    GangPartRecorded,
    GangRoundOutcome,
    ReportGangPart,
    RoundOutcome,
)
from radishlift.partitions.gang_rounds import GangRounds
from radishlift.partitions.gang_server import commit_or_close
from radishlift.partitions.homes import HomeCaller
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.partitions import Partitions
from radishlift.placement.gang_records import (
    GangPart,
    GangPartEnded,
    GangPartForgotten,
)
from radishlift.placement.records import GangReserved
from radishlift.placement.transfer_rows import started_tasks


class GangCoordinator:
    """Starts rounds and retries messages that are not confirmed."""

    def __init__(
        self,
        partitions: Partitions,
        caller: HomeCaller,
        rounds: GangRounds,
    ) -> None:
        self.rounds = rounds
        self._partitions = partitions
        self._caller = caller
        self._settings = rounds.parts.settings.partitions

    async def run_forever(self) -> None:
        """Processes gangs until cancelled."""
        try:
            while True:
                await self.run_once()
                await self._partitions.idle_timer.wait_while_quiet()
                await asyncio.sleep(self._settings.gang_interval_ms / 1000)
        finally:
            await self.rounds.close()

    async def run_once(self) -> None:
        """Starts rounds and sends unconfirmed messages once more."""
        partitions = [
            runner.partition
            for runner in self._partitions.owned()
            if runner.partition is not None
        ]
        gangs = [
            partition.states.placement.tables.gangs for partition in partitions
        ]
        decided = [
            gang for table in gangs for gang in table.multi_partition.values()
        ]
        self.rounds.commit_sender.retain_rounds(
            {gang.decision.round_id for gang in decided}
        )
        # This runs often and must be cheap: most partitions have no such gang.
        calls = [
            call
            for partition in partitions
            for call in self._start_rounds_and_list_calls(partition)
        ]
        if calls:
            await asyncio.gather(*calls)

    def _start_rounds_and_list_calls(
        self, partition: OpenPartition
    ) -> list[Coroutine[Any, Any, None]]:
        """Starts rounds; returns the calls to make for a partition."""
        self.rounds.start_rounds(partition)
        tables = partition.states.placement.tables
        expired_holds = partition.engine.gang_parts.list_expired_holds(
            partition.now_ms()
        )
        ended = [
            (job_id, part)
            for job_id, part in tables.gangs.parts.items()
            if not tables.jobs.has_live_attempts(tables.jobs.row_of[job_id])
        ]
        return [
            *(
                self.rounds.commit_sender.send_pending(partition, job_id)
                for job_id in tables.gangs.multi_partition
            ),
            *(
                self._resolve_overdue_hold(partition, hold)
                for hold in expired_holds
            ),
            *(
                self._report_ended_part(partition, job_id, part)
                for job_id, part in ended
            ),
        ]

    async def _resolve_overdue_hold(
        self, partition: OpenPartition, hold: GangReserved
    ) -> None:
        """Asks the home for the outcome of a reservation and applies it."""
        partition_id = partition.claim.partition_id
        job_id = hold.spec.job_id
        reply = await self._caller.call(
            hold.home,
            lambda remaining_ms: AskGangRound(
                hold.home,
                job_id,
                hold.round_id,
                partition_id,
                remaining_ms,
            ),
            self._settings.call_timeout_ms,
        )
        if not isinstance(reply, GangRoundOutcome):
            log_event(
                'gang_outcome_unknown',
                job=job_id,
                partition=hold.home,
                reason=reply.reason,
            )
        elif reply.outcome is RoundOutcome.committed:
            commit_or_close(partition, job_id, hold.round_id)
        elif reply.outcome is RoundOutcome.ended:
            released = partition.engine.gang_parts.release(
                job_id,
                'the home did not decide to commit',
                hold.round_id,
                partition.now_ms(),
            )
            partition.add_applied(released)

    async def _report_ended_part(
        self,
        partition: OpenPartition,
        job_id: JobId,
        part: GangPart,
    ) -> None:
        """Reports to the home how the members of a part have ended.

        The ends are durable first: a new owner that does not find them would
        start members that the home has placed again.
        """
        partition_id = partition.claim.partition_id
        if part.home == partition_id:
            now_ms = partition.now_ms()
            partition.log.apply(
                [
                    GangPartEnded(
                        job_id, part.round_id, partition_id, (), {}, now_ms
                    )
                ],
            )
            partition.request_tick()
            partition.request_flush(())
            return
        tables = partition.states.placement.tables
        row = tables.jobs.row_of[job_id]
        queued_tasks = started_tasks(tables, row)
        ended_counts = dict(tables.jobs.ended_counts[row])
        if await partition.wait_durable(self._settings.call_timeout_ms):
            return
        reply = await self._caller.call(
            part.home,
            lambda remaining_ms: ReportGangPart(
                part.home,
                job_id,
                part.round_id,
                partition_id,
                queued_tasks,
                ended_counts,
                remaining_ms,
            ),
            self._settings.call_timeout_ms,
        )
        if isinstance(reply, GangPartRecorded):
            partition.log.apply([GangPartForgotten(job_id, part.round_id)])
            partition.request_tick()
            partition.request_flush(())


__all__ = ('GangCoordinator',)
