"""Tests that a leader's starts stay within limits despite failures."""

import asyncio

import pytest

from radishlift.access.gate import Caller
from radishlift.access.keys import Workspace
from radishlift.cell.queues import QueueConfig
from radishlift.cell.tables import TARGETS
from radishlift.core.errors import ErrorKind
from radishlift.core.ids import ConfigVersion, WorkspaceName
from tests.cell.leader import Cell
from tests.cell.test_job_service import ID, ServiceSetup
from tests.steps.builders import job, step, workspace_terms


def config(cores=0, version=1):
    terms = workspace_terms('w', cores) if cores else {}
    workspaces = tuple(map(Workspace, terms.values()))
    return QueueConfig(ConfigVersion(version), (), 1000, workspaces)


DAY_MS = 86_400_000


class LimitedCell(Cell):
    """A cell with one workspace; records how many tasks ran at a time."""

    def __init__(self, *targets, limit_cores=1) -> None:
        super().__init__(*targets)
        self.config = config(limit_cores)
        self.most_running_count = 0
        self._start = self.targets.start
        self.targets.start = self._record_start

    def submit_work(self, name, *steps):
        # The targets have run since long before the job.
        return self.submit(
            job(
                *steps,
                job_id=name * 16,
                accepted_at_ms=DAY_MS,
                workspace='w',
            )
        )

    async def _record_start(self, target, order):
        verdict = await self._start(target, order)
        running_count = len(self.targets.running_tasks())
        self.most_running_count = max(self.most_running_count, running_count)
        return verdict


@pytest.fixture
async def cell():
    cell = LimitedCell('t1')
    yield cell
    await cell.close()


@pytest.mark.parametrize('has_entry', [True, False])
async def test_start_of_a_killed_leader_counts_for_the_next(cell, has_entry):
    """Guards against a second task beside a committed start that is late.

    The next leader can't ask the target, or finds no entry of it.
    """
    first_term = cell.lead()
    await cell.until(lambda: cell.targets['t1'].fencing_token == 1)
    first = cell.submit_work('a')
    fake = cell.targets['t1']
    fake.is_unresponsive = True
    await cell.until(lambda: bool(fake.late))
    await cell.kill(first_term)
    cell.add_target('t2')
    if not has_entry:
        cell.write(TARGETS, 't1', None)
    second = cell.submit_work('b')
    cell.lead()
    await cell.until(lambda: cell.targets['t2'].fencing_token == cell.epoch)
    await asyncio.sleep(0.05)
    assert not cell.targets['t2'].started
    # The late start is carried out before the lease has expired.
    fake.run(fake.late[0])
    await asyncio.sleep(0.05)
    assert not cell.targets['t2'].started
    # Without a renewed lease the target ends the task.
    fake.running.clear()
    await cell.until_state(first, 'completed')
    await cell.until_state(second, 'completed')
    assert cell.most_running_count == 1


async def test_start_is_not_sent_after_its_limit_was_lowered(cell):
    """Guards against starts whose commit took longer than a configuration."""
    cell.config = config(3)
    cell.lead()
    await cell.until(lambda: cell.targets['t1'].fencing_token == 1)
    cell.store.rejects_commits = True
    job_id = cell.submit_work('a', step(3))
    await asyncio.sleep(0.03)
    assert not cell.targets['t1'].started
    cell.leader_terms[-1].apply_config(config(1))
    cell.store.rejects_commits = False
    await cell.until_state(job_id, 'completed')
    assert cell.most_running_count == 1


async def test_removed_workspace_ends_its_work_within_its_last_limit(cell):
    cell.config = config(2)
    cell.lead()
    job_id = cell.submit_work('a', step(4))
    await cell.until(lambda: len(cell.targets.running_tasks()) == 2)
    cell.leader_terms[-1].apply_config(config())
    await cell.until_state(job_id, 'completed')
    assert cell.most_running_count == 2


async def test_job_that_never_fits_is_refused_unless_it_is_stored():
    """Guards against 422 for a job that was accepted under a higher limit."""
    setup = ServiceSetup()
    run = job(step(4, is_gang=True))

    async def submit():
        return await setup.submit(
            spec=run.spec, caller=Caller(WorkspaceName('w'))
        )

    setup.job_service.config = config(3)
    refused = await submit()
    assert refused.kind is ErrorKind.never_fits
    assert not setup.is_stored()
    setup.job_service.config = config(4)
    assert await submit() is None
    setup.job_service.config = config(3)
    assert await submit() is None
    assert setup.is_stored()
    assert run.spec.job_id == ID
