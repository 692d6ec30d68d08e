"""Rounds of a home: reserve all parts of a gang, then decide or release.

A round that is open here may still be decided by this owner and by no other.
"""

import asyncio
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Final

from radishlift.core.ids import GangRoundId, JobId, PartitionId
from radishlift.core.logs import log_event
from radishlift.partitions.gang_commits import GangCommits
from radishlift.partitions.gang_messages import (
    GangPartRefused,
    GangPartReserved,
    ReleaseGangPart,
    ReserveGangPart,
)
from radishlift.partitions.gang_shares import choose_shares, make_round_id
from radishlift.partitions.homes import HomeCaller, OwnerLookup
from radishlift.partitions.loads import LoadBoard
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.parts import DaemonParts
from radishlift.placement.gang_home_changes import can_decide, waiting_tasks
from radishlift.placement.gang_parts import PartRequest
from radishlift.placement.gang_records import GangDecided, GangShare
from radishlift.placement.hand_offs import HandOff
from radishlift.placement.jobs import JobSpec
from radishlift.workers.senders import TaskGroup

_MAX_DOUBLINGS: Final = 5
_JITTER: Final = (0.5, 1.5)
# Past this part of the hold a commit would only meet questions for outcome.
_DECIDE_RATIO: Final = 0.8


@dataclass(slots=True)
class Retry:
    """When a gang is tried again, and what partitions said about room."""

    failures_count: int = 0
    not_before_ms: int = 0
    room: dict[PartitionId, int] = field(default_factory=dict)


class GangRounds:
    """Runs a bounded number of rounds of each home that is owned here."""

    def __init__(
        self,
        parts: DaemonParts,
        caller: HomeCaller,
        lookup: OwnerLookup,
        loads: LoadBoard,
    ) -> None:
        self.open: set[GangRoundId] = set()
        self.parts = parts
        self.commits = GangCommits(caller, parts.settings.partitions)
        self._caller = caller
        self._lookup = lookup
        self._loads = loads
        self._settings = parts.settings.partitions
        self._clock = parts.clock
        # Jitter that differs between daemons.
        self._random = Random(parts.daemon_id)
        self._numbers = count(1)
        self._running: dict[PartitionId, set[JobId]] = {}
        self._retries: dict[PartitionId, dict[JobId, Retry]] = {}
        self._tasks = TaskGroup()

    async def close(self) -> None:
        """Ends all rounds; their holds are asked for by their partitions."""
        await self._tasks.close()

    def begin(self, opened: OpenPartition) -> None:
        """Begins rounds for gangs that wait in a home."""
        partition_id = opened.claim.partition_id
        running = self._running.setdefault(partition_id, set())
        waiting = opened.engine.gang_parts.list_waiting(opened.now_ms())
        retries = self._retain_retries(partition_id, waiting)
        now_ms = self._clock.monotonic_ms()
        for gang in waiting:
            if len(running) >= self._settings.gang_rounds_count:
                return
            retry = retries[gang.job_id]
            if gang.job_id in running or now_ms < retry.not_before_ms:
                continue
            shares = self._choose(opened, gang, retry)
            if shares:
                running.add(gang.job_id)
                self._tasks.spawn(self._run(opened, gang.job_id, shares, retry))
            else:
                self._back_off(retry)

    def _retain_retries(
        self,
        partition_id: PartitionId,
        waiting: list[HandOff],
    ) -> dict[JobId, Retry]:
        """Returns the retries of waiting gangs, and forgets all others."""
        before = self._retries.get(partition_id, {})
        retries = {
            one.job_id: before.get(one.job_id, Retry()) for one in waiting
        }
        self._retries[partition_id] = retries
        return retries

    def _choose(
        self,
        opened: OpenPartition,
        gang: HandOff,
        retry: Retry,
    ) -> tuple[GangShare, ...]:
        """Chooses from load summaries; the home alone is counted."""
        tables = opened.states.placement.tables
        row = tables.jobs.row_of[gang.job_id]
        others = self._others(opened, tables.jobs.passed_partitions[row])
        limit = gang.tasks_count
        if gang.exceeds_partition and self._loads.room_for(
            others, gang.demand, limit
        ):
            # A hand-off moves the whole job, which needs no reservation.
            return ()
        home = opened.claim.partition_id
        request = PartRequest(
            tables.jobs.spec[row],
            home,
            waiting_tasks(tables, row),
            opened.now_ms(),
        )
        own_room = {home: opened.engine.gang_parts.count_fitting(request)}
        for count_room in (self._loads.count_likely, self._loads.count_tasks):
            heard = {one: count_room(one, gang.demand, limit) for one in others}
            room = _at_most(heard, retry.room) | own_room
            shares = choose_shares(request.tasks, room, self._random)
            if shares:
                return shares
        # What was refused may have been room that another round held.
        retry.room = {}
        return ()

    def _others(
        self,
        opened: OpenPartition,
        passed: tuple[PartitionId, ...],
    ) -> list[PartitionId]:
        """Lists the other partitions; one that the job passed is closed."""
        closed = {opened.claim.partition_id, *passed}
        return [one for one in self._lookup.partitions() if one not in closed]

    async def _run(
        self,
        opened: OpenPartition,
        job_id: JobId,
        shares: tuple[GangShare, ...],
        retry: Retry,
    ) -> None:
        home = opened.claim.partition_id
        round_id = make_round_id(home, opened.claim.epoch, next(self._numbers))
        self.open.add(round_id)
        decided = GangDecided(job_id, round_id, shares, opened.now_ms())
        try:
            is_decided = await self._reserve_and_decide(opened, decided, retry)
        finally:
            self.open.discard(round_id)
            self._running[home].discard(job_id)
        if is_decided:
            await self.commits.push(opened, job_id)

    async def _reserve_and_decide(
        self,
        opened: OpenPartition,
        decided: GangDecided,
        retry: Retry,
    ) -> bool:
        begin_ms = self._clock.monotonic_ms()
        tables = opened.states.placement.tables
        spec = tables.jobs.spec[tables.jobs.row_of[decided.job_id]]
        asked: list[GangShare] = []
        refusal = ''
        for share in decided.shares:
            asked.append(share)
            refusal = await self._reserve(opened, decided, spec, share, retry)
            if refusal:
                break
        passed_ms = self._clock.monotonic_ms() - begin_ms
        if (
            not refusal
            and passed_ms > self._settings.gang_hold_ms * _DECIDE_RATIO
        ):
            refusal = 'the reservations took too long'
        if not refusal:
            refusal = self._decide(opened, decided)
        if not refusal:
            return True
        self._back_off(retry)
        log_event(
            'gang_round_released',
            job=decided.job_id,
            round=decided.round_id,
            reason=refusal,
        )
        self.open.discard(decided.round_id)
        await asyncio.gather(*(self._release(decided, one) for one in asked))
        return False

    async def _reserve(
        self,
        opened: OpenPartition,
        decided: GangDecided,
        spec: JobSpec,
        share: GangShare,
        retry: Retry,
    ) -> str:
        """Asks one partition; returns why it holds nothing, if so."""
        home = opened.claim.partition_id
        if not can_decide(opened.states.placement.tables, decided):
            return 'the gang has changed'
        reply = await self._caller.call(
            share.partition_id,
            lambda left_ms: ReserveGangPart(
                share.partition_id,
                spec,
                home,
                decided.round_id,
                share.tasks,
                left_ms,
            ),
            self._settings.call_timeout_ms,
        )
        if isinstance(reply, GangPartReserved):
            return ''
        if isinstance(reply, GangPartRefused):
            retry.room[share.partition_id] = reply.room_count
        return f'{share.partition_id}: {reply.reason}'

    def _decide(self, opened: OpenPartition, decided: GangDecided) -> str:
        """Applies the decision; from then on the round can't be released."""
        refusal = opened.log.journal.refusal()
        if refusal is not None:
            return refusal.reason
        if not can_decide(opened.states.placement.tables, decided):
            return 'the gang has changed'
        failure = opened.log.apply([decided])
        if failure is not None:
            return failure.reason
        opened.wake()
        opened.request_flush(())
        return ''

    async def _release(self, decided: GangDecided, share: GangShare) -> None:
        # One that is not reached asks for the outcome when it is overdue.
        await self._caller.call(
            share.partition_id,
            lambda _: ReleaseGangPart(
                share.partition_id,
                decided.job_id,
                decided.round_id,
            ),
            self._settings.call_timeout_ms,
        )

    def _back_off(self, retry: Retry) -> None:
        doublings = min(retry.failures_count, _MAX_DOUBLINGS)
        retry.failures_count += 1
        pause_ms = self._settings.gang_backoff_ms * 2**doublings
        pause_ms = int(pause_ms * self._random.uniform(*_JITTER))
        retry.not_before_ms = self._clock.monotonic_ms() + pause_ms


def _at_most(
    heard: dict[PartitionId, int],
    refused: dict[PartitionId, int],
) -> dict[PartitionId, int]:
    """Corrects what load summaries say by what partitions have answered."""
    return {
        one: min(count, refused.get(one, count)) for one, count in heard.items()
    }


__all__ = ('GangRounds', 'Retry')
