"""Jobs whose tasks fail on every worker, across a takeover."""

from dataclasses import replace

from radishlift.partitions.job_commands import submit
from radishlift.partitions.job_queries import status
from radishlift.placement.jobs import TaskState
from radishlift.placement.settings import PlacementSettings
from tests.partitions.cell import make_job, open_cell
from tests.standins.conditions import until


async def test_task_that_always_fails_ends_as_failed_after_a_takeover():
    """Guards against a new owner that restarts the count of attempts."""
    async with open_cell(2) as cell:
        placement = PlacementSettings(retry_delay_ms=100)
        cell.settings = replace(cell.settings, placement=placement)
        for worker in cell.workers:
            worker.model.fails_tasks = True
        first = await cell.add_owner('a')
        await first.claim()
        await submit(first.partition(), make_job(run_time_ms=10), 5_000)
        tasks = first.partition().states.placement.tables.tasks
        await until(lambda: tasks.failed_on and tasks.failed_on[0])
        new_owner = await cell.add_owner('b')
        await new_owner.claim()
        await until(lambda: new_owner.counts() == {TaskState.failed: 1})
        assert cell.executions() == 3
        job_status = status(new_owner.partition(), 'j1')
        assert job_status.failure == 'task j1/0 failed for good in attempt 3'
