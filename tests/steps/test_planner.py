"""Tests which tasks `Planner.plan` places, and where."""

from itertools import repeat

import pytest

from radishlift.steps.ids import TargetId
from radishlift.steps.planner import Planner
from radishlift.steps.runs import TaskState
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import AdviceTerms
from radishlift.steps.targets import TargetState, TargetTable
from radishlift.steps.tickets import Ticket, TicketTable
from tests.only import only
from tests.steps.builders import ADVICE, core, entry, job, key, step


class PlannerSetup:
    """A planner with targets of given numbers of cores."""

    def __init__(self, *cores: int, **settings) -> None:
        self.targets = TargetTable()
        for index, count in enumerate(cores):
            self.targets.update(entry(f't{index}', count))
        self.tickets = TicketTable()
        self.planner = Planner(
            self.targets, self.tickets, StepSettings(**settings)
        )

    def add(self, *jobs):
        for run in jobs:
            self.planner.update_job(run)

    def plan(self, now_ms=0, wall_ms=0):
        return self.planner.plan(now_ms, wall_ms)

    def started(self, **times):
        return [
            (run.spec.job_id[0], placement.task.key.number)
            for run, placement in self.plan(**times).placements
        ]


def test_urgent_queue_comes_first_when_capacity_is_scarce():
    setup = PlannerSetup(2)
    low = job(step(2), job_id='a' * 16, priority=2)
    urgent = job(step(1), job_id='b' * 16, priority=0)
    setup.add(low, urgent)
    assert setup.started() == [('b', 0), ('a', 0)]


def test_least_slack_comes_first_within_a_priority():
    setup = PlannerSetup(1)
    later = job(step(1), job_id='a' * 16, objective_ms=5000)
    sooner = job(step(1), job_id='b' * 16, objective_ms=500)
    setup.add(later, sooner)
    assert setup.started() == [('b', 0)]


def test_placed_tasks_hold_their_allocation():
    setup = PlannerSetup(2)
    setup.add(job(step(3)))
    assert len(setup.started()) == 2
    assert not setup.started()
    target = setup.targets.get(TargetId('t0'))
    assert target.release(key(0), 1)
    assert setup.started() == [('a', 2)]


@pytest.mark.parametrize(
    'change',
    [
        {'state': TargetState.draining},
        {'service': 'other'},
    ],
)
def test_no_task_goes_to_an_unsuitable_target(change):
    setup = PlannerSetup()
    setup.targets.update(entry('t0', 4, **change))
    setup.add(job())
    assert not setup.started()


@pytest.mark.parametrize(
    'field', ['is_listed', 'is_reachable', 'cooldown_until_ms']
)
def test_no_task_goes_to_an_unavailable_target(field):
    setup = PlannerSetup(4)
    value = 10 if field == 'cooldown_until_ms' else False
    setattr(setup.targets.get(TargetId('t0')), field, value)
    setup.add(job())
    assert not setup.started()


def test_label_is_required():
    setup = PlannerSetup(4)
    setup.add(job(step(1, required_label='gpu')))
    assert not setup.started()
    setup.targets.update(entry('t9', 4, labels=frozenset(('gpu',))))
    assert setup.started() == [('a', 0)]


def test_occurrence_waits_until_it_is_due():
    setup = PlannerSetup(4)
    run = job(accepted_at_ms=5000)
    setup.add(run)
    assert not setup.started(wall_ms=4999)
    assert setup.planner.next_due_ms(4999) == 5000
    assert setup.started(wall_ms=5000) == [('a', 0)]


def test_members_of_a_gang_share_an_attempt():
    setup = PlannerSetup(4)
    run = job(step(3, is_gang=True))
    run.find_task(key(1)).attempt = 4
    setup.add(run)
    setup.plan()
    assert {task.attempt for task in run.all_tasks()} == {5}


def test_waiting_gang_reserves_targets_against_a_stream_of_small_tasks():
    setup = PlannerSetup(4, 4, 4, reserved_share=0.4)
    gang = job(step(1, cores=4, is_gang=True), priority=1)
    for target in setup.targets:
        target.allocate(key(9, job_id='f' * 16), 1, step(1, cores=2).amounts)
    small = [
        job(step(1), job_id=f'{number:x}' * 16, priority=2)
        for number in range(11, 15)
    ]
    setup.add(gang, *small)
    setup.plan()
    used = sorted(target.used.cpu_millicores for target in setup.targets)
    # One target stays reserved until the gang fits on it.
    assert used == [2000, 4000, 4000]


def test_gang_too_large_for_all_targets_reserves_none():
    setup = PlannerSetup(2, 2)
    setup.add(
        job(step(9, is_gang=True), job_id='a' * 16, priority=0),
        job(step(4), job_id='b' * 16, priority=2),
    )
    assert len(setup.started()) == 4


def test_step_without_advice_requests_it_before_it_starts():
    setup = PlannerSetup(4, 4)
    run = job(step(1), advice=ADVICE)
    setup.add(run)
    plan = setup.plan()
    assert not plan.placements
    assert set(plan.advice_requests[0].target_ids) == {'t0', 't1'}
    assert not setup.plan().advice_requests
    tickets = [(TargetId('t1'), Ticket('x', 2000))]
    setup.tickets.store_answer(plan.advice_requests[0], tickets)
    _, placement = only(setup.plan().placements)
    assert placement.target.entry.target_id == 't1'


def test_advice_is_requested_on_targets_before_they_have_room():
    """Guards against room that stays idle until its ticket arrives."""
    setup = PlannerSetup(1, 1)
    fill(setup, 't0', cores=1)
    setup.add(job(step(2), advice=ADVICE))
    assert set(only(setup.plan().advice_requests).target_ids) == {'t0', 't1'}


def test_expired_ticket_is_requested_again_once_capacity_is_free():
    setup = PlannerSetup(1, 1)
    run = job(step(1), advice=ADVICE)
    setup.targets.get(TargetId('t0')).allocate(
        key(5, job_id='f' * 16), 1, step().amounts
    )
    setup.add(run)
    request = only(setup.plan().advice_requests)
    tickets = [(TargetId('t0'), Ticket('x', 1000))]
    setup.tickets.store_answer(request, tickets)
    assert not setup.plan(now_ms=3000).advice_requests
    setup.targets.get(TargetId('t0')).release(key(5, job_id='f' * 16), 1)
    request = only(setup.plan(now_ms=3000).advice_requests)
    assert request.target_ids == ('t0',)


def test_failed_request_is_repeated_after_a_pause():
    setup = PlannerSetup(1)
    run = job(step(1), advice=ADVICE)
    setup.add(run)
    request = only(setup.plan().advice_requests)
    setup.tickets.fail_request(request, retry_at_ms=300)
    assert not setup.plan(now_ms=299).advice_requests
    assert len(setup.plan(now_ms=300).advice_requests) == 1


def fill(setup, *target_ids, cores=4):
    """Fills targets with tasks of another job."""
    for number, target_id in enumerate(target_ids):
        setup.targets.get(TargetId(target_id)).allocate(
            key(number, job_id='f' * 16), 1, step(1, cores=cores).amounts
        )


def release(setup, *target_ids):
    """Ends the tasks that `fill` has added, in the same order."""
    for number, target_id in enumerate(target_ids):
        target = setup.targets.get(TargetId(target_id))
        assert target.release(key(number, job_id='f' * 16), 1)


def answer(setup, plan, allowed, expires_at_ms):
    """Answers all advice requests of a plan."""
    for request in plan.advice_requests:
        tickets = [
            (target_id, Ticket('x', expires_at_ms))
            for target_id in request.target_ids
            if target_id in allowed
        ]
        setup.tickets.store_answer(request, tickets)


def test_gang_requests_advice_on_all_targets_that_it_may_need_at_once():
    """Guards against tickets that expire while later requests are answered.

    A request of this queue names two targets.
    """
    setup = PlannerSetup(*repeat(4, 12), max_open_count=4)
    advice = AdviceTerms(decide_ms=100, per_target_ms=50, valid_ms=300)
    gang = job(step(6, cores=4, is_gang=True), advice=advice)
    setup.add(gang)
    plan = setup.plan()
    named = [request.target_ids for request in plan.advice_requests]
    assert [len(ids) for ids in named] == [2, 2, 2, 2]
    assert len({target_id for ids in named for target_id in ids}) == 8
    # Those targets are not enough, as half of them are probably not allowed.
    answer(setup, plan, named[0] + named[1], expires_at_ms=300)
    assert setup.plan().advice_requests


def test_gang_sends_one_request_while_others_wait():
    """Guards against gangs whose requests delay those of other steps."""
    setup = PlannerSetup(*repeat(4, 12))
    setup.planner.count_queued_requests = lambda: 1
    advice = AdviceTerms(decide_ms=100, per_target_ms=50, valid_ms=300)
    setup.add(job(step(6, cores=4, is_gang=True), advice=advice))
    assert len(setup.plan().advice_requests) == 1


def test_gang_requests_advice_on_few_targets_if_these_have_room():
    """Guards against requests on all targets of a large idle deployment."""
    setup = PlannerSetup(*repeat(64, 12))
    advice = AdviceTerms(decide_ms=100, per_target_ms=50, valid_ms=300)
    setup.add(job(step(6, is_gang=True), advice=advice))
    assert len(setup.plan().advice_requests) == 1


def test_waiting_gang_renews_its_tickets_before_they_expire():
    """Guards against a gang whose tickets have expired once it has room."""
    setup = PlannerSetup(4, 4, 4, 4, reserved_share=1)
    allowed = ('t0', 't1')
    gang = job(step(2, cores=4, is_gang=True), advice=ADVICE)
    setup.add(gang)
    fill(setup, 't0', 't1', 't2', 't3')
    answer(setup, setup.plan(), allowed, expires_at_ms=1000)
    for now_ms in range(0, 5000, 50):
        # Answers arrive at once here; they renew the tickets for a second.
        answer(setup, setup.plan(now_ms), allowed, now_ms + 1000)
    release(setup, 't0', 't1')
    placed = setup.plan(now_ms=5000).placements
    assert {one.target.entry.target_id for _, one in placed} == set(allowed)


def test_renewal_of_a_gang_names_all_targets_that_it_could_use():
    """Guards against tickets for targets that are taken before they arrive."""
    setup = PlannerSetup(4, 4, 4, reserved_share=1)
    gang = job(step(2, cores=2, is_gang=True), advice=ADVICE)
    setup.add(gang)
    fill(setup, 't0', 't1', 't2')
    answer(setup, setup.plan(), ('t0', 't1', 't2'), expires_at_ms=1000)
    release(setup, 't0')
    renewal = setup.plan(now_ms=3000)
    assert set(only(renewal.advice_requests).target_ids) == {'t0', 't1', 't2'}
    answer(setup, renewal, ('t0', 't1', 't2'), expires_at_ms=5000)
    fill(setup, 't0')
    setup.targets.get(TargetId('t2')).release(key(2, job_id='f' * 16), 1)
    placed = setup.plan(now_ms=3100).placements
    assert {one.target.entry.target_id for _, one in placed} == {'t2'}


def test_gang_that_may_not_reserve_renews_its_tickets_once_it_has_room():
    """Guards against a gang larger than all reservations that never starts."""
    setup = PlannerSetup(4, 4, reserved_share=0)
    gang = job(step(2, cores=4, is_gang=True), advice=ADVICE)
    setup.add(gang)
    fill(setup, 't0', 't1')
    answer(setup, setup.plan(), ('t0', 't1'), expires_at_ms=1000)
    assert not setup.plan(now_ms=5000).advice_requests
    release(setup, 't0', 't1')
    answer(setup, setup.plan(now_ms=6000), ('t0', 't1'), expires_at_ms=8000)
    assert len(setup.plan(now_ms=6100).placements) == 2


def test_urgent_task_avoids_targets_that_a_gang_has_reserved():
    """Guards against urgent tasks that keep a gang's targets in use."""
    setup = PlannerSetup(4, 4, 4, reserved_share=0.7)
    gang = job(step(2, cores=4, is_gang=True), job_id='a' * 16, priority=1)
    fill(setup, 't0', 't1', 't2', cores=2)
    # The third target has less free capacity, so that it is reserved last.
    fill_more = step(1, cores=1).amounts
    setup.targets.get(TargetId('t2')).allocate(
        key(9, job_id='e' * 16), 1, fill_more, 9000
    )
    setup.add(gang)
    assert not setup.plan().placements
    urgent = job(step(1, cores=1), job_id='b' * 16, priority=0)
    setup.add(urgent)
    _, placement = only(setup.plan().placements)
    assert placement.target.entry.target_id == 't2'
    more = job(step(1, cores=2), job_id='c' * 16, priority=0)
    setup.add(more)
    # Only reserved targets have room for this one.
    _, placement = only(setup.plan().placements)
    assert placement.target.entry.target_id in {'t0', 't1'}


def test_tasks_that_end_in_time_use_targets_reserved_for_a_gang():
    """Guards against targets that stay empty until a gang can start."""
    setup = PlannerSetup(4, 4, reserved_share=1)
    gang = job(step(2, cores=4, is_gang=True), job_id='a' * 16, priority=1)
    for name, end_ms in (('t0', 500), ('t1', 5000)):
        setup.targets.get(TargetId(name)).allocate(
            key(0, job_id='f' * 16), 1, step(1, cores=4).amounts, end_ms
        )
    setup.add(gang)
    setup.plan()
    setup.targets.get(TargetId('t0')).release(key(0, job_id='f' * 16), 1)
    short = job(step(1, estimate_ms=3000), job_id='b' * 16, priority=2)
    long = job(step(1, estimate_ms=6000), job_id='c' * 16, priority=2)
    setup.add(long, short)
    assert setup.started(now_ms=500) == [('b', 0)]


def wait_for_room(setup, cores):
    """Adds a gang that reserves room on t0, and t1 for when it is free."""
    for name, used_cores, end_ms in (('t0', 2, 20_000), ('t1', 8, 9000)):
        setup.targets.get(TargetId(name)).allocate(
            key(8, job_id='e' * 16),
            1,
            step(1, cores=used_cores).amounts,
            end_ms,
        )
    gang = job(step(2, cores=cores, is_gang=True), job_id='a' * 16, priority=1)
    setup.add(gang)
    assert not setup.plan().placements


@pytest.mark.parametrize('is_gang', [True, False])
def test_room_beside_that_of_a_waiting_gang_is_not_idle(is_gang):
    """Guards against whole targets that are kept for a part of their room."""
    setup = PlannerSetup(8, 8, reserved_share=1)
    wait_for_room(setup, cores=4)
    other = step(2, cores=1, is_gang=is_gang, estimate_ms=20_000)
    setup.add(job(other, job_id='b' * 16, priority=2))
    assert setup.started() == [('b', 0), ('b', 1)]


def test_room_of_a_waiting_gang_is_not_used_by_long_tasks():
    setup = PlannerSetup(8, 8, reserved_share=1)
    wait_for_room(setup, cores=4)
    setup.add(
        job(step(5, estimate_ms=20_000), job_id='b' * 16, priority=2),
        job(
            step(3, is_gang=True, estimate_ms=20_000),
            job_id='c' * 16,
            priority=2,
        ),
    )
    assert setup.started() == [('b', 0), ('b', 1)]
    setup.targets.get(TargetId('t1')).release(key(8, job_id='e' * 16), 1)
    assert setup.started()[:2] == [('a', 0), ('a', 1)]


def test_ended_job_starts_nothing():
    setup = PlannerSetup(4)
    run = job()
    setup.add(run)
    run.state = type(run.state).cancelled
    setup.add(run)
    assert not setup.started()
    assert run.find_task(key()).state is TaskState.waiting


def test_target_that_shrank_below_its_tasks_gets_no_start_until_enough_ended():
    setup = PlannerSetup(4)
    setup.add(job(step(4)), job(step(4), job_id='b' * 16))
    assert len(setup.started()) == 4
    target = setup.targets.update(entry('t0', 2))
    for number in range(2):
        assert setup.started() == []
        target.release(key(number), 1)
    assert setup.started() == []
    target.release(key(2), 1)
    assert len(setup.started()) == 1


def test_target_that_grew_again_is_used_up_to_its_capacity():
    setup = PlannerSetup(4)
    setup.add(job(step(4)), job(step(4), job_id='b' * 16))
    setup.started()
    target = setup.targets.update(entry('t0', 1))
    for number in range(3):
        target.release(key(number), 1)
    assert setup.started() == []
    setup.targets.update(entry('t0', 4))
    assert len(setup.started()) == 3


def test_gang_is_not_placed_on_a_target_that_shrank_below_its_tasks():
    setup = PlannerSetup(4)
    setup.add(job(step(3)))
    assert len(setup.started()) == 3
    setup.targets.update(entry('t0', 2))
    setup.add(job(step(1, is_gang=True), job_id='b' * 16))
    assert setup.started() == []


@pytest.mark.parametrize('full_count', [2, 3])
def test_first_advice_request_names_full_targets_too(full_count):
    """Guards against long requests about the few targets with room.

    The advice stays valid, and room on the others comes while it is awaited.
    """
    setup = PlannerSetup(4, 4, 4)
    for index in range(full_count):
        target = setup.targets.get(TargetId(f't{index}'))
        target.allocate(key(index, job_id='b' * 16), 1, core(4))
    setup.add(job(advice=ADVICE))
    request = only(setup.plan().advice_requests)
    assert set(request.target_ids) == {'t0', 't1', 't2'}
