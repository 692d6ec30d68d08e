"""Tests of leaders that keep the lead but can't do their work."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest

from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import CANCELS, CELL, JOBS, LEADER_KEY, PROGRESS
from radishlift.cell.work_watch import WorkWatch
from radishlift.core.clock import ManualClock
from tests.cell.leader import SETTINGS, Cell
from tests.cell.test_leadership import cell as candidates
from tests.steps.builders import job

__all__ = ('candidates',)

QUICK = replace(SETTINGS, load_stall_ms=100, blind_ms=300, out_of_reach_ms=300)


@pytest.fixture
async def cell():
    cell = Cell('t1', settings=QUICK, target_heartbeat_ms=200)
    yield cell
    await cell.close()


async def is_abandoned(cell, task, within_s):
    """Returns whether a term ends within a time because it can't work."""
    await asyncio.wait((task,), timeout=within_s)
    return cell.leader_terms[-1].is_abandoned


@pytest.mark.parametrize('table', [PROGRESS, JOBS, CANCELS])
async def test_leader_that_cannot_read_a_table_steps_down(cell, table):
    """Guards against a leader that writes heartbeats and starts nothing."""
    cell.store.unreadable_tables.add(table)
    task = cell.lead()
    assert await is_abandoned(cell, task, 1)
    assert task.done()


async def test_leader_that_has_read_its_jobs_stays_longer(cell):
    """Guards against takeovers because of a part of the store."""
    task = cell.lead()
    job_id = cell.submit(job())
    await cell.until_state(job_id, 'completed')
    cell.store.unreadable_tables.add(JOBS)
    assert not await is_abandoned(cell, task, 0.2)
    assert await is_abandoned(cell, task, 2)


async def test_leader_that_reaches_no_running_target_steps_down(cell):
    """Guards against a leader that is cut off from all targets."""
    task = cell.lead()
    job_id = cell.submit(job())
    await cell.until_state(job_id, 'completed')
    cell.targets['t1'].is_unresponsive = True
    cell.submit(job(job_id='b' * 16))
    for number in range(20):
        cell.write_target('t1', address=f'127.0.0.1:{number}')
        await asyncio.sleep(0.05)
    assert await is_abandoned(cell, task, 1)


async def test_leader_stays_while_all_targets_are_away(cell):
    """Guards against takeovers that help nobody."""
    task = cell.lead()
    job_id = cell.submit(job())
    await cell.until_state(job_id, 'completed')
    cell.targets['t1'].is_unresponsive = True
    cell.submit(job(job_id='b' * 16))
    assert not await is_abandoned(cell, task, 1)


class NoTargets:
    """A fleet without targets."""

    entry_writes = SimpleNamespace(has_recent=lambda now_ms: False)

    def __iter__(self):
        return iter(())


class Watched:
    """A watch whose reads and commits are set by the test."""

    def __init__(self, abandoned_count=0) -> None:
        self.clock = ManualClock(10_000)
        self.log = SimpleNamespace(confirmed_at_ms=10_000)
        self.progress = 0
        self.watch = WorkWatch(
            self.log, NoTargets(), CellSettings(), self.clock, abandoned_count
        )
        self.watch.add_read(JOBS, lambda: self.progress)

    def pass_time(self, elapsed_ms, *, is_confirmed=True):
        """Passes a time in steps; returns why the leader should step down."""
        reason = ''
        for _ in range(elapsed_ms // 200):
            self.clock.advance(200)
            if is_confirmed:
                self.log.confirmed_at_ms = self.clock.monotonic_ms()
            reason = self.watch._find_reason(self.clock.monotonic_ms())
        return reason


def test_outage_of_the_whole_store_is_no_reason_to_step_down():
    watched = Watched()
    assert not watched.pass_time(60_000, is_confirmed=False)
    assert not watched.pass_time(4000)
    assert watched.pass_time(2000)


def test_leader_that_reads_page_by_page_stays():
    """Guards against a takeover in the middle of a long read."""
    watched = Watched()
    for _ in range(20):
        watched.progress += 1
        assert not watched.pass_time(4000)


def test_lead_goes_round_more_slowly_if_no_leader_can_work():
    """Guards against a lead that changes all the time."""
    assert not Watched(abandoned_count=2).pass_time(20_000)
    assert Watched(abandoned_count=2).pass_time(20_400)


async def test_daemon_that_has_stepped_down_claims_after_the_others(candidates):
    """Guards against a lead that goes back to the daemon that gave it up."""
    store, add = candidates
    first = await add('d1', leader_rank=20)
    claim = await asyncio.wait_for(first.claim, 2)
    second = await add('d2')
    first.leadership.follow()
    first.claim = asyncio.create_task(
        first.leadership.wait_for_claim(first.follower)
    )
    await first.leadership.abandon(claim)
    next_claim = await asyncio.wait_for(second.claim, 2)
    assert next_claim.abandoned_count == 1
    assert not first.claim.done()
    assert 'abandoned' not in store.tables.read(CELL, LEADER_KEY).value
