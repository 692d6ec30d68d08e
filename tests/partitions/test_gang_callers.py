"""Status and cancellation of multi-partition gangs."""

import pytest

from radishlift.partitions.messages import JobCancelling, TaskExplained
from radishlift.placement.explanations import ExplanationKind
from radishlift.placement.jobs import TaskState, task_id_of
from tests.partitions.gang_cell import (
    GANG,
    PARTITIONS,
    attempts_of,
    make_gang,
    open_gang_cell,
)
from tests.standins.conditions import until

HOME, SECOND, THIRD = PARTITIONS


@pytest.mark.parametrize(
    ('name', 'partitions'),
    [
        ('ReserveGangPart', (HOME,)),
        ('ReserveGangPart', (THIRD,)),
        ('CommitGangPart', PARTITIONS),
        ('CommitGangPart', (SECOND,)),
        ('', ()),
    ],
)
async def test_cancellation_during_each_step(name, partitions):
    """Guards against a part that keeps running or stays reserved."""
    async with open_gang_cell() as gangs:
        calls = gangs.call_filters[HOME]
        calls.hold(name, *partitions)
        await gangs.submit(make_gang())
        if name:
            await gangs.until(lambda: len(calls.held_calls) == len(partitions))
        else:
            await gangs.until(lambda: gangs.cell.running() == 3)
        router = gangs.owners[THIRD].router
        assert isinstance(await router.cancel(GANG, 2_000), JobCancelling)
        calls.clear_rules()
        await gangs.until_counts({TaskState.cancelled: len(PARTITIONS)})
        await until(lambda: not gangs.cell.running())
        await until(lambda: not gangs.reservations_count())
        if name == 'ReserveGangPart':
            assert not gangs.cell.executions()
        gangs.cell.check()


async def test_callers_see_a_gang_over_its_parts():
    """Guards against a status or explanation of only the part in the home."""
    async with open_gang_cell() as gangs:
        calls = gangs.call_filters[HOME]
        calls.hold('CommitGangPart', THIRD)
        await gangs.submit(make_gang())
        await gangs.until(lambda: gangs.cell.running() == 2)
        counts = await gangs.counts()
        assert counts[TaskState.queued] == 1
        assert sum(counts.values()) == len(PARTITIONS)
        router = gangs.owners[SECOND].router
        kinds = []
        for index, partition_id in enumerate(PARTITIONS):
            reply = await router.explain(task_id_of(GANG, index), 2_000)
            assert isinstance(reply, TaskExplained)
            assert reply.partition_id == partition_id
            kinds.append(reply.explanation.kind)
        runs = ExplanationKind.runs
        assert kinds == [runs, runs, ExplanationKind.waits_for_gang]


async def test_gang_with_a_failed_member_ends():
    """Guards against parts that keep running after a permanent failure."""
    async with open_gang_cell() as gangs:
        gangs.cell.workers[2].model.fails_tasks = True
        await gangs.submit(make_gang(max_attempts=1))
        await gangs.until(lambda: gangs.cell.executions() == len(PARTITIONS))
        await gangs.until(lambda: not gangs.cell.running())
        counts = {TaskState.failed: 1, TaskState.cancelled: 2}
        await gangs.until_counts(counts)
        assert gangs.cell.executions() == len(PARTITIONS)


async def test_finished_members_do_not_run_again():
    """Guards against a second run of members that finished before a restart."""
    async with open_gang_cell() as gangs:
        # Only the first member ends before the others start again.
        for worker in gangs.cell.workers[1:]:
            worker.model.options.run_time_range = (10_000, 10_000)
        await gangs.submit(make_gang(run_time_ms=20))
        await gangs.until(lambda: gangs.cell.executions() == len(PARTITIONS))
        await gangs.until_finished(1)
        for worker in gangs.cell.workers[1:]:
            worker.model.options.run_time_range = (1, 1)
        gangs.cell.workers[2].model.restart()
        await gangs.until_counts({TaskState.finished: len(PARTITIONS)})
        assert attempts_of(gangs.cell.records()) == {1: 3, 2: 2}
        gangs.cell.check()
