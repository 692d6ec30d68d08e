"""Tests of the targets that steps prefer by speed."""

import pytest

from radishlift.steps.planner import Planner
from radishlift.steps.settings import StepSettings
from radishlift.steps.speeds import SpeedTable
from radishlift.steps.targets import TargetTable
from radishlift.steps.tickets import TicketTable
from tests.steps.builders import ADVICE, entry, job, step

URGENT = {'stretch': 1.5, 'objective_ms': 250}
PATIENT = {'stretch': 4, 'objective_ms': 3000}


class KnownSpeeds(SpeedTable):
    """Factors of targets by their id."""

    def __init__(self, factors):
        super().__init__()
        self.factors = factors

    def refresh(self, entries, now_ms):
        return {
            target.target_id: self.factors.get(target.target_id, 1)
            for target in entries
        }


def build_planner(factors, cores=4, **settings):
    """Returns a planner with the targets t0 to t4."""
    targets = TargetTable()
    for number in range(5):
        targets.update(entry(f't{number}', cores=cores))
    planner = Planner(targets, TicketTable(), StepSettings(**settings))
    planner.use_speeds(KnownSpeeds(factors))
    return planner


def placed_targets(planner, run, wall_ms=0):
    planner.update_job(run)
    plan = planner.plan(wall_ms, wall_ms)
    return [
        placement.target.entry.target_id for _, placement in plan.placements
    ]


@pytest.mark.parametrize('is_gang', [False, True])
def test_only_tight_steps_use_fast_targets(is_gang):
    """Guards against patient work that takes the targets of tight work."""
    for number in range(5):
        planner = build_planner({f't{number}': 0.5})
        urgent = job(step(2, is_gang=is_gang), **URGENT)
        assert placed_targets(planner, urgent) == [
            f't{number}',
            f't{number}',
        ]
        planner = build_planner({f't{number}': 0.5})
        patient = job(step(2, is_gang=is_gang), **PATIENT)
        assert f't{number}' not in placed_targets(planner, patient)


def test_expected_ends_follow_the_slowest_member_of_a_gang():
    """Guards against gangs that reserve targets too early."""
    planner = build_planner({'t0': 0.5, 't1': 2})
    planner.update_job(job(step(20, is_gang=True), **URGENT))
    plan = planner.plan(0, 0)
    ends_ms = {
        allocation.expected_end_ms
        for _, placement in plan.placements
        for allocation in placement.target.allocations.values()
    }
    assert ends_ms == {2000}


def test_patient_steps_use_fast_targets_once_no_others_have_room():
    planner = build_planner({'t0': 0.5, 't3': 0.5})
    placed = placed_targets(planner, job(step(20), **PATIENT))
    assert len(placed) == 20
    assert set(placed[-8:]) == {'t0', 't3'}


def test_patient_steps_become_tight_while_they_wait():
    planner = build_planner({'t3': 0.5})
    waited_ms = 5500
    assert placed_targets(planner, job(**PATIENT), waited_ms) == ['t3']


def test_late_steps_leave_fast_targets_to_steps_that_may_be_in_time():
    planner = build_planner({'t0': 0.5})
    assert placed_targets(planner, job(**URGENT), 1500) != ['t0']


def test_patient_steps_avoid_targets_on_which_they_would_be_late():
    """Guards against best fit on a target that has turned very slow."""
    planner = build_planner({'t0': 9})
    planner.plan(0, 0)
    assert 't0' not in placed_targets(planner, job(step(16), **PATIENT))


@pytest.mark.parametrize('terms', [URGENT, PATIENT])
def test_small_differences_change_nothing(terms):
    """Guards against another order where targets are about equally fast."""
    uneven = build_planner({'t0': 1.2, 't1': 0.9, 't4': 0.8})
    run = job(step(7), **terms)
    uniform = placed_targets(build_planner({}), job(step(7), **terms))
    assert placed_targets(uneven, run) == uniform


def test_advice_of_tight_steps_is_requested_on_fast_targets():
    """Guards against tickets on other targets only.

    The service takes long for each target, so that a request names few.
    """
    fast = {'t1': 0.5, 't4': 0.5}
    for terms, is_fast in ((URGENT, True), (PATIENT, False)):
        planner = build_planner(fast, max_asked_count=2)
        planner.update_job(job(step(2), advice=ADVICE, **terms))
        request = planner.plan(0, 0).advice_requests[0]
        assert (set(request.target_ids) == fast.keys()) == is_fast
        assert is_fast or not fast.keys() & set(request.target_ids)


def test_a_failed_task_goes_elsewhere():
    """Guards against retries on a target that fails what it starts."""
    planner = build_planner({})
    run = job()
    first = placed_targets(planner, run)
    planner = build_planner({})
    run = job()
    run.steps[0, 0].tasks[0].failed_target_id = first[0]
    assert placed_targets(planner, run) != first
