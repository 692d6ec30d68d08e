"""Proofs that a team never uses more than its quota in the whole cell.

They are judged by the records of the workers, over several owners.
"""

import itertools
from functools import partial

import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.partitions.inquiry import explain
from radishlift.partitions.intake import submit
from radishlift.partitions.messages import JobSubmitted
from radishlift.placement.explanations import ExplanationKind
from radishlift.placement.jobs import JobKind, Resources, TaskState, task_id_of
from radishlift.quotas.homes import QUOTA_HOMES_TABLE, QuotaHomes
from tests.partitions.cell import OTHER_PARTITION, PARTITION, make_job
from tests.partitions.owner import Owner
from tests.partitions.quota_cell import (
    PARTITIONS,
    TEAM,
    add_quota_owner,
    change_quota,
    open_quota_cell,
    peak_running,
)
from tests.standins.conditions import until, until_after
from tests.standins.tables import Fault

QUOTA = 4


async def submit_each(first, second, **changes):
    """Submits a job that needs more than the quota to each partition."""
    fields = {'task_count': 3 * QUOTA, 'run_time_ms': 30, **changes}
    for owner, partition_id in zip((first, second), PARTITIONS, strict=True):
        job = make_job(f'{partition_id}.job', **fields)
        await submit(owner.opened(partition_id), job, 5_000)


def finished_count(owner, partition_id):
    counts = owner.opened(partition_id).states.placement.tables.jobs
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
    """Guards against a quota that is applied to each partition by itself."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        await submit_each(first, second)
        await until_finished(first, second)
        assert peak_running(cell) <= QUOTA
        cell.check()


async def test_whole_quota_in_each_partition_is_found():
    """Shows that the check fails when partitions ignore their shares."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        for owner, partition_id in ((first, PARTITION), (second, 'p2')):
            engine = owner.opened(partition_id).engine
            engine.quotas.use_shares({TEAM: (QUOTA * 1_000, 0, 0)})
        await submit_each(first, second, run_time_ms=0)
        await until(lambda: cell.running() == 2 * QUOTA)
        assert peak_running(cell) > QUOTA


async def test_team_in_one_partition_uses_its_whole_quota():
    """Guards against a quota of which a part stays with idle partitions."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        job = make_job('p1.job', task_count=3 * QUOTA)
        await submit(first.opened(), job, 5_000)
        await until(lambda: cell.running() == QUOTA)
        await submit(
            second.opened(OTHER_PARTITION), make_job('p2.job'), 5_000
        )  # fmt: skip
        explained = explain(first.opened(), task_id_of('p1.job', QUOTA))
        shown = explained.explanation
        assert shown.kind is ExplanationKind.waits_for_quota
        assert '4000 used of a share of 4000' in shown.detail
        assert 'quota of the cell 4000' in shown.detail
        assert peak_running(cell) == QUOTA


async def kill_holder(cell, first, second, home):
    """Kills the owner that is not the home's; a successor takes over."""
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
    """Claims a partition from an owner that goes on in the belief it owns."""
    return OTHER_PARTITION if home == PARTITION else PARTITION


@pytest.mark.parametrize('fail', [kill_holder, kill_home, pause_holder])
async def test_takeover_keeps_the_quota_and_loses_no_share(fail):
    """Guards against a successor that knows nothing of a share."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        home = home_of(cell, first)
        await submit_each(first, second, run_time_ms=0)
        await until(lambda: cell.running() == QUOTA)
        lost = await fail(cell, first, second, home)
        third = await add_quota_owner(cell, 'c', lost)
        owners = dict(zip(PARTITIONS, (first, second), strict=True))
        owners[lost] = third
        for partition_id, owner in owners.items():
            await owner.router.cancel(f'{partition_id}.job', 5_000)
        await until(lambda: not cell.running())
        for partition_id, owner in owners.items():
            job = make_job(f'{partition_id}.next', task_count=3 * QUOTA)
            await submit(owner.opened(partition_id), job, 5_000)
        await until(lambda: cell.running() == QUOTA)
        assert peak_running(cell) <= QUOTA
        cell.check()


def home_of(cell, owner):
    homes = QuotaHomes(owner.parts.store, owner.config)
    homes._use_row(cell.store.tables.read(QUOTA_HOMES_TABLE, 'cell'))
    return homes.home_of(TEAM)


async def test_lost_answers_of_the_table_service_keep_the_quota():
    """Guards against a share that is told before it is journaled."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        await submit_each(first, second)
        cell.store.fail_next_commits = list(
            itertools.repeat(Fault.lose_answers, 15)
        )
        await until_finished(first, second)
        assert not cell.store.fail_next_commits
        assert peak_running(cell) <= QUOTA


async def test_cut_between_daemons_keeps_the_quota():
    """Guards against starts by shares that the home could not confirm."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        cuts = [cut_answers(first), cut_answers(second)]
        await submit_each(first, second)
        await until(lambda: sum(cut.calls_count for cut in cuts) >= 10)
        for cut in cuts:
            cut.is_cut = False
        await until_finished(first, second)
        assert peak_running(cell) <= QUOTA


class CutAnswers:
    """Lets messages to other daemons arrive and loses their answers."""

    def __init__(self, network):
        self.is_cut = True
        self.calls_count = 0
        self._daemon_id = network.daemon_id
        self._call = network.call

    async def call(self, daemon_id, typed, timeout_ms):
        reply = await self._call(daemon_id, typed, timeout_ms)
        if not self.is_cut or daemon_id == self._daemon_id:
            return reply
        self.calls_count += 1
        return Failure(ErrorKind.peer_outcome_unknown, 'cut')


def cut_answers(owner):
    cut = CutAnswers(owner.parts.network)
    owner.parts.network.call = cut.call
    return cut


class CountAsks:
    """Counts the asks of a partition."""

    def __init__(self, shares):
        self.count = 0
        self._plan = shares.plan
        shares.plan = self.plan

    def plan(self, now_ms):
        asks = self._plan(now_ms)
        self.count += len(asks)
        return asks


async def test_quota_below_use_starts_nothing_and_kills_nothing():
    """Guards against a lowered quota that stops work or lets more start."""
    async with open_quota_cell(QUOTA) as (cell, first, second):
        await submit_each(first, second, run_time_ms=0)
        await until(lambda: cell.running() == QUOTA)
        started = cell.executions()
        change_quota(cell, 1)
        await submit(first.opened(), make_job('p1.more'), 5_000)
        asked = CountAsks(first.opened().shares)
        await until(lambda: asked.count >= 5)
        assert cell.running() == QUOTA
        assert cell.executions() == started
        change_quota(cell, QUOTA + 2)
        await until(lambda: cell.running() == QUOTA + 2)
        assert peak_running(cell) == QUOTA + 2


async def share_loads(*owners: Owner) -> None:
    """Spreads the load summaries, as heartbeats do."""
    for owner in owners:
        await owner.hand_off_sender.step()
    for owner in owners:
        for other in owners:
            loads = other.hand_off_sender._loads
            owner.hand_off_sender._loads.absorb(loads.summary())


async def test_gang_over_partitions_gets_a_share_for_each_part():
    """Guards against parts that wait for shares that nobody asks for."""
    async with open_quota_cell(60) as (cell, first, second):
        gang = make_job(
            'p1.gang',
            kind=JobKind.gang,
            demand=Resources(30_000, 2_000),
            task_count=2,
        )
        assert isinstance(await first.router.submit(gang, 2_000), JobSubmitted)
        await until_after(
            partial(share_loads, first, second),
            lambda: cell.running() == 2,
        )
        cell.check()
