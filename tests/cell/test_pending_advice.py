"""Tests that pending advice requests follow the changes of targets."""

from heapq import heappop, heappush
from itertools import count, pairwise

import pytest

from radishlift.cell.pending_advice import PendingAdvice
from radishlift.cell.ports import AdviceAnswer
from radishlift.core.clock import ManualClock
from radishlift.steps.ids import TargetId
from radishlift.steps.planner import Planner
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import AdviceTerms
from radishlift.steps.targets import TargetTable
from radishlift.steps.tickets import TicketTable
from tests.steps.builders import ADVICE, core, entry, job, key, step

HOSTS_COUNT = 7
TICK_MS = 20
LONG_ADVICE = AdviceTerms(decide_ms=700, per_target_ms=8, valid_ms=1500)
GANG_COUNT = 100
GANG_CORES = 16
RUN_MS = 2000
# Bound of the users for a step that waits while most room is free.
MAX_IDLE_MS = 3000


class Leader:
    """A planner, its pending advice and a service with a host's limit."""

    def __init__(self, targets_count, cores=16):
        self.clock = ManualClock()
        self.targets = TargetTable()
        self.names = [f't{number:02}' for number in range(targets_count)]
        for name in self.names:
            self.targets.update(entry(name, cores)).is_reachable = False
        settings = StepSettings()
        tickets = TicketTable()
        self.planner = Planner(self.targets, tickets, settings)
        self.pending = PendingAdvice(
            self.planner, tickets, settings, self.clock, lambda: None
        )
        self.ends = []
        self._answers = []
        self._sequence = count()

    def reach(self, *names):
        for name in names:
            self.targets.get(TargetId(name)).is_reachable = True

    def plan(self):
        now_ms = self.clock.monotonic_ms()
        plan = self.planner.plan(now_ms, now_ms)
        self.pending.add(plan.advice_requests)
        return plan.placements

    def pop(self, long_count=0):
        return self.pending.pop(HOSTS_COUNT, long_count)

    def step(self):
        """Advances the time by a tick; returns the used percentage of cores."""
        self.clock.now_ms += TICK_MS
        now_ms = self.clock.monotonic_ms()
        while self.ends and self.ends[0][0] <= now_ms:
            _, _, placement = heappop(self.ends)
            task = placement.task
            placement.target.release(task.key, task.attempt)
        for _, placement in self.plan():
            end = now_ms + RUN_MS, next(self._sequence), placement
            heappush(self.ends, end)
        self._process_advice(now_ms)
        used = sum(target.used.cpu_millicores for target in self.targets)
        return 100 * used // (16_000 * len(self.names))

    def _process_advice(self, now_ms):
        while self._answers and self._answers[0][0] <= now_ms:
            _, _, request = heappop(self._answers)
            self.pending.store_answer(request, self._answer(request))
        while len(self._answers) < HOSTS_COUNT:
            request = self.pop(long_count=len(self._answers))
            if request is None:
                return
            answered_at_ms = now_ms + int(request.duration_ms)
            heappush(
                self._answers, (answered_at_ms, next(self._sequence), request)
            )

    def _answer(self, request):
        # Each second target in turn, from a start that depends on the step.
        offset = int(request.key.job_id, 16)
        tickets = tuple(
            (target_id, 'ticket')
            for target_id in request.target_ids
            if (int(target_id[1:]) + offset) % 2
        )
        return AdviceAnswer(tickets, LONG_ADVICE.valid_ms)


def waiting_gang(number=1):
    return job(
        step(2, cores=GANG_CORES // 2, is_gang=True, estimate_ms=RUN_MS),
        job_id=f'{number:016x}',
        advice=LONG_ADVICE,
    )


def test_room_is_not_idle_while_requests_from_before_targets_answered_wait():
    """Guards against a takeover after which all steps first ask about one.

    Only one target has answered when the new leader plans for the first time.
    """
    leader = Leader(24)
    for number in range(GANG_COUNT):
        leader.planner.update_job(waiting_gang(number))
    leader.reach('t00')
    leader.plan()
    leader.reach(*leader.names)
    idle_ms = 0
    while any(
        leader.planner.is_waiting(waiting_gang(number).steps[0, 0].key)
        for number in range(GANG_COUNT)
    ):
        idle_ms = idle_ms + TICK_MS if leader.step() < 50 else 0
        assert idle_ms <= MAX_IDLE_MS


def test_request_names_targets_that_answered_while_it_waited():
    leader = Leader(3)
    leader.planner.update_job(waiting_gang())
    leader.reach('t00')
    leader.plan()
    leader.reach('t01')
    leader.plan()
    assert set(leader.pop().target_ids) == {'t00', 't01'}


@pytest.mark.parametrize('field', ['is_listed', 'is_reachable'])
def test_request_does_not_name_targets_that_were_lost_while_it_waited(field):
    leader = Leader(2)
    leader.planner.update_job(waiting_gang())
    leader.reach('t00', 't01')
    leader.plan()
    setattr(leader.targets.get(TargetId('t00')), field, False)
    leader.plan()
    assert leader.pop().target_ids == ('t01',)


def test_request_without_remaining_targets_is_not_sent():
    """Guards against seconds of the service for targets that have crashed."""
    leader = Leader(1)
    leader.planner.update_job(waiting_gang())
    leader.reach('t00')
    leader.plan()
    leader.targets.remove(TargetId('t00'))
    assert leader.pop() is None
    leader.targets.update(entry('t00', 16))
    leader.plan()
    assert leader.pop().target_ids == ('t00',)


def test_renewal_names_the_targets_with_room_when_it_is_sent():
    """Guards against tickets for room that was taken while it waited."""
    leader = Leader(2, cores=1)
    leader.reach('t00', 't01')
    leader.planner.update_job(job(advice=LONG_ADVICE))
    leader.plan()
    request = leader.pop()
    tickets = tuple((target_id, 'old') for target_id in leader.names)
    leader.pending.store_answer(request, AdviceAnswer(tickets, 1500))
    leader.clock.now_ms += 1500
    other = key(job_id='b' * 16)
    first, second = (
        leader.targets.get(TargetId(name)) for name in leader.names
    )
    second.allocate(other, 1, core())
    leader.plan()
    second.release(other, 1)
    first.allocate(other, 1, core())
    leader.plan()
    assert leader.pop().target_ids == ('t01',)


def test_renewal_is_sent_although_no_target_has_room():
    """Guards against steps that lose their turn whenever it comes."""
    leader = Leader(1, cores=1)
    leader.reach('t00')
    leader.planner.update_job(job(advice=LONG_ADVICE))
    leader.plan()
    request = leader.pop()
    answer = AdviceAnswer((('t00', 'old'),), 1500)
    leader.pending.store_answer(request, answer)
    leader.clock.now_ms += 1500
    leader.plan()
    target = leader.targets.get(TargetId('t00'))
    target.allocate(key(job_id='b' * 16), 1, core())
    leader.plan()
    assert leader.pop().target_ids == ('t00',)


def test_step_past_its_use_gets_advice_after_those_that_can_be_in_time():
    """Guards against a backlog whose requests keep all daemons busy."""
    leader = Leader(3)
    leader.reach(*leader.names)
    late = job(job_id='1' * 16, priority=0, advice=ADVICE)
    leader.planner.update_job(late)
    leader.plan()
    leader.clock.now_ms += 50_000
    useful = job(
        job_id='2' * 16,
        priority=1,
        advice=ADVICE,
        objective_ms=5000,
        accepted_at_ms=leader.clock.monotonic_ms(),
    )
    leader.planner.update_job(useful)
    leader.plan()
    assert leader.pop().key.job_id == useful.spec.job_id
    assert leader.pop().key.job_id == late.spec.job_id


def test_requests_that_fail_again_and_again_leave_daemons_to_other_steps():
    """Guards against a step whose failing requests are always the next."""
    leader = Leader(3)
    leader.reach(*leader.names)
    leader.planner.update_job(job(advice=ADVICE))
    sent_at_ms = []
    for now_ms in range(0, 10_000, TICK_MS):
        leader.clock.now_ms = now_ms
        leader.plan()
        request = leader.pop()
        if request is not None:
            sent_at_ms.append(now_ms)
            leader.pending.retry_later(request)
    gaps_ms = [after - before for before, after in pairwise(sent_at_ms)]
    assert gaps_ms[:4] == [200, 400, 800, 1600]
    assert set(gaps_ms[4:]) == {1600}
