"""Tests that multi-partition gangs run whole and once when owners crash.

They check the records of the workers.
"""

import itertools

import pytest

from radishlift.core.ids import JobId
from radishlift.placement.jobs import TaskState
from tests.partitions import variants
from tests.partitions.cell import make_job
from tests.partitions.gang_cell import (
    PARTITIONS,
    WHOLE_WORKER,
    attempts_of,
    make_gang,
    open_gang_cell,
)
from tests.standins.conditions import until
from tests.standins.tables import Fault

HOME, SECOND, THIRD = PARTITIONS


async def test_gang_starts_over_partitions_and_ends():
    """Guards against a gang that waits forever for a single partition."""
    async with open_gang_cell() as gangs:
        await gangs.submit(make_gang(run_time_ms=50))
        await gangs.until_counts({TaskState.finished: len(PARTITIONS)})
        assert attempts_of(gangs.cell.records()) == {1: 3}
        assert not gangs.reservations_count()
        gangs.cell.check()
        tables = gangs.owners[SECOND].partition(SECOND).states.placement.tables
        await until(lambda: not tables.gangs.parts and not tables.jobs.row_of)


@pytest.mark.parametrize(
    ('name', 'partitions'),
    [
        ('ReserveGangPart', (HOME,)),
        ('ReserveGangPart', (THIRD,)),
        ('CommitGangPart', PARTITIONS),
        ('CommitGangPart', (THIRD,)),
    ],
)
async def test_gang_survives_the_death_of_its_home(name, partitions):
    """Guards against a part that starts alone or is reserved forever."""
    async with open_gang_cell() as gangs:
        calls = gangs.call_filters[HOME]
        calls.hold(name, *partitions)
        await gangs.submit(make_gang())
        await gangs.until(lambda: len(calls.held_calls) == len(partitions))
        if name == 'CommitGangPart':
            started_count = len(PARTITIONS) - len(partitions)
            await until(lambda: gangs.cell.executions() == started_count)
        await gangs.kill(HOME)
        await gangs.check_runs_once()


@pytest.mark.parametrize('name', ['ReserveGangPart', 'CommitGangPart'])
@pytest.mark.parametrize('is_late', [False, True])
async def test_gang_survives_the_death_of_a_part(name, is_late):
    """Guards against a reservation that a new owner lacks or never releases."""
    async with open_gang_cell() as gangs:
        calls = gangs.call_filters[HOME]
        stop = calls.hold_replies if is_late else calls.hold
        stop(name, SECOND)
        await gangs.submit(make_gang())
        await gangs.until(lambda: calls.held_calls)
        await gangs.kill(SECOND)
        calls.clear_rules()
        await gangs.check_runs_once()


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
@pytest.mark.parametrize('partition_id', [HOME, THIRD])
async def test_lost_answers_of_the_table_service(fault, partition_id):
    """Guards against treating a decision or reservation as not written."""
    async with open_gang_cell() as gangs:
        calls = gangs.call_filters[HOME]
        calls.hold('ReserveGangPart', THIRD)
        await gangs.submit(make_gang())
        await gangs.until(lambda: calls.held_calls)
        store = gangs.owners[partition_id].store
        store.fail_next_commits = list(itertools.repeat(fault, 7))
        calls.clear_rules()
        await gangs.check_runs_once()
        assert not store.fail_next_commits


@pytest.mark.parametrize('is_broken', [False, True])
async def test_home_dies_with_a_decision_that_is_not_durable(is_broken):
    """Guards against commits for a decision that the new owner can't read."""
    async with open_gang_cell() as gangs:
        if is_broken:
            variants.commit_at_once(gangs.home)
        calls = gangs.call_filters[HOME]
        calls.hold_replies('ReserveGangPart', THIRD)
        await gangs.submit(make_gang())
        await gangs.until(lambda: calls.held_calls)
        gangs.home.store.fault = Fault.down
        calls.clear_rules()
        tables = gangs.home.partition().states.placement.tables
        await until(lambda: tables.gangs.multi_partition)
        call_counts = gangs.call_filters[SECOND].call_counts
        if is_broken:
            await until(lambda: gangs.cell.running() == 2)
        else:
            await until(lambda: call_counts['AskGangRound'] > 1)
            assert not gangs.cell.executions()
        await gangs.kill(HOME)
        if is_broken:
            # The new owner has no decision: the gang waits while its parts run.
            home = gangs.home.partition()
            await gangs.until(
                lambda: home.engine.gang_parts.list_waiting(home.now_ms())
            )
            assert attempts_of(gangs.cell.records()) == {1: 2}
        else:
            await gangs.check_runs_once()


@pytest.mark.parametrize('is_broken', [False, True])
async def test_part_does_not_release_what_the_home_has_decided(is_broken):
    """Guards against a reservation that a part ends by its own clock.

    The home may already have decided to commit it.
    """
    async with open_gang_cell() as gangs:
        if is_broken:
            variants.release_overdue(gangs.owners[SECOND])
        calls = gangs.call_filters[HOME]
        calls.hold('CommitGangPart', SECOND)
        gangs.call_filters[SECOND].cut('AskGangRound', HOME)
        await gangs.submit(make_gang())
        await gangs.until(lambda: gangs.cell.running() == 2)
        # This job uses the capacity as soon as the reservation ends.
        other = make_job('p2.other', demand=WHOLE_WORKER)
        await gangs.owners[SECOND].router.submit(other, 2_000)
        if is_broken:
            await until(lambda: gangs.cell.running() == 3)
            calls.clear_rules()
            await until(lambda: gangs.cell.running() == 1)
            assert attempts_of(gangs.cell.records()) == {1: 2}
            return
        call_counts = gangs.call_filters[SECOND].call_counts
        await until(lambda: call_counts['AskGangRound'] > 2)
        calls.clear_rules()
        gangs.call_filters[SECOND].clear_rules()
        await gangs.check_runs_once()


@pytest.mark.parametrize(
    'name', ['ReserveGangPart', 'ReleaseGangPart', 'CommitGangPart']
)
async def test_owners_can_not_reach_each_other(name):
    """Guards against reservations that remain if an owner is unreachable."""
    async with open_gang_cell() as gangs:
        calls = gangs.call_filters[HOME]
        calls.cut(name, SECOND)
        if name == 'ReleaseGangPart':
            calls.cut('ReserveGangPart', THIRD)
        await gangs.submit(make_gang())
        await gangs.until(lambda: calls.call_counts[name] > 5)
        if name != 'CommitGangPart':
            assert not gangs.cell.executions()
        calls.clear_rules()
        await gangs.check_runs_once()


async def test_homes_compete_for_the_same_capacity():
    """Guards against homes that refuse each other forever."""
    async with open_gang_cell() as gangs:
        names = [JobId(f'{partition_id}.gang') for partition_id in PARTITIONS]
        for name in names:
            await gangs.submit(make_gang(name, run_time_ms=50))
        await gangs.until(lambda: gangs.cell.executions() == 9)
        await until(lambda: not gangs.cell.running())
        for name in names:
            assert attempts_of(gangs.cell.records(), name) == {1: 3}
        await until(lambda: not gangs.reservations_count())
        gangs.cell.check()


async def test_refused_reservation_releases_all_others():
    """Guards against partial reservations due to an outdated load summary."""
    async with open_gang_cell() as gangs:
        await gangs.submit(make_job('p3.other', demand=WHOLE_WORKER))
        await until(lambda: gangs.cell.running() == 1)
        # The load summaries of the home still show free capacity in p3.
        loads = gangs.home.hand_off_sender._loads._loads
        loads[THIRD] = loads[SECOND]
        await gangs.home.router.submit(make_gang(), 2_000)
        call_counts = gangs.call_filters[HOME].call_counts
        await until(lambda: call_counts['ReleaseGangPart'])
        await until(lambda: not gangs.reservations_count())
        assert gangs.cell.executions() == 1
        await gangs.home.router.cancel(JobId('p3.other'), 2_000)
        await gangs.check_runs_once()


@pytest.mark.parametrize('partition_id', [HOME, THIRD])
async def test_gang_restarts_when_a_member_is_lost(partition_id):
    """Guards against members that continue without a lost member."""
    async with open_gang_cell() as gangs:
        await gangs.submit(make_gang())
        await gangs.check_runs_once()
        number = PARTITIONS.index(partition_id)
        gangs.cell.workers[number].model.restart()
        await gangs.until(
            lambda: attempts_of(gangs.cell.records()) == {1: 3, 2: 3}
        )
        await until(lambda: not gangs.reservations_count())
        assert gangs.cell.running() == len(PARTITIONS)
        gangs.cell.check()


@pytest.mark.parametrize('partition_id', [HOME, THIRD])
async def test_worker_is_lost_while_it_is_reserved(partition_id):
    """Guards against a gang that waits for a part that never starts."""
    async with open_gang_cell() as gangs:
        calls = gangs.call_filters[HOME]
        calls.hold('CommitGangPart', partition_id)
        await gangs.submit(make_gang())
        await gangs.until(lambda: calls.held_calls)
        await until(lambda: gangs.cell.running() == 2)
        before = gangs.incarnation_in(partition_id)
        number = PARTITIONS.index(partition_id)
        gangs.cell.workers[number].model.restart()
        await until(lambda: gangs.incarnation_in(partition_id) != before)
        calls.clear_rules()
        await gangs.until(lambda: gangs.cell.executions() == 5)
        await gangs.until(lambda: gangs.cell.running() == 3)
        # The member that was only reserved starts with its first attempt.
        assert attempts_of(gangs.cell.records()) == {1: 3, 2: 2}
        await until(lambda: not gangs.reservations_count())
        gangs.cell.check()


async def test_gang_starts_without_a_partition_that_is_not_reached():
    """Guards against rounds that all fail at the partition with most room."""
    async with open_gang_cell() as gangs:
        for rack in ('r1', 'r2', 'r3', 'r3'):
            await gangs.cell.add_worker(rack=rack)
        calls = gangs.call_filters[HOME]
        calls.cut('ReserveGangPart', THIRD)
        await gangs.until(
            lambda: (
                [
                    owner.partition(name).engine.summarise_load().workers_count
                    for name, owner in gangs.owners.items()
                ]
                == [2, 2, 3]
            )
        )
        await gangs.submit(make_gang(task_count=4))
        await gangs.until(lambda: gangs.cell.running() == 4)
        assert calls.call_counts['ReserveGangPart']
        gangs.cell.check()
