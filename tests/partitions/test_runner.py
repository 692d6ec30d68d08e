from dataclasses import replace

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId
from radishlift.partitions import runner
from radishlift.partitions.job_commands import cancel, submit
from radishlift.partitions.job_queries import status
from radishlift.partitions.messages import JobSubmitted
from radishlift.placement.jobs import TaskState
from radishlift.workers.dispatcher import Dispatcher
from tests.partitions.cell import (
    OTHER_PARTITION,
    PARTITION,
    make_job,
    open_cell,
)
from tests.standins.conditions import until
from tests.standins.tables import Fault


async def test_job_runs_to_its_end():
    """Guards against a job that does not run from submission to its end."""
    async with open_cell() as cell:
        owner = await cell.add_owner('a')
        await owner.claim()
        partition = owner.partition()
        spec = make_job(task_count=5, run_time_ms=30)
        accepted = await submit(partition, spec, 2000)
        assert isinstance(accepted, JobSubmitted)
        assert await submit(partition, spec, 2000) == accepted
        await until(lambda: owner.counts() == {TaskState.finished: 5})
        await until(lambda: not cell.workers[0].model.attempts)
        assert cell.executions() == 5
        cell.check()


async def test_new_jobs_are_refused_during_an_outage():
    """Guards against "not run" for a job that is journaled later."""
    async with open_cell() as cell:
        owner = await cell.add_owner('a')
        await owner.claim()
        partition = owner.partition()
        first = await submit(partition, make_job(), 2000)
        await until(lambda: cell.running() == 1)
        cell.store.fault = Fault.down
        for job_id in ('j2', 'j3'):
            refused = await submit(partition, make_job(job_id), 100)
            assert isinstance(refused, Failure)
            assert refused.kind is ErrorKind.store_unavailable
        cell.store.fault = Fault.none
        await until(lambda: partition.log.journal.refusal() is None)
        assert await submit(partition, make_job(), 2000) == first
        for job_id in ('j2', 'j3'):
            assert isinstance(status(partition, JobId(job_id)), Failure)
        # A job that was rolled back may be submitted again with the same ids.
        again = await submit(partition, make_job('j2'), 2000)
        assert isinstance(again, JobSubmitted)
        await until(lambda: cell.executions() == 2)
        assert 'j3' not in str(cell.store.tables.history)
        cell.check()


async def test_jobs_that_may_be_written_are_not_rolled_back():
    """Guards against "not run" for a job after a lost reply to its row."""
    async with open_cell() as cell:
        owner = await cell.add_owner('a')
        await owner.claim()
        partition = owner.partition()
        cell.store.fail_next_commits = [
            Fault.lose_answers,
            *(Fault.down for _ in range(10_000)),
        ]
        unknown = await submit(partition, make_job(), 100)
        assert isinstance(unknown, Failure)
        assert unknown.kind is ErrorKind.store_outcome_unknown
        assert not cell.executions()
        cell.store.fail_next_commits = []
        await until(lambda: cell.executions() == 1)
        assert isinstance(
            await submit(partition, make_job(), 2000), JobSubmitted
        )
        cell.check()


async def test_new_owner_does_not_see_a_rolled_back_job():
    """Guards against a new owner whose tables differ from the previous owner's.

    The previous owner rolled a job back that was not journaled in time.
    """
    async with open_cell() as cell:
        owner = await cell.add_owner('a')
        await owner.claim()
        await submit(owner.partition(), make_job(task_count=2), 2000)
        await until(lambda: cell.running() == 2)
        cell.store.fault = Fault.down
        refused = await submit(
            owner.partition(), make_job('j2', task_count=3), 50
        )
        assert isinstance(refused, Failure)
        assert refused.kind is ErrorKind.store_unavailable
        cell.store.fault = Fault.none
        later = make_job('j3', task_count=4)
        await until(lambda: owner.partition().log.journal.refusal() is None)
        await submit(owner.partition(), later, 2000)
        await until(lambda: cell.running() == 6)
        before = _committed(owner)
        await owner.partitions.on_releasing(PARTITION)
        new_owner = await cell.add_owner('b')
        await new_owner.claim()
        assert _committed(new_owner) == before
        assert isinstance(status(new_owner.partition(), JobId('j2')), Failure)
        cell.check()


def _committed(owner):
    tables = owner.partition().states.placement.tables
    return sorted(tables.jobs.row_of), list(tables.workers.free_cpu)


async def test_tasks_keep_running_after_a_drain():
    """Guards against a planned stop of an owner that ends running tasks."""
    async with open_cell() as cell:
        owner = await cell.add_owner('a')
        await owner.claim()
        await submit(owner.partition(), make_job(task_count=3), 2000)
        await until(lambda: cell.running() == 3)
        await owner.partitions.on_releasing(PARTITION)
        new_owner = await cell.add_owner('b')
        await new_owner.claim()
        partition = new_owner.partition()
        begin_ms = new_owner.parts.clock.monotonic_ms()
        await until(
            lambda: (
                new_owner.parts.clock.monotonic_ms() > begin_ms + 1000
                and not partition.states.owners.has_previous_owner(
                    partition.claim.epoch
                )
            )
        )
        assert cell.running() == 3
        assert cell.executions() == 3
        cell.check()


async def test_cancel_stops_running_tasks():
    """Guards against a cancellation that leaves tasks running."""
    async with open_cell() as cell:
        owner = await cell.add_owner('a')
        await owner.claim()
        partition = owner.partition()
        await submit(partition, make_job(task_count=4), 2000)
        await until(lambda: cell.running() == 4)
        assert not isinstance(
            await cancel(partition, JobId('j1'), 2000), Failure
        )
        await until(lambda: owner.counts() == {TaskState.cancelled: 4})
        assert not cell.running()


async def test_fault_in_one_partition_leaves_the_others_running():
    """Guards against an error in one partition that stops the daemon."""
    async with open_cell() as cell:
        await cell.add_worker(rack='r2')
        owner = await cell.add_owner('a')
        await owner.claim()
        await owner.claim(OTHER_PARTITION)

        def fail(now_ms):
            raise KeyError(now_ms)

        owner.partition().engine.tick = fail
        await until(lambda: owner.partitions.get(PARTITION) is None)
        job = make_job('p2.job')
        await submit(owner.partition(OTHER_PARTITION), job, 2000)
        await until(lambda: cell.running() == 1)


class FailingDispatcher(Dispatcher):
    """Ends its loop with an error."""

    async def run_forever(self):
        raise ValueError('unexpected')


async def add_failing_owner(cell, dispatcher_type=Dispatcher):
    """Adds an owner; returns it and the partitions that it gives up."""
    partitions = replace(cell.settings.partitions, failed_pause_ms=10)
    cell.settings = replace(cell.settings, partitions=partitions)
    owner = await cell.add_owner('a', dispatcher_type)
    given_up = []
    owner.partitions._give_up = given_up.append
    return owner, given_up


async def test_partition_is_given_up_after_an_error_in_its_recovery(
    monkeypatch,
):
    """Guards against a partition that its owner recovers forever."""

    async def recover(*_):
        raise ValueError('unexpected')

    monkeypatch.setattr(runner, 'recover_partition', recover)
    async with open_cell() as cell:
        owner, given_up = await add_failing_owner(cell)
        await owner.partitions.on_acquired(owner.write_claim(PARTITION))
        await until(lambda: given_up == [PARTITION])
        assert not owner.partitions._runners


async def test_partition_is_given_up_after_an_error_in_a_loop():
    """Guards against an owner that accepts jobs and starts nothing."""
    async with open_cell() as cell:
        owner, given_up = await add_failing_owner(cell, FailingDispatcher)
        await owner.partitions.on_acquired(owner.write_claim(PARTITION))
        await until(lambda: given_up == [PARTITION])
        assert not owner.partitions._runners


async def test_partition_is_given_up_after_an_error_in_a_flush(monkeypatch):
    """Guards against an owner that journals nothing any more."""

    async def flush():
        raise ValueError('unexpected')

    async with open_cell() as cell:
        owner, given_up = await add_failing_owner(cell)
        await owner.claim()
        partition = owner.partition()
        monkeypatch.setattr(partition, 'flush_journal', flush)
        await submit(partition, make_job(), 100)
        await until(lambda: given_up == [PARTITION])
