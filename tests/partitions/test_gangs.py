"""Gangs over partitions run all or nothing, once, when owners die.

They are judged by the records of the workers.
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
    """Guards against a gang that waits for ever for one partition's room."""
    async with open_gang_cell() as gangs:
        await gangs.submit(make_gang(run_time_ms=50))
        await gangs.until_counts({TaskState.finished: len(PARTITIONS)})
        assert attempts_of(gangs.cell.records()) == {1: 3}
        assert not gangs.holds_count()
        gangs.cell.check()
        tables = gangs.owners[SECOND].opened(SECOND).states.placement.tables
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
    """Guards against a part that starts alone or holds room for ever."""
    async with open_gang_cell() as gangs:
        wire = gangs.wires[HOME]
        wire.hold(name, *partitions)
        await gangs.submit(make_gang())
        await gangs.until(lambda: len(wire.held) == len(partitions))
        if name == 'CommitGangPart':
            started_count = len(PARTITIONS) - len(partitions)
            await until(lambda: gangs.cell.executions() == started_count)
        await gangs.kill(HOME)
        await gangs.check_runs_once()


@pytest.mark.parametrize('name', ['ReserveGangPart', 'CommitGangPart'])
@pytest.mark.parametrize('is_late', [False, True])
async def test_gang_survives_the_death_of_a_part(name, is_late):
    """Guards against a hold that a successor does not know or keeps."""
    async with open_gang_cell() as gangs:
        wire = gangs.wires[HOME]
        stop = wire.hold_replies if is_late else wire.hold
        stop(name, SECOND)
        await gangs.submit(make_gang())
        await gangs.until(lambda: wire.held)
        await gangs.kill(SECOND)
        wire.heal()
        await gangs.check_runs_once()


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
@pytest.mark.parametrize('partition_id', [HOME, THIRD])
async def test_lost_answers_of_the_table_service(fault, partition_id):
    """Guards against a decision or hold that is taken for not written."""
    async with open_gang_cell() as gangs:
        wire = gangs.wires[HOME]
        wire.hold('ReserveGangPart', THIRD)
        await gangs.submit(make_gang())
        await gangs.until(lambda: wire.held)
        store = gangs.owners[partition_id].store
        store.fail_next_commits = list(itertools.repeat(fault, 7))
        wire.heal()
        await gangs.check_runs_once()
        assert not store.fail_next_commits


@pytest.mark.parametrize('is_broken', [False, True])
async def test_home_dies_with_a_decision_that_is_not_durable(is_broken):
    """Guards against commits for a decision that no successor reads."""
    async with open_gang_cell() as gangs:
        if is_broken:
            variants.commit_at_once(gangs.home)
        wire = gangs.wires[HOME]
        wire.hold_replies('ReserveGangPart', THIRD)
        await gangs.submit(make_gang())
        await gangs.until(lambda: wire.held)
        gangs.home.store.fault = Fault.down
        wire.heal()
        tables = gangs.home.opened().states.placement.tables
        await until(lambda: tables.gangs.multi_partition)
        asked = gangs.wires[SECOND].seen
        if is_broken:
            await until(lambda: gangs.cell.running() == 2)
        else:
            await until(lambda: asked['AskGangRound'] > 1)
            assert not gangs.cell.executions()
        await gangs.kill(HOME)
        if is_broken:
            # The successor has no decision: the gang waits, and its parts run.
            home = gangs.home.opened()
            await gangs.until(
                lambda: home.engine.gang_parts.list_waiting(home.now_ms())
            )
            assert attempts_of(gangs.cell.records()) == {1: 2}
        else:
            await gangs.check_runs_once()


@pytest.mark.parametrize('is_broken', [False, True])
async def test_part_does_not_release_what_the_home_has_decided(is_broken):
    """Guards against a hold that ends by its own clock after the vote."""
    async with open_gang_cell() as gangs:
        if is_broken:
            variants.release_overdue(gangs.owners[SECOND])
        wire = gangs.wires[HOME]
        wire.hold('CommitGangPart', SECOND)
        gangs.wires[SECOND].cut('AskGangRound', HOME)
        await gangs.submit(make_gang())
        await gangs.until(lambda: gangs.cell.running() == 2)
        # This job takes the room as soon as the hold ends.
        other = make_job('p2.other', demand=WHOLE_WORKER)
        await gangs.owners[SECOND].router.submit(other, 2_000)
        if is_broken:
            await until(lambda: gangs.cell.running() == 3)
            wire.heal()
            await until(lambda: gangs.cell.running() == 1)
            assert attempts_of(gangs.cell.records()) == {1: 2}
            return
        asked = gangs.wires[SECOND].seen
        await until(lambda: asked['AskGangRound'] > 2)
        wire.heal()
        gangs.wires[SECOND].heal()
        await gangs.check_runs_once()


@pytest.mark.parametrize(
    'name', ['ReserveGangPart', 'ReleaseGangPart', 'CommitGangPart']
)
async def test_owners_are_cut_from_each_other(name):
    """Guards against holds that stay when an owner can't be reached."""
    async with open_gang_cell() as gangs:
        wire = gangs.wires[HOME]
        wire.cut(name, SECOND)
        if name == 'ReleaseGangPart':
            wire.cut('ReserveGangPart', THIRD)
        await gangs.submit(make_gang())
        await gangs.until(lambda: wire.seen[name] > 5)
        if name != 'CommitGangPart':
            assert not gangs.cell.executions()
        wire.heal()
        await gangs.check_runs_once()


async def test_two_homes_compete_for_the_same_room():
    """Guards against homes that refuse each other for ever."""
    async with open_gang_cell() as gangs:
        names = [JobId(f'{one}.gang') for one in PARTITIONS]
        for name in names:
            await gangs.submit(make_gang(name, run_time_ms=50))
        await gangs.until(lambda: gangs.cell.executions() == 9)
        await until(lambda: not gangs.cell.running())
        for name in names:
            assert attempts_of(gangs.cell.records(), name) == {1: 3}
        await until(lambda: not gangs.holds_count())
        gangs.cell.check()


async def test_refused_reservation_releases_all_others():
    """Guards against partial holding when a load summary is out of date."""
    async with open_gang_cell() as gangs:
        await gangs.submit(make_job('p3.other', demand=WHOLE_WORKER))
        await until(lambda: gangs.cell.running() == 1)
        # The home goes on to believe that p3 has room.
        loads = gangs.home.hand_off_sender._loads._loads
        loads[THIRD] = loads[SECOND]
        await gangs.home.router.submit(make_gang(), 2_000)
        seen = gangs.wires[HOME].seen
        await until(lambda: seen['ReleaseGangPart'])
        await until(lambda: not gangs.holds_count())
        assert gangs.cell.executions() == 1
        await gangs.home.router.cancel(JobId('p3.other'), 2_000)
        await gangs.check_runs_once()


@pytest.mark.parametrize('partition_id', [HOME, THIRD])
async def test_gang_starts_anew_when_a_member_is_lost(partition_id):
    """Guards against members that run on without a lost one."""
    async with open_gang_cell() as gangs:
        await gangs.submit(make_gang())
        await gangs.check_runs_once()
        number = PARTITIONS.index(partition_id)
        gangs.cell.workers[number].model.restart()
        await gangs.until(
            lambda: attempts_of(gangs.cell.records()) == {1: 3, 2: 3}
        )
        await until(lambda: not gangs.holds_count())
        assert gangs.cell.running() == len(PARTITIONS)
        gangs.cell.check()


@pytest.mark.parametrize('partition_id', [HOME, THIRD])
async def test_worker_is_lost_while_it_is_held(partition_id):
    """Guards against a gang that waits for a part that never starts."""
    async with open_gang_cell() as gangs:
        wire = gangs.wires[HOME]
        wire.hold('CommitGangPart', partition_id)
        await gangs.submit(make_gang())
        await gangs.until(lambda: wire.held)
        await until(lambda: gangs.cell.running() == 2)
        before = gangs.incarnation_in(partition_id)
        number = PARTITIONS.index(partition_id)
        gangs.cell.workers[number].model.restart()
        await until(lambda: gangs.incarnation_in(partition_id) != before)
        wire.heal()
        await gangs.until(lambda: gangs.cell.executions() == 5)
        await gangs.until(lambda: gangs.cell.running() == 3)
        # The member that was only held starts with its first attempt.
        assert attempts_of(gangs.cell.records()) == {1: 3, 2: 2}
        await until(lambda: not gangs.holds_count())
        gangs.cell.check()
