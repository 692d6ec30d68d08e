"""Tests that a waiting step is reported with what it lacks."""

import pytest

from radishlift.steps.ids import TargetId
from radishlift.steps.runs import TaskState
from radishlift.steps.settings import StepSettings
from radishlift.steps.tickets import Ticket
from radishlift.steps.wait_reasons import WaitExplainer, WaitReason
from tests.only import only
from tests.steps.builders import ADVICE, job, step
from tests.steps.test_planner import PlannerSetup

NOW_MS = 5000


def explain_all(setup):
    setup.plan(now_ms=NOW_MS, wall_ms=NOW_MS)
    explainer = WaitExplainer(setup.planner, setup.tickets, StepSettings())
    return explainer.explain()


def explain(setup):
    return only(explain_all(setup))


def test_wait_without_targets_is_not_taken_for_a_lack_of_room():
    setup = PlannerSetup()
    setup.add(job(step(1)))
    assert explain(setup).reason is WaitReason.no_target


def test_wait_for_room_is_reported_with_the_suitable_targets():
    setup = PlannerSetup(1, 1)
    setup.add(job(step(1, cores=2)))
    waiting = explain(setup)
    assert waiting.reason is WaitReason.no_room
    assert (waiting.suitable_count, waiting.fitting_count) == (2, 0)


@pytest.mark.parametrize(
    ('expires_at_ms', 'reason'),
    [(None, WaitReason.no_advice), (0, WaitReason.no_ticket)],
)
def test_wait_for_advice_is_not_taken_for_a_lack_of_room(expires_at_ms, reason):
    setup = PlannerSetup(4)
    run = job(step(1), advice=ADVICE)
    setup.add(run)
    if expires_at_ms is not None:
        advice = setup.tickets.advice_for(run.steps[0, 0].key)
        advice.allowed[TargetId('t0')] = Ticket('t', expires_at_ms)
    assert explain(setup).reason is reason


def test_gang_with_a_running_member_is_reported_as_incomplete():
    setup = PlannerSetup(4)
    run = job(step(2, is_gang=True))
    run.steps[0, 0].tasks[0].state = TaskState.placed
    setup.add(run)
    assert explain(setup).reason is WaitReason.gang_incomplete


def test_step_that_has_just_become_due_is_not_reported():
    setup = PlannerSetup()
    setup.add(job(step(1), accepted_at_ms=NOW_MS - 100))
    assert not explain_all(setup)


def test_wait_of_a_step_behind_many_older_ones_is_explained():
    """Guards against tasks whose wait can't be explained from the log."""
    setup = PlannerSetup()
    names = 'abcdef'
    for name in names:
        setup.add(job(step(1), job_id=name * 16))
    settings = StepSettings(max_explained_count=1, max_repeated_count=2)
    explainer = WaitExplainer(setup.planner, setup.tickets, settings)
    explained = []
    for now_ms in range(NOW_MS, NOW_MS + 3000, 1000):
        setup.plan(now_ms=now_ms, wall_ms=now_ms)
        explained.extend(
            waiting.key.job_id[0] for waiting in explainer.explain()
        )
    assert sorted(explained[:3] + explained[4:6] + explained[7:]) == list(names)
    assert explained.count('a') == 3
