"""Tests that no task runs in two places and no worker is overcommitted.

They check the records of the workers. Most tests also run a broken variant,
which shows that their check can fail.
"""

import asyncio
import itertools
from contextlib import asynccontextmanager

import pytest

from radishlift.partitions.job_commands import submit
from radishlift.partitions.messages import JobSubmitted
from radishlift.partitions.open_partition import OpenPartition
from radishlift.placement.jobs import Resources, TaskState
from radishlift.workers.dispatcher import Dispatcher
from tests.partitions import variants
from tests.partitions.cell import (
    LEASE_MS,
    Cell,
    Owner,
    make_job,
    open_cell,
    wait_for_reports,
)
from tests.standins.checks import tasks_in_two_places
from tests.standins.conditions import until
from tests.standins.tables import Fault, MemoryTableStore
from tests.standins.worker import Network

WHOLE_WORKER = Resources(30_000, 2_000)


async def take_over(
    cell: Cell, dispatcher_type: type[Dispatcher] = Dispatcher
) -> Owner:
    """Makes another daemon claim the partition while the first owner lives."""
    new_owner = await cell.add_owner('b', dispatcher_type)
    await new_owner.claim()
    return new_owner


@asynccontextmanager
async def open_deposed_owner_with_queued_job(store_fault: Fault = Fault.none):
    """Opens an owner that does not know that it was deposed.

    Each owner knows one worker only, so that their decisions differ.
    """
    async with open_cell(2) as cell:
        own_store = MemoryTableStore(cell.store.tables)
        first = await cell.add_owner('a', store=own_store)
        first.partitions.update_hosts(())
        await first.claim()
        await submit(first.partition(), make_job(), 2000)
        own_store.fault = store_fault
        partition = first.partition()
        new_owner = await cell.add_owner('b')
        new_owner.partitions.update_hosts(cell.hosts()[:1])
        first.partitions.update_hosts(cell.hosts()[1:])
        yield cell, partition, first, new_owner


@pytest.mark.parametrize('is_broken', [False, True])
async def test_deposed_owner_starts_nothing_that_is_not_journaled(is_broken):
    """Guards against a start that the new owner does not read."""
    async with open_deposed_owner_with_queued_job() as (
        cell,
        partition,
        first,
        new_owner,
    ):
        # The claim takes effect before the first owner can place the job.
        claim = new_owner.write_claim(partition.claim.partition_id)
        if is_broken:
            variants.run_effects_at_once(first)
        await until(lambda: first.partitions.get(claim.partition_id) is None)
        await new_owner.partitions.on_acquired(claim)
        await until(lambda: cell.workers[0].model.record)
        places = tasks_in_two_places(cell.records())
        assert bool(places) is is_broken


@pytest.mark.parametrize('is_broken', [False, True])
async def test_row_of_unknown_outcome_starts_nothing(is_broken):
    """Guards against treating a row as journaled whose request was lost."""
    async with open_deposed_owner_with_queued_job(Fault.lose_requests) as parts:
        cell, partition, first, new_owner = parts
        if is_broken:
            variants.run_effects_at_once(first)
        await until(lambda: partition.log.journal.refusal())
        await new_owner.claim()
        await until(lambda: cell.workers[0].model.record)
        places = tasks_in_two_places(cell.records())
        assert bool(places) is is_broken


async def test_lost_answers_of_the_table_service_run_each_job_once():
    """Guards against a second row for records that are already written."""
    async with open_cell(2) as cell:
        owner = await cell.add_owner('a')
        await owner.claim()
        jobs = [make_job(f'j{number}', run_time_ms=20) for number in range(20)]
        submitting = asyncio.gather(
            *(submit(owner.partition(), job, 20_000) for job in jobs)
        )
        # The jobs are appended before the first reply is lost, as they would
        # be refused after a failed flush.
        await asyncio.sleep(0)
        cell.store.fail_next_commits = list(
            itertools.repeat(Fault.lose_answers, 7)
        )
        accepted = await submitting
        assert all(isinstance(reply, JobSubmitted) for reply in accepted)
        await until(lambda: owner.counts('j19') == {TaskState.finished: 1})
        await until(lambda: not cell.running())
        assert cell.executions() == 20
        assert not cell.store.fail_next_commits
        cell.check()


@pytest.mark.parametrize('variant', [Dispatcher, variants.EndsInherited])
async def test_new_owner_resumes_running_tasks(variant):
    """Guards against a new owner that places running tasks again."""
    async with open_cell(0, lease_ms=5_000) as cell:
        for _ in range(2):
            # Tasks that use more than declared would be stopped.
            await cell.add_worker(usage_range=(1.0, 1.0))
        first = await cell.add_owner('a')
        await first.claim()
        await submit(first.partition(), make_job(task_count=30), 2000)
        await until(lambda: cell.running() == 30)
        # The first owner is paused with its sessions and sends nothing.
        first.loop.cancel()
        new_owner = await take_over(cell, variant)
        is_broken = variant is not Dispatcher
        partition = new_owner.partition()
        if is_broken:
            await until(lambda: cell.executions() > 30)
        else:
            await until(lambda: count_confirmed(partition) == 30)
            await wait_for_reports(cell.workers, 10)
            assert cell.executions() == 30
        assert bool(tasks_in_two_places(cell.records())) is is_broken


def count_confirmed(partition: OpenPartition) -> int:
    return sum(
        live.is_confirmed
        for session in partition.dispatcher._sessions.values()
        for live in session.attempts.values()
    )


async def test_start_of_a_paused_owner_arrives_after_the_task_ended():
    """Guards against a late start that runs an ended task again."""
    async with open_cell() as cell:
        first = await cell.add_owner('a')
        await first.claim()
        await wait_for_reports(cell.workers, 1)
        cell.workers[0].set_network(Network.hold)
        await submit(first.partition(), make_job(run_time_ms=10), 2000)
        new_owner = await take_over(cell)
        await until(lambda: cell.workers[0].waiting_count >= 2)
        cell.workers[0].set_network(Network.normal)
        await until(lambda: new_owner.counts() == {TaskState.finished: 1})
        await until(lambda: not cell.workers[0].model.attempts)
        late = {**cell.workers[0].last_start, 'lease_until_ms': 10**15}
        assert cell.workers[0].model.start(late) != 'running'
        assert cell.executions() == 1


@pytest.mark.parametrize('is_broken', [False, True])
async def test_tasks_of_a_restarted_worker_run_again(is_broken):
    """Guards against tasks that are not run again after a worker restarts."""
    async with open_cell() as cell:
        owner = await cell.add_owner('a')
        await owner.claim()
        await submit(owner.partition(), make_job(task_count=3), 2000)
        await until(lambda: cell.running() == 3)
        if is_broken:
            variants.ignore_worker_events(owner)
        cell.workers[0].model.restart()
        seen_count = cell.workers[0].seen.count('/report') + 10
        await until(lambda: cell.workers[0].seen.count('/report') >= seen_count)
        assert cell.running() == 3 * (not is_broken)
        cell.check()


@pytest.mark.parametrize('variant', [Dispatcher, variants.EndsUnreachable])
async def test_task_of_an_unreachable_worker_runs_again_after_its_lease(
    variant,
):
    """Guards against a second run while an unreachable worker runs the task."""
    async with open_cell() as cell:
        owner = await cell.add_owner('a', variant)
        await owner.claim()
        await submit(owner.partition(), make_job(), 2000)
        await until(lambda: cell.running() == 1)
        await cell.add_worker()
        cell.workers[0].set_network(Network.hang)
        await until(lambda: len(cell.workers[1].model.record) == 1)
        is_broken = variant is not Dispatcher
        assert bool(tasks_in_two_places(cell.records())) is is_broken


@pytest.mark.parametrize('variant', [Dispatcher, variants.EndsUnreachable])
async def test_renewals_of_an_unaware_previous_owner_keep_the_task_bound(
    variant,
):
    """Guards against a new owner that counts a lease from its takeover.

    The previous owner does not know that it was deposed and renews the lease.
    """
    async with open_cell() as cell:
        first = await cell.add_owner('a')
        await first.claim()
        await submit(first.partition(), make_job(), 2000)
        await until(lambda: cell.running() == 1)
        # Only the daemons can't reach each other; the previous owner renews.
        await first.parts.network.stop()
        new_owner = await cell.add_owner('b', variant)
        address = cell.workers[0].model.worker_id
        client = new_owner.parts.client
        make_unreachable(client, address)
        await new_owner.claim()
        await cell.add_worker()
        begin_ms = new_owner.parts.clock.monotonic_ms()
        clock = new_owner.parts.clock
        await until(lambda: clock.monotonic_ms() > begin_ms + 3 * LEASE_MS)
        is_broken = variant is not Dispatcher
        assert bool(tasks_in_two_places(cell.records())) is is_broken
        await first.kill()
        cell.members.dead.add(('a', 'a-1'))
        if not is_broken:
            await until(lambda: len(cell.workers[1].model.record) == 1)
            cell.check()


async def test_refused_connection_to_a_previous_owner_runs_no_task_twice():
    """Guards against taking a network that rejects connections for a death.

    The previous owner does not know that it was deposed and renews the lease.
    """
    async with open_cell() as cell:
        own_store = MemoryTableStore(cell.store.tables)
        first = await cell.add_owner('a', store=own_store)
        await first.claim()
        await submit(first.partition(), make_job(), 2000)
        await until(lambda: cell.running() == 1)
        own_store.fault = Fault.down
        await first.parts.network.stop()
        cell.members.refused.add(('a', 'a-1'))
        new_owner = await cell.add_owner('b')
        clock = new_owner.parts.clock
        make_unreachable(
            new_owner.parts.client, cell.workers[0].model.worker_id
        )
        await new_owner.claim()
        await cell.add_worker()
        begin_ms = clock.monotonic_ms()
        await until(lambda: clock.monotonic_ms() > begin_ms + 3 * LEASE_MS)
        cell.check()
        await first.kill()
        cell.members.dead.add(('a', 'a-1'))
        await until(lambda: len(cell.workers[1].model.record) == 1)
        cell.check()


def make_unreachable(client, address) -> None:
    """Makes a worker unreachable for a client."""
    call = client._call

    async def call_unless_unreachable(worker_id, path, message, reply_type):
        target = '127.0.0.1:1' if worker_id == address else worker_id
        return await call(target, path, message, reply_type)

    client._call = call_unless_unreachable


@pytest.mark.parametrize(
    'variant', [Dispatcher, variants.TreatsUnknownAsNotRun]
)
async def test_lost_reply_to_a_start(variant):
    """Guards against placing a task again whose start may have arrived."""
    async with open_cell(2) as cell:
        for worker in cell.workers:
            worker.set_network(Network.lose_starts)
        owner = await cell.add_owner('a', variant)
        await owner.claim()
        await submit(owner.partition(), make_job(demand=WHOLE_WORKER), 2000)
        is_broken = variant is not Dispatcher
        await until(lambda: cell.executions() > is_broken)
        places = tasks_in_two_places(cell.records())
        assert bool(places) is is_broken
        if not is_broken:
            await until(lambda: owner.counts() == {TaskState.placed: 1})
            await wait_for_reports(cell.workers, 10)
            assert cell.executions() == 1
