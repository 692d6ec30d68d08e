"""Racks that the configuration moves between partitions.

The tests check the records of the workers for overcommitment and for tasks
that run in two places.
"""

import itertools
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from radishlift.config.document import Partition
from radishlift.core.ids import ConfigVersion, RackId
from radishlift.partitions.job_commands import submit
from radishlift.partitions.rack_drains import RackDrains
from radishlift.partitions.rack_manager import RackManager
from radishlift.partitions.rack_rows import RACKS_TABLE
from radishlift.partitions.worker_assignment import WorkerAssignment
from radishlift.placement.jobs import JobKind, Resources
from radishlift.services.api import Transaction, Write
from tests.partitions import variants
from tests.partitions.cell import (
    OTHER_PARTITION,
    PARTITION,
    make_job,
    open_cell,
    wait_for_reports,
)
from tests.standins.checks import overcommitted_workers, tasks_in_two_places
from tests.standins.conditions import until
from tests.standins.tables import Fault, MemoryTableStore
from tests.standins.worker import Network

RACK = RackId('r1')
WHOLE_WORKER = Resources(30_000, 2_000)


def make_document(cell, **racks):
    """Makes the next document, without partitions that have no racks."""
    cell.document = replace(
        cell.document,
        version=ConfigVersion(cell.document.version + 1),
        partitions={
            name: Partition(names) for name, names in racks.items() if names
        },
    )
    return cell.document


def make_moved_document(cell):
    """Makes a document that moves rack r1 from the first partition to p2."""
    return make_document(cell, p1=('r9',), p2=('r1', 'r2'))


def apply_document(owner, document):
    owner.config.document = document
    owner.partitions.use_config()


def held_by(owner, partition_id):
    runner = owner.partitions.get(partition_id)
    return runner is not None and RACK in runner.partition.states.racks.held


def count_running(cell, prefix):
    return sum(
        execution.end_ms is None and execution.task_id.startswith(prefix)
        for record in cell.records()
        for execution in record.executions
    )


@asynccontextmanager
async def open_two_owners(is_used=True, **options):
    """Opens a cell in which the first partition holds the rack.

    If `is_used`, a task of that partition uses all of the worker.
    """
    async with open_cell(1, **options) as cell:
        store = MemoryTableStore(cell.store.tables)
        first = await cell.add_owner('a', store=store)
        second = await cell.add_owner('b')
        await first.claim()
        await second.claim(OTHER_PARTITION)
        await until(lambda: held_by(first, PARTITION))
        if is_used:
            spec = make_job('old', demand=WHOLE_WORKER)
            await submit(first.partition(), spec, 2000)
            await until(lambda: count_running(cell, 'old') == 1)
        yield cell, first, second


def has_waited(pending):
    return RACK in pending.racks and pending.waited_ms(RACK) > 200


async def submit_new(second):
    spec = make_job('new', demand=WHOLE_WORKER)
    await submit(second.partition(OTHER_PARTITION), spec, 2000)


async def check_new_owner_uses_rack(cell, second):
    """Waits until the new owner uses the rack, and checks the records."""
    await until(lambda: count_running(cell, 'new') == 1)
    assert held_by(second, OTHER_PARTITION)
    assert not count_running(cell, 'old')
    cell.check()


@pytest.mark.parametrize('is_broken', [False, True])
async def test_rack_is_not_used_while_the_old_owner_has_the_old_document(
    monkeypatch,
    is_broken,
):
    """Guards against two owners that place tasks on the same worker.

    This happens if owners use all racks of their document, as the broken
    variant does, without holding them.
    """
    async with open_two_owners(is_used=False, lease_ms=5_000) as parts:
        cell, first, second = parts
        if is_broken:
            monkeypatch.setattr(
                WorkerAssignment,
                'restrict_to',
                lambda workers, racks: workers,
            )
            variants.use_unheld_worker(
                second.partition(OTHER_PARTITION), cell.workers[0].model
            )
        apply_document(second, make_moved_document(cell))
        await wait_for_reports(cell.workers, 10)
        spec = make_job('old', demand=WHOLE_WORKER)
        await submit(first.partition(), spec, 2000)
        await submit_new(second)
        if is_broken:
            # The reports include the polls of both owners.
            await until(lambda: cell.executions() == 2)
        await wait_for_reports(cell.workers, 10)
        assert cell.executions() == 1 + is_broken
        assert bool(overcommitted_workers(cell.records())) is is_broken


@pytest.mark.parametrize('is_broken', [False, True])
async def test_moved_rack_is_drained_before_it_is_used(monkeypatch, is_broken):
    """Guards against a rack that is passed on while tasks run there."""
    async with open_two_owners() as (cell, first, second):
        if is_broken:
            monkeypatch.setattr(
                RackDrains,
                'is_vacant',
                lambda drains, rack, workers: True,
            )
            variants.use_unheld_worker(
                second.partition(OTHER_PARTITION), cell.workers[0].model
            )
        document = make_moved_document(cell)
        for owner in (first, second):
            apply_document(owner, document)
        await submit_new(second)
        await until(lambda: count_running(cell, 'new') == 1)
        overcommitted = overcommitted_workers(cell.records())
        assert bool(overcommitted) is is_broken
        if not is_broken:
            await check_new_owner_uses_rack(cell, second)
            # The old owner neither polls the worker nor forgets the task.
            partition = first.partition()
            await until(lambda: not partition.dispatcher._sessions)
            assert first.counts('old')
            stopped = [
                path for path in cell.workers[0].seen if 'checkpoint' in path
            ]
            assert stopped


@pytest.mark.parametrize('killed', ['a', 'b', 'both'])
@pytest.mark.parametrize('is_late', [False, True])
async def test_takeover_in_the_middle_of_a_move(killed, is_late):
    """Guards against a move that is lost if an owner crashes."""
    async with open_two_owners() as (cell, first, second):
        document = make_moved_document(cell)
        for owner in (first, second):
            apply_document(owner, document)
        if is_late:
            await until(lambda: not held_by(first, PARTITION))
        else:
            await until(
                lambda: RACK in first.partition().racks.manager.pending.racks
            )
        victims = {'a': [first], 'b': [second], 'both': [first, second]}
        for owner in victims[killed]:
            await owner.kill()
            cell.members.dead.add((owner.name, f'{owner.name}-1'))
            cell.owners.pop(owner.name)
        new_owner = await cell.add_owner('c')
        if first in victims[killed]:
            await new_owner.claim()
        if second in victims[killed]:
            await new_owner.claim(OTHER_PARTITION)
            second = new_owner
        await submit_new(second)
        await check_new_owner_uses_rack(cell, second)


async def test_paused_owner_with_the_old_document_can_not_use_a_released_rack():
    """Guards against a previous owner whose starts or writes arrive late."""
    async with open_two_owners(is_used=False) as (cell, first, second):
        first.store.fault = Fault.lose_requests
        await submit_old_unsent(first)
        new_owner = await cell.add_owner('c')
        document = make_moved_document(cell)
        apply_document(second, document)
        apply_document(new_owner, document)
        await new_owner.claim()
        await submit_new(second)
        await check_new_owner_uses_rack(cell, second)
        for late in first.store.lost_requests:
            cell.store.tables.commit(late)
        await wait_for_reports(cell.workers, 5)
        row = cell.store.tables.read(RACKS_TABLE, RACK)
        assert row.value['partition'] == OTHER_PARTITION
        cell.check()


async def submit_old_unsent(first):
    spec = make_job('old', demand=WHOLE_WORKER)
    await submit(first.partition(), spec, 50)


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_unknown_outcomes_of_writes(fault):
    """Guards against a rack that two partitions take, or none."""
    async with open_two_owners() as (cell, first, second):
        for store in (first.store, cell.store):
            store.fail_next_commits = list(itertools.repeat(fault, 5))
        document = make_moved_document(cell)
        for owner in (first, second):
            apply_document(owner, document)
        await until(lambda: held_by(second, OTHER_PARTITION))
        await submit_new(second)
        await check_new_owner_uses_rack(cell, second)


async def test_unreachable_worker_delays_a_move_until_its_lease_expires():
    """Guards against a release while an unreachable worker may run a task."""
    async with open_two_owners() as (cell, first, second):
        cell.workers[0].set_network(Network.hang)
        document = make_moved_document(cell)
        for owner in (first, second):
            apply_document(owner, document)
        await until(lambda: held_by(second, OTHER_PARTITION))
        assert not cell.running()
        cell.workers[0].set_network(Network.normal)
        await submit_new(second)
        await check_new_owner_uses_rack(cell, second)


async def test_owner_without_the_store_delays_a_move():
    """Guards against a rack that is used before its release is durable."""
    async with open_two_owners(is_used=False) as (cell, first, second):
        document = make_moved_document(cell)
        first.store.fault = Fault.down
        for owner in (first, second):
            apply_document(owner, document)
        await submit_new(second)
        # The owner can't write the release, so that only its memory has it.
        await until(lambda: not held_by(first, PARTITION))
        pending = second.partition(OTHER_PARTITION).racks.manager.pending
        await until(lambda: has_waited(pending))
        assert not held_by(second, OTHER_PARTITION)
        assert not count_running(cell, 'new')
        first.store.fault = Fault.none
        await check_new_owner_uses_rack(cell, second)


async def test_polls_replace_lost_messages_between_the_owners(
    monkeypatch,
):
    """Guards against a move that never ends if a message is lost."""

    async def lose(*_parts):
        """Sends nothing."""

    monkeypatch.setattr(RackManager, '_notify_owner', lose)
    async with open_two_owners() as (cell, first, second):
        document = make_moved_document(cell)
        for owner in (second, first):
            apply_document(owner, document)
        await submit_new(second)
        await check_new_owner_uses_rack(cell, second)


async def test_loss_of_a_worker_ends_a_drain():
    """Guards against a move that waits for attempts of a lost worker."""
    async with open_two_owners() as (cell, first, second):
        document = make_moved_document(cell)
        for owner in (first, second):
            apply_document(owner, document)
        worker = cell.workers.pop()
        await worker.close()
        cell.publish_hosts()
        await until(lambda: held_by(second, OTHER_PARTITION))
        await cell.add_worker()
        await submit_new(second)
        await until(lambda: count_running(cell, 'new') == 1)
        cell.check()


async def test_rack_is_moved_back_during_the_move():
    """Guards against a rack that no partition uses after two changes."""
    async with open_two_owners() as (cell, first, second):
        back = cell.document.partitions
        moved = make_moved_document(cell)
        for owner in (first, second):
            apply_document(owner, moved)
        pending = first.partition().racks.manager.pending
        await until(lambda: RACK in pending.racks)
        document = make_document(
            cell,
            **{name: part.racks for name, part in back.items()},
        )
        apply_document(first, document)
        await until(lambda: not pending.racks)
        # The owner that would have got the rack sees the changes late.
        await wait_for_reports(cell.workers, 5)
        apply_document(second, document)
        other = second.partition(OTHER_PARTITION).racks.manager.pending
        await until(lambda: not other.racks)
        assert held_by(first, PARTITION)
        cell.check()


async def test_row_that_names_a_partition_of_an_earlier_document_is_passed_on():
    """Guards against a rack that no partition of the last document can take.

    Its row names a partition that only an earlier document assigned it to.
    """
    async with open_two_owners() as (cell, first, second):
        third = await cell.add_owner('c')
        moved = make_moved_document(cell)
        # The second owner skips the document that assigns the rack to it.
        last = make_document(cell, p1=('r9',), p2=('r2',), p3=('r1',))
        for owner in (second, third):
            apply_document(owner, last)
        await third.claim('p3')
        apply_document(first, moved)
        await until(lambda: held_by(third, 'p3'))
        assert not held_by(second, OTHER_PARTITION)
        cell.check()


async def test_partition_removed_from_the_document_releases_its_racks():
    """Guards against a removed partition that continues to place tasks."""
    async with open_two_owners() as (cell, first, second):
        document = make_document(cell, p1=(), p2=('r1', 'r2'))
        for owner in (first, second):
            apply_document(owner, document)
        await submit_new(second)
        await check_new_owner_uses_rack(cell, second)


async def test_rack_without_a_partition_is_free_for_a_later_one():
    """Guards against a rack that can't be used again after its removal."""
    async with open_two_owners() as (cell, first, second):
        document = make_document(cell, p1=('r9',), p2=('r2',))
        for owner in (first, second):
            apply_document(owner, document)

        def is_free():
            row = cell.store.tables.read(RACKS_TABLE, RACK)
            return not row.value['partition']

        await until(is_free)
        document = make_moved_document(cell)
        apply_document(second, document)
        await submit_new(second)
        await check_new_owner_uses_rack(cell, second)


async def test_move_waits_for_an_owner_of_the_old_partition():
    """Guards against taking a rack from a partition that has no owner."""
    async with open_two_owners() as (cell, first, second):
        await first.kill()
        cell.members.dead.add(('a', 'a-1'))
        cell.owners.pop('a')
        document = make_moved_document(cell)
        apply_document(second, document)
        await submit_new(second)
        pending = second.partition(OTHER_PARTITION).racks.manager.pending
        await until(lambda: has_waited(pending))
        assert not count_running(cell, 'new')
        assert pending.racks[RACK].row_names == PARTITION
        new_owner = await cell.add_owner('c')
        await new_owner.claim()
        await check_new_owner_uses_rack(cell, second)


@pytest.mark.parametrize('kind', [JobKind.service, JobKind.gang])
async def test_stopped_tasks_run_again_on_other_racks(kind):
    """Guards against tasks of a drained rack that do not run again."""
    async with open_cell(1) as cell:
        document = make_document(cell, p1=('r1', 'r3'), p2=('r2',))
        first = await cell.add_owner('a')
        await first.claim()
        spec = make_job('old', kind=kind, task_count=4)
        await submit(first.partition(), spec, 2000)
        await until(lambda: cell.running() == 4)
        await cell.add_worker(rack='r3')
        document = make_document(cell, p1=('r3',), p2=('r1', 'r2'))
        apply_document(first, document)
        await until(lambda: cell.workers[1].worker_record().executions)
        await until(lambda: cell.running() == 4)
        assert not tasks_in_two_places(cell.records())
        assert not any(
            execution.end_ms is None
            for execution in cell.workers[0].worker_record().executions
        )


async def test_racks_are_taken_in_one_write_and_not_polled_when_idle():
    """Guards against a write or read for each rack and against idle polls."""
    async with open_cell(1) as cell:
        racks = tuple(f'r{number}' for number in range(1, 51))
        make_document(cell, p1=racks)
        owner = await cell.add_owner('a')
        await owner.claim()
        partition = owner.partition()
        assert len(partition.states.racks.held) == len(racks)
        await until(lambda: not partition.racks.manager.pending.racks)
        written = [
            change
            for change in cell.store.tables.history
            if change.writes[0].table == RACKS_TABLE
        ]
        assert [len(change.writes) for change in written] == [len(racks)]
        history_count = len(cell.store.tables.history)
        reads = []
        read = cell.store.read

        async def count_read(table, key):
            reads.append(key)
            return await read(table, key)

        cell.store.read = count_read
        await wait_for_reports(cell.workers, 20)
        assert not reads
        later = cell.store.tables.history[history_count:]
        assert all(change.writes[0].table != RACKS_TABLE for change in later)


async def test_unreadable_row_does_not_affect_other_racks():
    """Guards against a manually written row that stops the rack manager."""
    async with open_cell(1) as cell:
        write = Write(RACKS_TABLE, 'r9', {'partition': 7})
        cell.store.tables.commit(Transaction((), (write,)))
        make_document(cell, p1=('r1', 'r9'))
        owner = await cell.add_owner('a')
        await owner.claim()
        await until(lambda: held_by(owner, PARTITION))
