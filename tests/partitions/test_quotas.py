"""Tests that a team never uses more than its quota in the whole cell.

They check the records of the workers, with several owners.
"""

import itertools
from functools import partial

import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.partitions.job_commands import submit
from radishlift.partitions.job_queries import explain
from radishlift.partitions.messages import JobSubmitted
from radishlift.placement.explanations import ExplanationKind
from radishlift.placement.jobs import JobKind, Resources, TaskState, task_id_of
from radishlift.quotas.homes import QUOTA_HOMES_TABLE, QuotaHomes
from radishlift.quotas.messages import SyncShares
from tests.partitions.cell import OTHER_PARTITION, PARTITION, make_job
from tests.partitions.owner import Owner
from tests.partitions.quota_cell import (
    PARTITIONS,
    TEAM,
    add_quota_owner,
    change_quota,
    open_quota_cell,
    peak_running_count,
)
from tests.standins.conditions import until, until_after
from tests.standins.tables import Fault

QUOTA = 4


async def submit_to_both(first, second, **changes):
    """Submits a job that needs more than the quota to each partition."""
    fields = {'task_count': 3 * QUOTA, 'run_time_ms': 30, **changes}
    for owner, partition_id in zip((first, second), PARTITIONS, strict=True):
        job = make_job(f'{partition_id}.job', **fields)
        await submit(owner.partition(partition_id), job, 5_000)


def finished_count(owner, partition_id):
    counts = owner.partition(partition_id).states.placement.tables.jobs
    return sum(
        ended.get(TaskState.finished, 0) for ended in counts.ended_counts
    )


async def until_finished(first, second):
    await until(
        lambda: (
            finished_count(first, PARTITION) == 3 * QUOTA
            and finished_count(second, OTHER_PARTITION) == 3 * QUOTA
        )
    )


async def test_two_partitions_together_stay_within_the_quota():
    """Guards against a quota that is applied to each partition separately."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        await submit_to_both(first, second)
        await until_finished(first, second)
        assert peak_running_count(cell) <= QUOTA
        cell.check()


async def test_check_fails_if_partitions_use_the_whole_quota_each():
    """Checks that the test detects partitions that ignore their shares."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        for owner, partition_id in ((first, PARTITION), (second, 'p2')):
            engine = owner.partition(partition_id).engine
            engine.quotas.set_shares({TEAM: (QUOTA * 1_000, 0, 0)})
        await submit_to_both(first, second, run_time_ms=0)
        await until(lambda: cell.running() == 2 * QUOTA)
        assert peak_running_count(cell) > QUOTA


async def test_team_in_one_partition_uses_its_whole_quota():
    """Guards against shares of a quota that stay with idle partitions."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        job = make_job('p1.job', task_count=3 * QUOTA)
        await submit(first.partition(), job, 5_000)
        await until(lambda: cell.running() == QUOTA)
        await submit(
            second.partition(OTHER_PARTITION), make_job('p2.job'), 5_000
        )  # fmt: skip
        explained = explain(first.partition(), task_id_of('p1.job', QUOTA))
        explanation = explained.explanation
        assert explanation.kind is ExplanationKind.waits_for_quota
        assert '4000 used of a share of 4000' in explanation.detail
        assert 'quota of the cell 4000' in explanation.detail
        assert peak_running_count(cell) == QUOTA


async def kill_holder(cell, first, second, home):
    """Kills the owner of the partition that is not the home."""
    victim, partition_id = (
        (second, OTHER_PARTITION) if home == PARTITION else (first, PARTITION)
    )
    await victim.kill()
    return partition_id


async def kill_home(cell, first, second, home):
    """Kills the owner of the team's home."""
    victim = first if home == PARTITION else second
    await victim.kill()
    return home


async def pause_holder(cell, first, second, home):
    """Selects a partition whose owner is not told that it is deposed."""
    return OTHER_PARTITION if home == PARTITION else PARTITION


@pytest.mark.parametrize('fail', [kill_holder, kill_home, pause_holder])
async def test_takeover_keeps_the_quota_and_loses_no_share(fail):
    """Guards against a new owner that does not know of a share."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        home = home_of(cell, first)
        await submit_to_both(first, second, run_time_ms=0)
        await until(lambda: cell.running() == QUOTA)
        lost_partition = await fail(cell, first, second, home)
        third = await add_quota_owner(cell, 'c', lost_partition)
        owners = dict(zip(PARTITIONS, (first, second), strict=True))
        owners[lost_partition] = third
        for partition_id, owner in owners.items():
            await owner.router.cancel(f'{partition_id}.job', 5_000)
        await until(lambda: not cell.running())
        for partition_id, owner in owners.items():
            job = make_job(f'{partition_id}.next', task_count=3 * QUOTA)
            await submit(owner.partition(partition_id), job, 5_000)
        await until(lambda: cell.running() == QUOTA)
        assert peak_running_count(cell) <= QUOTA
        cell.check()


def home_of(cell, owner):
    homes = QuotaHomes(owner.parts.store, owner.config)
    homes._use_row(cell.store.tables.read(QUOTA_HOMES_TABLE, 'cell'))
    return homes.home_of(TEAM)


async def test_lost_answers_of_the_table_service_keep_the_quota():
    """Guards against a share that is sent before it is journaled."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        await submit_to_both(first, second)
        cell.store.fail_next_commits = list(
            itertools.repeat(Fault.lose_answers, 15)
        )
        await until_finished(first, second)
        assert not cell.store.fail_next_commits
        assert peak_running_count(cell) <= QUOTA


async def test_lost_replies_between_daemons_keep_the_quota():
    """Guards against starts with shares that the home could not confirm."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        losses = [lose_replies(first), lose_replies(second)]
        await submit_to_both(first, second)
        await until(lambda: sum(loss.calls_count for loss in losses) >= 10)
        for loss in losses:
            loss.is_active = False
        await until_finished(first, second)
        assert peak_running_count(cell) <= QUOTA


class LostReplies:
    """Delivers messages to other daemons and loses their replies."""

    def __init__(self, network):
        self.is_active = True
        self.calls_count = 0
        self._daemon_id = network.daemon_id
        self._call = network.call

    async def call(self, daemon_id, message, timeout_ms):
        reply = await self._call(daemon_id, message, timeout_ms)
        if not self.is_active or daemon_id == self._daemon_id:
            return reply
        self.calls_count += 1
        return Failure(ErrorKind.peer_outcome_unknown, 'cut')


def lose_replies(owner):
    lost = LostReplies(owner.parts.network)
    owner.parts.network.call = lost.call
    return lost


class ShareRequestCounter:
    """Counts the share requests of a partition."""

    def __init__(self, shares):
        self.count = 0
        self._due_requests = shares.due_requests
        shares.due_requests = self.due_requests

    def due_requests(self, now_ms):
        requests = self._due_requests(now_ms)
        self.count += len(requests)
        return requests


async def test_quota_below_use_starts_nothing_and_kills_nothing():
    """Guards against a lowered quota that stops tasks or lets more start."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        await submit_to_both(first, second, run_time_ms=0)
        await until(lambda: cell.running() == QUOTA)
        started = cell.executions()
        change_quota(cell, 1)
        await submit(first.partition(), make_job('p1.more'), 5_000)
        requests = ShareRequestCounter(first.partition().quota_shares)
        await until(lambda: requests.count >= 5)
        assert cell.running() == QUOTA
        assert cell.executions() == started
        change_quota(cell, QUOTA + 2)
        await until(lambda: cell.running() == QUOTA + 2)
        assert peak_running_count(cell) == QUOTA + 2


async def exchange_loads(*owners: Owner) -> None:
    """Exchanges the load summaries, as heartbeats do."""
    for owner in owners:
        await owner.hand_off_sender.run_once()
    for owner in owners:
        for other in owners:
            loads = other.hand_off_sender._loads
            owner.hand_off_sender._loads.update_from_peer(loads.summary())


async def test_multi_partition_gang_gets_a_share_for_each_part():
    """Guards against parts that wait for shares that were never requested."""
    async with open_quota_cell(60) as (cell, first, second):
        gang = make_job(
            'p1.gang',
            kind=JobKind.gang,
            demand=Resources(30_000, 2_000),
            task_count=2,
        )
        assert isinstance(await first.router.submit(gang, 2_000), JobSubmitted)
        await until_after(
            partial(exchange_loads, first, second),
            lambda: cell.running() == 2,
        )
        cell.check()


async def test_request_that_ends_with_an_error_is_sent_again():
    """Guards against a team that waits forever for a lost request."""
    async with open_quota_cell(QUOTA) as (cell, _, second):
        call = second.parts.network.call
        failed = []

        async def fail_once(daemon_id, message, timeout_ms):
            if isinstance(message, SyncShares) and any(
                any(ask.wanted) for ask in message.asks
            ):
                failed.append(message)
                second.parts.network.call = call
                raise ValueError('unexpected')
            return await call(daemon_id, message, timeout_ms)

        second.parts.network.call = fail_once
        job = make_job('p2.job', task_count=2, run_time_ms=30)
        await submit(second.partition(OTHER_PARTITION), job, 5_000)
        await until(lambda: finished_count(second, OTHER_PARTITION) == 2)
        assert failed
        cell.check()
