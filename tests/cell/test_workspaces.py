"""Tests of jobs and cancels of several workspaces at a leader."""

from dataclasses import replace

import pytest

from radishlift.cell.tables import CANCELS, PROGRESS, cancel_key
from tests.cell.leader import SETTINGS, Cell
from tests.steps.builders import job

ID = 'a' * 16


@pytest.fixture
async def cell():
    cell = Cell('t1')
    yield cell
    await cell.close()


def job_of(workspace):
    run = job(job_id=ID)
    run.workspace = workspace
    return run


@pytest.mark.parametrize('is_cancelled_first', [True, False])
async def test_cancel_of_another_workspace_has_no_effect(
    cell, is_cancelled_first
):
    """Guards against a workspace that cancels the jobs of others."""
    if is_cancelled_first:
        cell.cancel(ID, 'w2')
        cell.cancel(ID)
    cell.submit(job_of('w1'))
    cell.lead()
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    cell.cancel(ID, 'w2')
    cell.cancel(ID)
    cell.end_all()
    await cell.until_state(ID, 'completed')
    assert cell.store.tables.read(PROGRESS, ID).value['workspace'] == 'w1'


async def test_cancel_of_the_own_workspace_ends_a_job(cell):
    cell.submit(job_of('w1'))
    cell.lead()
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    cell.cancel(ID, 'w1')
    await cell.until(lambda: cell.state(ID) == 'cancelled')
    await cell.until(lambda: not cell.targets.running_tasks())


async def test_cancels_of_all_workspaces_are_removed(cell):
    """Guards against rows of cancels that nobody removes."""
    cell.submit(job_of('w1'))
    for workspace in ('', 'w1', 'w2'):
        cell.cancel(ID, workspace)
    cell.settings = replace(SETTINGS, forget_ended_ms=30)
    cell.lead()
    keys = [cancel_key(ID, workspace) for workspace in ('', 'w1', 'w2')]
    await cell.until(
        lambda: (
            not any(
                cell.store.tables.read(CANCELS, key).version for key in keys
            )
        )
    )
