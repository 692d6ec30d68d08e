"""Drives gangs over partitions, as a home and as a part.

As a home it begins rounds and carries out decisions. As a part it asks homes
for the outcome of overdue holds and reports the ends of parts.
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


class GangDriver:
    """Repeats what gangs of the partitions that are owned here need."""

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
        """Drives gangs until cancelled."""
        try:
            while True:
                await self.step()
                await self._partitions.pace.wait_until_busy()
                await asyncio.sleep(self._settings.gang_interval_ms / 1000)
        finally:
            await self.rounds.close()

    async def step(self) -> None:
        """Begins rounds and repeats what is not confirmed."""
        opened = [
            runner.opened
            for runner in self._partitions.owned()
            if runner.opened is not None
        ]
        gangs = [one.states.placement.tables.gangs for one in opened]
        decided = [
            gang for table in gangs for gang in table.multi_partition.values()
        ]
        self.rounds.commits.retain({gang.decision.round_id for gang in decided})
        # Most partitions have no such gang; this runs often and costs little.
        work = [one for partition in opened for one in self._drive(partition)]
        if work:
            await asyncio.gather(*work)

    def _drive(self, opened: OpenPartition) -> list[Coroutine[Any, Any, None]]:
        """Begins rounds; returns what is to be sent for a partition."""
        self.rounds.begin(opened)
        tables = opened.states.placement.tables
        overdue = opened.engine.gang_parts.list_expired_holds(opened.now_ms())
        ended = [
            (job_id, part)
            for job_id, part in tables.gangs.parts.items()
            if not tables.jobs.has_live_attempts(tables.jobs.row_of[job_id])
        ]
        return [
            *(
                self.rounds.commits.push(opened, job_id)
                for job_id in tables.gangs.multi_partition
            ),
            *(self._settle(opened, hold) for hold in overdue),
            *(self._report(opened, job_id, part) for job_id, part in ended),
        ]

    async def _settle(self, opened: OpenPartition, hold: GangReserved) -> None:
        """Asks the home for the outcome of a hold and carries it out."""
        partition_id = opened.claim.partition_id
        job_id = hold.spec.job_id
        reply = await self._caller.call(
            hold.home,
            lambda left_ms: AskGangRound(
                hold.home,
                job_id,
                hold.round_id,
                partition_id,
                left_ms,
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
            commit_or_close(opened, job_id, hold.round_id)
        elif reply.outcome is RoundOutcome.ended:
            released = opened.engine.gang_parts.release(
                job_id,
                'the home did not decide to commit',
                hold.round_id,
                opened.now_ms(),
            )
            opened.add_applied(released)

    async def _report(
        self,
        opened: OpenPartition,
        job_id: JobId,
        part: GangPart,
    ) -> None:
        """Tells the home what became of the members of a part.

        The ends are durable first: a successor that does not find them would
        start members that the home has placed again.
        """
        partition_id = opened.claim.partition_id
        if part.home == partition_id:
            now_ms = opened.now_ms()
            opened.log.apply(
                [
                    GangPartEnded(
                        job_id, part.round_id, partition_id, (), {}, now_ms
                    )
                ],
            )
            opened.wake()
            opened.request_flush(())
            return
        tables = opened.states.placement.tables
        row = tables.jobs.row_of[job_id]
        queued_tasks = started_tasks(tables, row)
        ended_counts = dict(tables.jobs.ended_counts[row])
        if await opened.wait_durable(self._settings.call_timeout_ms):
            return
        reply = await self._caller.call(
            part.home,
            lambda left_ms: ReportGangPart(
                part.home,
                job_id,
                part.round_id,
                partition_id,
                queued_tasks,
                ended_counts,
                left_ms,
            ),
            self._settings.call_timeout_ms,
        )
        if isinstance(reply, GangPartRecorded):
            opened.log.apply([GangPartForgotten(job_id, part.round_id)])
            opened.wake()
            opened.request_flush(())


__all__ = ('GangDriver',)
