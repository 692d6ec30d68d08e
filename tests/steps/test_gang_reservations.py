"""Tests which targets are reserved for waiting gangs."""

import pytest

from radishlift.steps.gang_reservations import (
    GangReservations,
    Reservation,
    choose_gang_targets,
)
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import Target
from tests.steps.builders import entry, job, key, step


def make_targets(*expected_ends_ms):
    """Makes targets of 4 cores, each with a task that ends at a time."""
    targets = {}
    for number, expected_end_ms in enumerate(expected_ends_ms):
        target = Target(entry(f't{number}', 4))
        target.allocate(
            key(number, job_id='f' * 16),
            1,
            step(1, cores=4).amounts,
            expected_end_ms,
        )
        targets[target.entry.target_id] = target
    return targets


def make_gang(tasks_count, cores=4):
    run = job(step(tasks_count, cores=cores, is_gang=True))
    return run.steps[0, 0]


def reserved_ids(reservations, gang, targets, now_ms):
    return reservations.choose(gang, targets, now_ms).target_ids


def test_targets_that_probably_have_room_first_are_chosen():
    """Guards against targets that stay in use long after others are empty."""
    targets = make_targets(9000, 2000, 5000, 1000)
    assert choose_gang_targets(make_gang(2), targets, 0) == Reservation(
        ('t3', 't1'), (1, 1), 2000
    )


def test_free_capacity_counts_before_expected_ends():
    targets = make_targets(1000, 1000)
    free = Target(entry('t9', 4))
    targets[free.entry.target_id] = free
    assert choose_gang_targets(make_gang(1), targets, 0) == Reservation(
        ('t9',), (1,), 0
    )


def test_target_counts_for_as_many_members_as_fit_on_it_empty():
    targets = make_targets(1000, 2000, 3000)
    reservation = choose_gang_targets(make_gang(3, cores=2), targets, 0)
    assert reservation == Reservation(('t0', 't1'), (2, 1), 2000)


@pytest.mark.parametrize('cores', [4, 5])
def test_gang_that_does_not_fit_on_empty_targets_gets_none(cores):
    """Guards against reservations for a gang that can't start."""
    targets = make_targets(1000, 2000)
    assert not choose_gang_targets(make_gang(3, cores=cores), targets, 0)


def test_reservation_is_kept_for_some_time():
    """Guards against reservations that change before targets are empty."""
    reservations = GangReservations(StepSettings(reservation_ms=200))
    gang = make_gang(1)
    targets = make_targets(3000, 5000)
    assert reserved_ids(reservations, gang, targets, 0) == ('t0',)
    targets['t1'].release(key(1, job_id='f' * 16), 1)
    assert reserved_ids(reservations, gang, targets, 199) == ('t0',)
    assert reserved_ids(reservations, gang, targets, 200) == ('t1',)


def test_lost_target_is_replaced_at_once():
    """Guards against a gang that waits for a target that is gone."""
    reservations = GangReservations(StepSettings())
    gang = make_gang(1)
    targets = make_targets(3000, 5000)
    assert reserved_ids(reservations, gang, targets, 0) == ('t0',)
    del targets['t0']
    assert reserved_ids(reservations, gang, targets, 1) == ('t1',)
