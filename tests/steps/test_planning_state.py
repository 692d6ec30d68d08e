"""Tests that a summary tells idle reservations from a lack of tickets."""

from radishlift.core.ids import WorkspaceName
from radishlift.steps.ids import TargetId
from radishlift.steps.planning_state import summarize_tick
from radishlift.steps.ranking import rank_step
from radishlift.steps.settings import StepSettings
from radishlift.steps.tickets import Ticket
from radishlift.steps.workspace_use import Charge
from tests.steps.builders import (
    ADVICE,
    core,
    job,
    key,
    step,
    workspace_terms,
)
from tests.steps.test_planner import PlannerSetup

NOW_MS = 5000


def summarize(setup):
    setup.plan(now_ms=NOW_MS, wall_ms=NOW_MS)
    return summarize_tick(
        setup.planner.last_tick,
        setup.tickets,
        setup.planner.limits,
        StepSettings(),
    )


def test_room_kept_for_a_gang_is_not_taken_for_used_room():
    setup = PlannerSetup(4, 4, reserved_share=1)
    setup.targets.get(TargetId('t0')).allocate(
        key(job_id='b' * 16), 1, core(2), NOW_MS + 1000
    )
    setup.add(job(step(2, cores=3, is_gang=True)))
    state = summarize(setup)
    assert (state.waiting_count, state.overdue_count) == (1, 1)
    assert (state.reserved_count, state.reserved_idle_percent) == (2, 62)
    assert state.used_cpu_percent == 25


def test_tickets_that_expire_unused_are_not_counted_as_used():
    setup = PlannerSetup(1, 1)
    run = job(step(1), advice=ADVICE)
    setup.add(run)
    request = setup.plan().advice_requests[0]
    expires_at_ms = NOW_MS + 1000
    setup.tickets.store_answer(
        request,
        [
            (target_id, Ticket('t', expires_at_ms))
            for target_id in request.target_ids
        ],
    )
    state = summarize(setup)
    assert (state.granted_count, state.used_count) == (2, 1)


def test_answers_after_which_nothing_starts_are_not_counted_as_used():
    """Guards against a service that is busy with requests of no use."""
    setup = PlannerSetup(1)
    for name in 'ab':
        setup.add(job(step(1), job_id=name * 16, advice=ADVICE))
    for request in setup.plan().advice_requests:
        tickets = [(TargetId('t0'), Ticket('t', NOW_MS + 1000))]
        setup.tickets.store_answer(request, tickets)
    state = summarize(setup)
    assert (state.answers_count, state.used_answers_count) == (2, 1)
    assert state.answers_ms == 2 * (ADVICE.decide_ms + ADVICE.per_target_ms)


def test_step_behind_held_limits_is_told_from_one_at_a_limit():
    """Guards against a limit that nobody uses and the log can't explain."""
    setup = PlannerSetup(2, 2, 2, reserved_share=1)
    for number, name in enumerate(('t0', 't1')):
        setup.targets.get(TargetId(name)).allocate(
            key(number, job_id='f' * 16),
            1,
            core(2),
            charge=Charge(WorkspaceName('w'), core(number)),
        )
    setup.planner.ranking = rank_step
    setup.planner.limits.update_terms(workspace_terms('w', 4), ())
    for name, spec in (
        ('a', step(3, is_gang=True)),
        ('b', step(1)),
        ('c', step(2, cores=2, is_gang=True)),
    ):
        later_ms = 9000 + ord(name)
        setup.add(
            job(spec, job_id=name * 16, workspace='w', objective_ms=later_ms)
        )
    state = summarize(setup)
    assert (state.limited_count, state.held_back_count) == (2, 1)
