"""Tests that a summary tells idle reservations from a lack of tickets."""

from radishlift.steps.ids import TargetId
from radishlift.steps.planning_state import summarize_tick
from radishlift.steps.settings import StepSettings
from radishlift.steps.tickets import Ticket
from tests.steps.builders import ADVICE, core, job, key, step
from tests.steps.test_planner import PlannerSetup

NOW_MS = 5000


def summarize(setup):
    setup.plan(now_ms=NOW_MS, wall_ms=NOW_MS)
    return summarize_tick(
        setup.planner.last_tick, setup.tickets, StepSettings()
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
