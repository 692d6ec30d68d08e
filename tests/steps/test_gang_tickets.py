"""Tests that gangs get tickets for room beside that of other gangs."""

from radishlift.steps.spec import AdviceTerms
from tests.steps.builders import ADVICE, job, step
from tests.steps.test_planner import PlannerSetup, answer, wait_for_room


def test_gang_gets_tickets_for_room_beside_that_of_another_gang():
    """Guards against a gang whose targets are all reserved, but not full."""
    setup = PlannerSetup(8, 8, reserved_share=1)
    other = step(2, cores=1, is_gang=True, estimate_ms=20_000)
    gang = job(other, job_id='b' * 16, priority=2, advice=ADVICE)
    setup.add(gang)
    answer(setup, setup.plan(), ('t0', 't1'), expires_at_ms=1)
    wait_for_room(setup, cores=4)
    for now_ms in range(1000, 5000, 100):
        setup.plan(now_ms=now_ms)
    assert setup.tickets.advice_for(gang.steps[0, 0].key).open_requests_count


def test_gang_whose_reserved_room_is_free_gets_its_tickets_first():
    """Guards against room that is idle while a request waits for a host."""
    setup = PlannerSetup(4, 4, 4, 4, reserved_share=1)
    gang = job(step(2, cores=4, is_gang=True), advice=ADVICE, priority=2)
    earlier = job(step(1), job_id='b' * 16, advice=ADVICE, priority=1)
    setup.add(gang)
    answer(setup, setup.plan(), ('t0', 't1'), expires_at_ms=0)
    setup.add(earlier)
    setup.plan()
    ranks = setup.planner.last_tick.request_ranks
    assert ranks[gang.steps[0, 0].key] < ranks[earlier.steps[0, 0].key]


def test_gang_renews_its_tickets_while_requests_of_others_wait():
    """Guards against a gang that starves until the backlog of advice ends."""
    setup = PlannerSetup(4, 4, reserved_share=0)
    setup.planner.count_queued_requests = lambda: 100
    setup.add(job(step(2, cores=4, is_gang=True), advice=ADVICE))
    answer(setup, setup.plan(), ('t0', 't1'), expires_at_ms=1000)
    renewals = [
        request
        for now_ms in range(3000, 30_000, 100)
        for request in setup.plan(now_ms=now_ms).advice_requests
    ]
    assert renewals


def test_gang_with_a_limit_per_target_gets_tickets_for_enough_targets():
    """Guards against tickets for one target of which only one may be used."""
    setup = PlannerSetup(8, 8, reserved_share=1)
    advice = AdviceTerms(decide_ms=50, per_target_ms=20, valid_ms=2000)
    gang = step(2, cores=2, is_gang=True, max_per_target_count=1)
    setup.add(job(gang, advice=advice))
    answer(setup, setup.plan(), ('t0', 't1'), expires_at_ms=1)
    renewals = setup.plan(now_ms=1000).advice_requests
    named = {name for request in renewals for name in request.target_ids}
    assert named == {'t0', 't1'}
