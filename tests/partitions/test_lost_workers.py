"""Jobs of partitions that have lost all workers."""

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
from radishlift.placement.records import JobHandedOff
from radishlift.placement.transfer_rows import read_transfer
from radishlift.placement.transfers import JobTransfer, QueuedTask
from tests.partitions.cell import (
    OTHER_PARTITION,
    PARTITION,
    Cell,
    Owner,
    make_job,
    open_cell,
)
from tests.standins.conditions import until, until_after

HOME_JOB = JobId('p1.job')
THIRD_PARTITION = PartitionId('p3')
# Two tasks fit a worker.
HALF_WORKER = Resources(15_000, 2_000)


@asynccontextmanager
async def open_three() -> AsyncIterator[tuple[Cell, Owner, Owner]]:
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
    await second.hand_off_sender.step()
    for _ in range(2):
        first.hand_off_sender._loads.absorb(
            second.hand_off_sender._loads.summary()
        )
    await first.hand_off_sender.step()


def place_of(owner: Owner, partition_id: PartitionId) -> PartitionId | None:
    """Tells where a partition has handed the job to; None if it is unknown."""
    jobs = owner.opened(partition_id).states.placement.tables.jobs
    row = jobs.row_of.get(HOME_JOB)
    return None if row is None else jobs.to_partition[row]


def has_executions(cell: Cell, count: int) -> bool:
    return cell.executions() == count


def has_live_attempts(owner: Owner) -> bool:
    jobs = owner.opened().states.placement.tables.jobs
    return jobs.has_live_attempts(jobs.row_of[HOME_JOB])


async def lose_worker(cell: Cell, partition_id: PartitionId) -> None:
    """Ends the only worker of a partition."""
    number = [PARTITION, OTHER_PARTITION, THIRD_PARTITION].index(partition_id)
    await cell.workers[number].close()


async def start_and_lose_part(cell: Cell, first: Owner) -> None:
    """Lets some tasks finish at home and loses the attempts of others."""
    spec = make_job(HOME_JOB, demand=HALF_WORKER, task_count=6, run_time_ms=800)
    await first.router.submit(spec, 2000)
    await until(lambda: first.counts(HOME_JOB).get(TaskState.finished) == 2)
    # An attempt is live from its record on; its start may still be on the way.
    await until(partial(has_executions, cell, 4))
    await lose_worker(cell, PARTITION)
    await until(lambda: not has_live_attempts(first))


@pytest.mark.parametrize('kind', [JobKind.batch, JobKind.gang])
async def test_job_is_handed_on_until_a_partition_runs_it(kind):
    """Guards against a job that never ends after two lost partitions."""
    async with open_three() as (cell, first, second):
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
                partial(place_of, owner, passed[-1]),
            )
            target = place_of(owner, passed[-1])
            assert target not in passed
            passed.append(target)
            await until_after(
                partial(exchange_loads, first, second),
                partial(has_executions, cell, 2 * len(passed)),
            )
        shown = await first.router.status(HOME_JOB, 2000)
        assert isinstance(shown, JobStatus)
        assert shown.partition_id == passed[-1]
        assert sum(shown.task_counts.values()) == 2
        cell.check()


async def test_ended_tasks_of_a_moved_job_do_not_run_again():
    """Guards against a status without the tasks that ended at home."""
    async with open_three() as (cell, first, second):
        await start_and_lose_part(cell, first)
        counts = {TaskState.finished: 2, TaskState.queued: 4}
        assert first.counts(HOME_JOB) == counts
        await until_after(
            lambda: exchange_loads(first, second),
            lambda: place_of(first, PARTITION),
        )

        async def is_finished():
            await exchange_loads(first, second)
            shown = await first.router.status(HOME_JOB, 2000)
            if isinstance(shown, JobStatus):
                counts.clear()
                counts.update(shown.task_counts)

        await until_after(
            is_finished, lambda: counts == {TaskState.finished: 6}
        )
        moved = cell.workers[1].model.record + cell.workers[2].model.record
        assert len(moved) == 4
        cell.check()


@pytest.mark.parametrize('is_closed', [False, True])
async def test_part_started_hand_off_survives_a_crash_of_the_home(is_closed):
    """Guards against a job that no partition or that two partitions run."""
    async with open_three() as (cell, first, _):
        await start_and_lose_part(cell, first)
        tables = first.opened().states.placement.tables
        transfer = read_transfer(tables, tables.jobs.row_of[HOME_JOB])
        begun = HandOffBegun(HOME_JOB, OTHER_PARTITION, transfer)
        records = [begun, JobHandedOff(HOME_JOB, OTHER_PARTITION)]
        runner = first.partitions.get(PARTITION)
        committed = records if is_closed else records[:1]
        assert await runner.commit(committed, 2000) is None
        await first.kill()
        cell.members.dead.add(('a', 'a-1'))
        successor = await cell.add_owner('c')
        await successor.claim(PARTITION)
        await successor.hand_off_sender.step()
        assert not successor.opened().states.hand_offs.open
        moved = cell.workers[1].model.record
        if is_closed:
            # A repeat after the confirmation was lost must change nothing.
            runner = successor.partitions.get(PARTITION)
            assert await runner.commit([begun], 2000) is None
            await successor.hand_off_sender.step()
            assert not successor.opened().states.hand_offs.open
            await until(lambda: len(moved) == 4 and not cell.running())
        else:
            counts = {TaskState.finished: 2, TaskState.queued: 4}
            assert successor.counts(HOME_JOB) == counts
            assert not moved
        cell.check()


async def test_job_is_not_sent_before_its_hand_off_is_durable(monkeypatch):
    """Guards against a job that also a successor of its home would run."""
    async with open_three() as (cell, first, second):
        await start_and_lose_part(cell, first)

        async def time_out(_position: int, _timeout_ms: int) -> Failure:
            return Failure(ErrorKind.store_outcome_unknown, 'not durable')

        journal = first.opened().log.journal
        with monkeypatch.context() as patch:
            patch.setattr(journal, 'wait_durable', time_out)
            await until_after(
                partial(exchange_loads, first, second),
                partial(place_of, first, PARTITION),
            )
            await exchange_loads(first, second)
            assert place_of(second, OTHER_PARTITION) is None
            assert place_of(second, THIRD_PARTITION) is None
        await first.hand_off_sender.step()
        assert not first.opened().states.hand_offs.open
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
