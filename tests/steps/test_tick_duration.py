"""Tests of the work of a tick for jobs of odd shapes."""

import gc
import time
from itertools import pairwise

import pytest

from radishlift.cell.settings import CellSettings
from radishlift.steps.gang_reservations import list_slots
from radishlift.steps.placing import place_tasks
from radishlift.steps.planner import Planner
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import Amounts, StepSpec
from radishlift.steps.targets import Target, TargetTable
from radishlift.steps.tickets import TicketTable
from tests.steps.builders import entry, job

NOW_MS = 1000
TARGETS_COUNT = 350
SETTINGS = CellSettings()
NOTHING = Amounts()
UNIT = Amounts(1)
LARGE = Amounts(3000, 100)


def make_planner(steps, *, is_suspect=False):
    targets = TargetTable()
    for number in range(TARGETS_COUNT):
        targets.update(entry(f't{number}'))
    planner = Planner(targets, TicketTable(), StepSettings())
    for number, spec in enumerate(steps):
        run = job(spec, job_id=f'{number:016x}')
        if is_suspect:
            for task in run.all_tasks():
                task.crashes_count = 1
        planner.update_job(run)
    return planner


def gang(amounts, count, **fields):
    return StepSpec(count, amounts, 500, is_gang=True, **fields)


SHAPES = {
    'gang_of_nothing': [gang(NOTHING, 400, max_per_target_count=1)],
    'gang_of_units': [gang(UNIT, 400, max_per_target_count=1)],
    'wide_gang': [gang(LARGE, 1000)],
    'wide_gang_of_nothing': [gang(NOTHING, 1000)],
    'wide_step': [StepSpec(1000, NOTHING, 500)],
    'wide_step_apart': [StepSpec(1000, NOTHING, 500, max_per_target_count=1)],
    'wide_step_without_room': [StepSpec(1000, Amounts(4001), 500)],
}


@pytest.fixture
def _frozen_heap():
    """Keeps the objects of earlier tests out of collections."""
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


@pytest.mark.usefixtures('_frozen_heap')
@pytest.mark.parametrize('is_suspect', [False, True])
@pytest.mark.parametrize('shape', SHAPES)
def test_step_does_not_keep_heartbeats_waiting(shape, is_suspect):
    """Guards against a leader that computes until others claim its lead."""
    planner = make_planner(SHAPES[shape] * 20, is_suspect=is_suspect)
    times_s = [time.process_time()]
    for _ in planner.plan_in_slices(NOW_MS, NOW_MS):
        times_s.append(time.process_time())
    longest_s = max(later - earlier for earlier, later in pairwise(times_s))
    assert longest_s * 1000 < SETTINGS.pulse_ms


@pytest.mark.parametrize('amounts', [NOTHING, UNIT])
def test_slots_do_not_grow_with_what_would_fit(amounts):
    """Guards against a million slots of a task that needs nothing."""
    target = Target(entry())
    slots = list_slots(target, amounts, NOW_MS, 48)
    assert [(found.at_ms, found.tasks_count) for found in slots] == [
        (NOW_MS, 48)
    ]


def test_each_task_ranks_one_target_again():
    """Guards against ranking all targets for each task of a step."""
    ranked = []
    targets = [Target(entry(f't{number}')) for number in range(100)]

    def capacity_of(target):
        ranked.append(target)
        return target.free_capacity

    run = job(StepSpec(200, NOTHING, 500))
    step = run.steps[0, 0]
    placements = place_tasks(step, step.tasks, targets, capacity_of)
    assert len(placements) == 200
    assert len(ranked) == len(targets)


def test_tick_plans_the_same_in_slices():
    """Guards against steps that are lost where a tick pauses."""
    whole = make_planner(SHAPES['wide_step'] * 3)
    sliced = make_planner(SHAPES['wide_step'] * 3)
    whole.plan(NOW_MS, NOW_MS)
    for tick in sliced.plan_in_slices(NOW_MS, NOW_MS):
        tick.resume(NOW_MS)
    assert [
        (placement.task.key, placement.target.entry.target_id)
        for _, placement in sliced.last_tick.plan.placements
    ] == [
        (placement.task.key, placement.target.entry.target_id)
        for _, placement in whole.last_tick.plan.placements
    ]


def test_steps_that_end_in_a_pause_are_not_planned():
    """Guards against starts of a job that was cancelled during a tick."""
    planner = make_planner(SHAPES['wide_step'] * 2)
    plan = planner.plan_in_slices(NOW_MS, NOW_MS)
    tick = next(plan)
    waiting = [run for run, _ in tick.due if run.steps[0, 0].waiting_tasks()]
    for run in waiting:
        run.state = type(run.state).cancelled
        planner.update_job(run)
    for tick in plan:
        tick.resume(NOW_MS)
    planned = [run for run, _ in tick.plan.placements]
    assert waiting
    assert not any(run in planned for run in waiting)
