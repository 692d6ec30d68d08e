"""Tests of the selection of targets for one step."""

from radishlift.steps.ids import TargetId
from radishlift.steps.placing import place_step
from radishlift.steps.runs import TaskState
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import Target
from tests.steps.builders import entry, job, key, step


def targets(*cores: int, **fields) -> list[Target]:
    return [
        Target(entry(f't{index}', count, **fields))
        for index, count in enumerate(cores)
    ]


def target_ids(placements):
    return [placement.target.entry.target_id for placement in placements]


def test_task_goes_to_the_fitting_target_with_least_free_capacity():
    run = job(step(1, cores=2))
    assert target_ids(place_step(run.steps[0, 0], targets(8, 2, 4))) == ['t1']


def test_no_target_is_filled_beyond_its_capacity():
    run = job(step(7))
    placed = target_ids(place_step(run.steps[0, 0], targets(4, 2)))
    assert sorted(placed) == ['t0', 't0', 't0', 't0', 't1', 't1']


def test_memory_also_limits_placement():
    run = job(step(3))
    small = targets(8, capacity=Amounts(8000, 250))
    assert len(place_step(run.steps[0, 0], small)) == 2


def test_gang_is_placed_as_a_whole_or_not_at_all():
    run = job(step(5, is_gang=True))
    assert not place_step(run.steps[0, 0], targets(2, 2))
    assert len(place_step(run.steps[0, 0], targets(2, 3))) == 5


def test_gang_with_a_running_member_waits_for_its_end():
    run = job(step(2, is_gang=True))
    run.find_task(key(0)).state = TaskState.placed
    assert not place_step(run.steps[0, 0], targets(8))


def test_tasks_per_target_are_limited():
    run = job(step(4, max_per_target_count=1))
    run.find_task(key(3)).state = TaskState.placed
    run.find_task(key(3)).target_id = TargetId('t0')
    assert sorted(
        target_ids(place_step(run.steps[0, 0], targets(8, 8, 8)))
    ) == [
        't1',
        't2',
    ]


def test_rack_of_the_data_is_preferred():
    run = job(step(1, data_rack='r9'))
    near = Target(entry('near', 8, labels=frozenset(('r9',))))
    far = Target(entry('far', 2))
    assert target_ids(place_step(run.steps[0, 0], [far, near])) == ['near']


def test_gang_prefers_one_rack():
    run = job(step(3, is_gang=True, same_rack=True))
    mixed = [
        Target(entry('a', 2, labels=frozenset(('r1',)))),
        Target(entry('b', 4, labels=frozenset(('r2',)))),
    ]
    assert target_ids(place_step(run.steps[0, 0], mixed)) == ['b', 'b', 'b']


def test_task_on_leftovers_allocates_memory_only():
    run = job(step(9, cores=4, uses_leftovers=True))
    assert len(place_step(run.steps[0, 0], targets(1))) == 9
