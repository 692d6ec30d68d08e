"""Jobs of partitions that have lost all their workers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial

import pytest

from radishlift.config.document import Partition
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Attempt, JobId, PartitionId, WorkerId
from radishlift.partitions.hand_off_state import HandOffBegun, HandOffs
from radishlift.partitions.messages import JobStatus
from radishlift.placement.jobs import JobKind, Resources, TaskState
from radishlift.placement.records import JobForgotten, JobHandedOff
from radishlift.placement.transfer_rows import read_transfer
from radishlift.placement.transfers import JobTransfer, QueuedTask
from tests.partitions.cell import (
    OTHER_PARTITION,
    PARTITION,
    Cell,
    Owner,
    make_job,
    open_cell,
    wait_for_reports,
)
from tests.standins.conditions import until, until_after

HOME_JOB = JobId('p1.job')
THIRD_PARTITION = PartitionId('p3')
# Two tasks fit a worker.
HALF_WORKER = Resources(15_000, 2_000)


@asynccontextmanager
async def open_three_partitions() -> AsyncIterator[tuple[Cell, Owner, Owner]]:
    """Opens a cell whose second daemon owns two of three partitions."""
    async with open_cell() as cell:
        partitions = dict(cell.document.partitions)
        partitions[THIRD_PARTITION] = Partition(('r3',))
        cell.document = replace(cell.document, partitions=partitions)
        await cell.add_worker(rack='r2')
        await cell.add_worker(rack='r3')
        first = await cell.add_owner('a')
        second = await cell.add_owner('b')
        await first.claim(PARTITION)
        await second.claim(OTHER_PARTITION)
        await second.claim(THIRD_PARTITION)
        yield cell, first, second


async def exchange_loads(first: Owner, second: Owner) -> None:
    await second.hand_off_sender.run_once()
    for _ in range(2):
        first.hand_off_sender._loads.update_from_peer(
            second.hand_off_sender._loads.summary()
        )
    await first.hand_off_sender.run_once()


def new_partition_of(
    owner: Owner, partition_id: PartitionId
) -> PartitionId | None:
    """Returns the partition that got the job; None if the job is unknown."""
    jobs = owner.partition(partition_id).states.placement.tables.jobs
    row = jobs.row_of.get(HOME_JOB)
    return None if row is None else jobs.to_partition[row]


def has_executions(cell: Cell, count: int) -> bool:
    return cell.executions() == count


def has_live_attempts(owner: Owner) -> bool:
    jobs = owner.partition().states.placement.tables.jobs
    return jobs.has_live_attempts(jobs.row_of[HOME_JOB])


async def lose_worker(cell: Cell, partition_id: PartitionId) -> None:
    """Closes the only worker of a partition."""
    number = [PARTITION, OTHER_PARTITION, THIRD_PARTITION].index(partition_id)
    await cell.workers[number].close()


async def start_and_lose_part(cell: Cell, first: Owner) -> None:
    """Waits until some tasks have finished and loses the attempts of others."""
    spec = make_job(HOME_JOB, demand=HALF_WORKER, task_count=6, run_time_ms=800)
    await first.router.submit(spec, 2000)
    await until(lambda: first.counts(HOME_JOB).get(TaskState.finished) == 2)
    # An attempt is live from its record on, before its start has arrived.
    await until(partial(has_executions, cell, 4))
    await lose_worker(cell, PARTITION)
    await until(lambda: not has_live_attempts(first))


@pytest.mark.parametrize('kind', [JobKind.batch, JobKind.gang])
async def test_job_is_handed_off_until_a_partition_runs_it(kind):
    """Guards against a job that never ends after two lost partitions."""
    async with open_three_partitions() as (cell, first, second):
        spec = make_job(
            HOME_JOB,
            kind=kind,
            demand=HALF_WORKER,
            task_count=2,
            run_time_ms=3_000,
        )
        await first.router.submit(spec, 2000)
        await until(lambda: cell.running() == 2)
        passed = [PARTITION]
        for owner in (first, second):
            await lose_worker(cell, passed[-1])
            await until_after(
                partial(exchange_loads, first, second),
                partial(new_partition_of, owner, passed[-1]),
            )
            to_partition = new_partition_of(owner, passed[-1])
            assert to_partition not in passed
            passed.append(to_partition)
            await until_after(
                partial(exchange_loads, first, second),
                partial(has_executions, cell, 2 * len(passed)),
            )
        job_status = await first.router.status(HOME_JOB, 2000)
        assert isinstance(job_status, JobStatus)
        assert job_status.partition_id == passed[-1]
        assert sum(job_status.task_counts.values()) == 2
        cell.check()


async def test_job_is_not_handed_to_a_partition_that_is_not_reached():
    """Guards against a job that waits for a daemon while another has room."""
    async with open_cell(0) as cell:
        partitions = dict(cell.document.partitions)
        partitions[THIRD_PARTITION] = Partition(('r3',))
        cell.document = replace(cell.document, partitions=partitions)
        for rack in ('r2', 'r3'):
            await cell.add_worker(rack=rack)
        first = await cell.add_owner('a')
        second = await cell.add_owner('b')
        await first.claim(PARTITION)
        await first.claim(THIRD_PARTITION)
        await second.claim(OTHER_PARTITION)
        await until_after(
            partial(exchange_loads, first, second),
            lambda: all(
                first.hand_off_sender._loads.count_tasks(
                    partition_id, HALF_WORKER, 1
                )
                for partition_id in (OTHER_PARTITION, THIRD_PARTITION)
            ),
        )
        loads = first.hand_off_sender._loads
        await first.lookup.refresh(OTHER_PARTITION)
        cell.members.suspected.add(second.parts.daemon_id)
        # Its summary stays, and shows less load than the others have.
        idle = replace(loads._loads[OTHER_PARTITION], load_ratio=-1)
        loads._loads[OTHER_PARTITION] = idle
        await first.router.submit(make_job(HOME_JOB), 2000)
        await until_after(first.hand_off_sender.run_once, cell.executions)
        assert new_partition_of(first, PARTITION) == THIRD_PARTITION


async def test_job_is_handed_to_the_new_owner_of_a_suspected_daemon():
    """Guards against partitions that stay unused after a takeover."""
    async with open_cell(0) as cell:
        await cell.add_worker(rack='r2')
        first = await cell.add_owner('a')
        second = await cell.add_owner('b')
        third = await cell.add_owner('c')
        await first.claim(PARTITION)
        await second.claim(OTHER_PARTITION)
        await first.lookup.refresh(OTHER_PARTITION)
        cell.members.suspected.add(second.parts.daemon_id)
        await third.claim(OTHER_PARTITION)
        await first.router.submit(make_job(HOME_JOB), 2000)
        await until_after(
            partial(exchange_loads, first, third), cell.executions
        )
        assert new_partition_of(first, PARTITION) == OTHER_PARTITION


async def test_ended_tasks_of_a_moved_job_do_not_run_again():
    """Guards against a status without the tasks that ended in the home."""
    async with open_three_partitions() as (cell, first, second):
        await start_and_lose_part(cell, first)
        counts = {TaskState.finished: 2, TaskState.queued: 4}
        assert first.counts(HOME_JOB) == counts
        await until_after(
            lambda: exchange_loads(first, second),
            lambda: new_partition_of(first, PARTITION),
        )

        async def update_counts():
            await exchange_loads(first, second)
            job_status = await first.router.status(HOME_JOB, 2000)
            if isinstance(job_status, JobStatus):
                counts.clear()
                counts.update(job_status.task_counts)

        await until_after(
            update_counts, lambda: counts == {TaskState.finished: 6}
        )
        moved = cell.workers[1].model.record + cell.workers[2].model.record
        assert len(moved) == 4
        cell.check()


@pytest.mark.parametrize('is_closed', [False, True])
async def test_part_started_hand_off_survives_a_crash_of_the_home(is_closed):
    """Guards against a job that no partition or two partitions run."""
    async with open_three_partitions() as (cell, first, _):
        await start_and_lose_part(cell, first)
        tables = first.partition().states.placement.tables
        transfer = read_transfer(tables, tables.jobs.row_of[HOME_JOB])
        hand_off = HandOffBegun(HOME_JOB, OTHER_PARTITION, transfer)
        records = [hand_off, JobHandedOff(HOME_JOB, OTHER_PARTITION)]
        runner = first.partitions.get(PARTITION)
        committed = records if is_closed else records[:1]
        assert await runner.commit(committed, 2000) is None
        await first.kill()
        cell.members.dead.add(('a', 'a-1'))
        new_owner = await cell.add_owner('c')
        await new_owner.claim(PARTITION)
        await new_owner.hand_off_sender.run_once()
        assert not new_owner.partition().states.hand_offs.open
        moved = cell.workers[1].model.record
        if is_closed:
            # A repeated hand-off after a lost confirmation must change nothing.
            runner = new_owner.partitions.get(PARTITION)
            assert await runner.commit([hand_off], 2000) is None
            await new_owner.hand_off_sender.run_once()
            assert not new_owner.partition().states.hand_offs.open
            await until(lambda: len(moved) == 4 and not cell.running())
        else:
            counts = {TaskState.finished: 2, TaskState.queued: 4}
            assert new_owner.counts(HOME_JOB) == counts
            assert not moved
        cell.check()


async def test_job_is_not_sent_before_its_hand_off_is_durable(monkeypatch):
    """Guards against a job that a new owner of its home runs as well."""
    async with open_three_partitions() as (cell, first, second):
        await start_and_lose_part(cell, first)

        async def time_out(_position: int, _timeout_ms: int) -> Failure:
            return Failure(ErrorKind.store_outcome_unknown, 'not durable')

        journal = first.partition().log.journal
        with monkeypatch.context() as patch:
            patch.setattr(journal, 'wait_durable', time_out)
            await until_after(
                partial(exchange_loads, first, second),
                partial(new_partition_of, first, PARTITION),
            )
            await exchange_loads(first, second)
            assert new_partition_of(second, OTHER_PARTITION) is None
            assert new_partition_of(second, THIRD_PARTITION) is None
        await first.hand_off_sender.run_once()
        assert not first.partition().states.hand_offs.open
        await until(partial(has_executions, cell, 8))
        cell.check()


def test_open_hand_offs_survive_a_snapshot():
    """Guards against progress that is lost, and old unreadable snapshots."""
    task = QueuedTask(1, Attempt(2), (WorkerId('10.0.0.1:9000'),))
    transfer = JobTransfer((PARTITION,), 2, (task,), {TaskState.finished: 1})
    state = HandOffs()
    state.apply(HandOffBegun(HOME_JOB, OTHER_PARTITION, transfer))
    restored = HandOffs()
    restored.load(state.dump())
    assert restored.open == state.open
    restored.load({HOME_JOB: OTHER_PARTITION})
    assert restored.open == {HOME_JOB: HandOffBegun(HOME_JOB, OTHER_PARTITION)}


async def test_late_hand_off_of_a_paused_owner_runs_no_job_again():
    """Guards against a second run of a job that its new home has forgotten.

    The owner is paused between the commit of the hand-off and its send.
    """
    async with open_three_partitions() as (cell, first, second):
        await start_and_lose_part(cell, first)
        partition = first.partition()
        tables = partition.states.placement.tables
        row = tables.jobs.row_of[HOME_JOB]
        hand_off = HandOffBegun(
            HOME_JOB, OTHER_PARTITION, read_transfer(tables, row)
        )
        records = [hand_off, JobHandedOff(HOME_JOB, OTHER_PARTITION)]
        runner = first.partitions.get(PARTITION)
        assert await runner.commit(records, 2000) is None
        new_owner = await cell.add_owner('c')
        await new_owner.claim(PARTITION)
        await new_owner.hand_off_sender.run_once()
        await until(partial(has_executions, cell, 8))
        await until(lambda: not cell.running())
        jobs = second.partition(OTHER_PARTITION).states.placement.tables.jobs
        await until(lambda: jobs.is_ended(jobs.row_of[HOME_JOB]))
        receiver = second.partitions.get(OTHER_PARTITION)
        forgotten = [JobForgotten(HOME_JOB)]
        assert await receiver.commit(forgotten, 2000) is None
        await first.hand_off_sender._send_job(partition, row, hand_off)
        assert HOME_JOB not in jobs.row_of
        await wait_for_reports(cell.workers[1:], 10)
        assert cell.executions() == 8
