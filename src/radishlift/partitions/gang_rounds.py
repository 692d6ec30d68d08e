"""Rounds of a home: reserve all parts of a gang, then decide or release.

Only the owner that opened a round can decide it, and only while it is open.
"""

import asyncio
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Final

from radishlift.core.ids import GangRoundId, JobId, PartitionId
from radishlift.core.logs import log_event
from radishlift.partitions.gang_commits import GangCommitSender
from radishlift.partitions.gang_messages import (
    GangPartRefused,
    GangPartReserved,
    ReleaseGangPart,
    ReserveGangPart,
)
from radishlift.partitions.gang_shares import choose_shares, make_round_id
from radishlift.partitions.homes import HomeCaller, OwnerLookup
from radishlift.partitions.loads import LoadTable
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.parts import DaemonParts
from radishlift.placement.gang_home_changes import can_decide, waiting_tasks
from radishlift.placement.gang_parts import PartRequest
from radishlift.placement.gang_records import GangDecided, GangShare
from radishlift.placement.hand_offs import HandOff
from radishlift.placement.jobs import JobSpec
from radishlift.workers.senders import TaskGroup

_MAX_DOUBLINGS: Final = 5
_JITTER_RANGE: Final = (0.5, 1.5)
# After this part of `gang_hold_ms` the reservations would be overdue before the
# commits arrive.
_MAX_RESERVE_TIME_RATIO: Final = 0.8


@dataclass(slots=True)
class RetryState:
    """When a gang is retried, and the capacity that refusals have reported.

    A partition that did not answer has none.
    """

    failures_count: int = 0
    not_before_ms: int = 0
    reported_capacity: dict[PartitionId, int] = field(default_factory=dict)


class GangRounds:
    """Runs a limited number of rounds for each home that is owned here."""

    def __init__(
        self,
        parts: DaemonParts,
        caller: HomeCaller,
        lookup: OwnerLookup,
        loads: LoadTable,
    ) -> None:
        self.open_rounds: set[GangRoundId] = set()
        self.parts = parts
        self.commit_sender = GangCommitSender(caller, parts.settings.partitions)
        self._caller = caller
        self._lookup = lookup
        self._loads = loads
        self._settings = parts.settings.partitions
        self._clock = parts.clock
        # The seed makes the jitter differ between daemons.
        self._random = Random(parts.daemon_id)
        self._round_numbers = count(1)
        self._running_jobs: dict[PartitionId, set[JobId]] = {}
        self._retries: dict[PartitionId, dict[JobId, RetryState]] = {}
        self._tasks = TaskGroup()

    async def close(self) -> None:
        """Ends all rounds; partitions then ask for their outcomes."""
        await self._tasks.close()

    def start_rounds(self, partition: OpenPartition) -> None:
        """Starts rounds for gangs that wait in a home."""
        partition_id = partition.claim.partition_id
        running = self._running_jobs.setdefault(partition_id, set())
        waiting = partition.engine.gang_parts.list_waiting(partition.now_ms())
        retries = self._update_retries(partition_id, waiting)
        now_ms = self._clock.monotonic_ms()
        for gang in waiting:
            if len(running) >= self._settings.gang_rounds_count:
                return
            retry = retries[gang.job_id]
            if gang.job_id in running or now_ms < retry.not_before_ms:
                continue
            shares = self._choose_shares(partition, gang, retry)
            if shares:
                running.add(gang.job_id)
                self._tasks.spawn(
                    self._run_round(partition, gang.job_id, shares, retry)
                )
            else:
                self._back_off(retry)

    def _update_retries(
        self,
        partition_id: PartitionId,
        waiting: list[HandOff],
    ) -> dict[JobId, RetryState]:
        """Returns the retry states of waiting gangs and forgets all others."""
        before = self._retries.get(partition_id, {})
        retries = {
            gang.job_id: before.get(gang.job_id, RetryState())
            for gang in waiting
        }
        self._retries[partition_id] = retries
        return retries

    def _choose_shares(
        self,
        partition: OpenPartition,
        gang: HandOff,
        retry: RetryState,
    ) -> tuple[GangShare, ...]:
        """Chooses shares by load summaries, and by a count for the home."""
        tables = partition.states.placement.tables
        row = tables.jobs.row_of[gang.job_id]
        others = self._other_partitions(
            partition, tables.jobs.passed_partitions[row]
        )
        limit = gang.tasks_count
        if gang.exceeds_partition and self._loads.choose_with_capacity(
            others, gang.demand, limit
        ):
            # A hand-off moves the whole job, which needs no reservation.
            return ()
        home = partition.claim.partition_id
        request = PartRequest(
            tables.jobs.spec[row],
            home,
            waiting_tasks(tables, row),
            partition.now_ms(),
        )
        own_capacity = {
            home: partition.engine.gang_parts.count_fitting(request)
        }
        for count_tasks in (
            self._loads.count_likely_tasks,
            self._loads.count_tasks,
        ):
            estimates = {
                partition_id: count_tasks(partition_id, gang.demand, limit)
                for partition_id in others
            }
            capacity = (
                _limit_by_refusals(estimates, retry.reported_capacity)
                | own_capacity
            )
            shares = choose_shares(request.tasks, capacity, self._random)
            if shares:
                return shares
        # The refusals may have been due to reservations of another round.
        retry.reported_capacity = {}
        return ()

    def _other_partitions(
        self,
        partition: OpenPartition,
        passed: tuple[PartitionId, ...],
    ) -> list[PartitionId]:
        """Lists the other partitions that have no closed entry of the job."""
        closed = {partition.claim.partition_id, *passed}
        return [
            partition_id
            for partition_id in self._lookup.partitions()
            if partition_id not in closed
        ]

    async def _run_round(
        self,
        partition: OpenPartition,
        job_id: JobId,
        shares: tuple[GangShare, ...],
        retry: RetryState,
    ) -> None:
        home = partition.claim.partition_id
        round_id = make_round_id(
            home, partition.claim.epoch, next(self._round_numbers)
        )
        self.open_rounds.add(round_id)
        decision = GangDecided(job_id, round_id, shares, partition.now_ms())
        try:
            is_decided = await self._reserve_and_decide(
                partition, decision, retry
            )
        finally:
            self.open_rounds.discard(round_id)
            self._running_jobs[home].discard(job_id)
        if is_decided:
            await self.commit_sender.send_pending(partition, job_id)

    async def _reserve_and_decide(
        self,
        partition: OpenPartition,
        decision: GangDecided,
        retry: RetryState,
    ) -> bool:
        start_ms = self._clock.monotonic_ms()
        tables = partition.states.placement.tables
        spec = tables.jobs.spec[tables.jobs.row_of[decision.job_id]]
        requested: list[GangShare] = []
        refusal = ''
        for share in decision.shares:
            requested.append(share)
            refusal = await self._reserve_share(
                partition, decision, spec, share, retry
            )
            if refusal:
                break
        passed_ms = self._clock.monotonic_ms() - start_ms
        if (
            not refusal
            and passed_ms
            > self._settings.gang_hold_ms * _MAX_RESERVE_TIME_RATIO
        ):
            refusal = 'the reservations took too long'
        if not refusal:
            refusal = self._decide(partition, decision)
        if not refusal:
            return True
        self._back_off(retry)
        log_event(
            'gang_round_released',
            job=decision.job_id,
            round=decision.round_id,
            reason=refusal,
        )
        self.open_rounds.discard(decision.round_id)
        await asyncio.gather(
            *(self._release_share(decision, share) for share in requested)
        )
        return False

    async def _reserve_share(
        self,
        partition: OpenPartition,
        decision: GangDecided,
        spec: JobSpec,
        share: GangShare,
        retry: RetryState,
    ) -> str:
        """Reserves a share; returns why it was refused, else an empty text."""
        home = partition.claim.partition_id
        if not can_decide(partition.states.placement.tables, decision):
            return 'the gang has changed'
        reply = await self._caller.call(
            share.partition_id,
            lambda remaining_ms: ReserveGangPart(
                share.partition_id,
                spec,
                home,
                decision.round_id,
                share.tasks,
                remaining_ms,
            ),
            self._settings.call_timeout_ms,
        )
        if isinstance(reply, GangPartReserved):
            return ''
        # The next rounds use other partitions than one that does not answer.
        retry.reported_capacity[share.partition_id] = (
            reply.room_count if isinstance(reply, GangPartRefused) else 0
        )
        return f'{share.partition_id}: {reply.reason}'

    def _decide(self, partition: OpenPartition, decision: GangDecided) -> str:
        """Applies the decision, after which the round can't be released.

        Returns why it was refused, else an empty text.
        """
        refusal = partition.log.journal.refusal()
        if refusal is not None:
            return refusal.reason
        if not can_decide(partition.states.placement.tables, decision):
            return 'the gang has changed'
        failure = partition.log.apply([decision])
        if failure is not None:
            return failure.reason
        partition.request_tick()
        partition.request_flush(())
        return ''

    async def _release_share(
        self, decision: GangDecided, share: GangShare
    ) -> None:
        # A partition that the call does not reach asks for the outcome when
        # its reservation is overdue.
        await self._caller.call(
            share.partition_id,
            lambda _: ReleaseGangPart(
                share.partition_id,
                decision.job_id,
                decision.round_id,
            ),
            self._settings.call_timeout_ms,
        )

    def _back_off(self, retry: RetryState) -> None:
        doublings = min(retry.failures_count, _MAX_DOUBLINGS)
        retry.failures_count += 1
        pause_ms = self._settings.gang_backoff_ms * 2**doublings
        pause_ms = int(pause_ms * self._random.uniform(*_JITTER_RANGE))
        retry.not_before_ms = self._clock.monotonic_ms() + pause_ms


def _limit_by_refusals(
    estimates: dict[PartitionId, int],
    reported: dict[PartitionId, int],
) -> dict[PartitionId, int]:
    """Limits the estimates of load summaries to what refusals reported."""
    return {
        partition_id: min(count, reported.get(partition_id, count))
        for partition_id, count in estimates.items()
    }


__all__ = ('GangRounds', 'RetryState')
