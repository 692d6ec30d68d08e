"""Tests that advice requests stay useful while they wait for a daemon."""

import gc

from radishlift.cell.pending_advice import PendingAdvice
from radishlift.core.clock import ManualClock
from radishlift.steps.ids import TargetId
from radishlift.steps.runs import JobState
from radishlift.steps.settings import StepSettings
from radishlift.steps.tickets import StepAdvice
from tests.only import only
from tests.steps.builders import ADVICE, core, job, key, step
from tests.steps.test_planner import PlannerSetup, answer
from tests.steps.test_trials import suspect


class QueueSetup(PlannerSetup):
    """A planner whose requests wait for a daemon."""

    def __init__(self, *cores, **settings):
        super().__init__(*cores, **settings)
        self.pending = PendingAdvice(
            self.planner,
            self.tickets,
            StepSettings(**settings),
            ManualClock(),
            lambda: None,
        )

    def queue(self, **times):
        plan = self.plan(**times)
        self.pending.add(plan.advice_requests)
        return plan

    def pop(self):
        return self.pending.pop(7, 0)


def count_advice():
    return sum(isinstance(one, StepAdvice) for one in gc.get_objects())


def test_room_reserved_for_a_later_gang_does_not_stop_an_urgent_request():
    """Guards against a step that starves behind a gang of a lower rank."""
    setup = QueueSetup(4, reserved_share=1)
    urgent = step(1, estimate_ms=20_000)
    setup.add(job(urgent, job_id='b' * 16, priority=1, advice=ADVICE))
    setup.targets.get(TargetId('t0')).allocate(
        key(8, job_id='e' * 16), 1, step(1, cores=2).amounts, 9000
    )
    gang = job(step(1, cores=4, is_gang=True), job_id='c' * 16, priority=2)
    setup.add(gang)
    plan = setup.queue()
    assert only(plan.advice_requests).target_ids == ('t0',)
    request = setup.pop()
    assert request is not None
    assert request.target_ids == ('t0',)


def test_target_closed_for_a_trial_does_not_stop_the_request_of_a_suspect():
    """Guards against a suspect that starves behind trials of others."""
    setup = QueueSetup(4, trial_share=1)
    other = suspect(job_id='b' * 16, priority=1)
    setup.add(other, suspect(priority=2, advice=ADVICE))
    plan = setup.queue()
    assert only(plan.advice_requests).target_ids == ('t0',)
    request = setup.pop()
    assert request is not None
    assert request.target_ids == ('t0',)


def test_advice_of_an_ended_step_is_not_kept_for_its_queued_request():
    """Guards against memory that grows with the jobs of a term."""
    gc.collect()
    before = count_advice()
    setup = QueueSetup(1)
    run = job(advice=ADVICE)
    setup.add(run)
    setup.queue()
    run.state = JobState.cancelled
    setup.planner.update_job(run)
    assert setup.pop() is None
    gc.collect()
    assert count_advice() == before


def test_renewal_follows_the_room_that_moved_while_it_waited():
    """Guards against tickets for targets that are full when they arrive."""
    setup = QueueSetup(1, 1)
    setup.add(job(advice=ADVICE))
    t0, t1 = setup.targets
    t0.allocate(key(8, job_id='f' * 16), 1, core())
    t1.allocate(key(9, job_id='f' * 16), 1, core())
    answer(setup, setup.plan(), ('t0', 't1'), expires_at_ms=1)
    t0.release(key(8, job_id='f' * 16), 1)
    plan = setup.queue(now_ms=3000)
    assert only(plan.advice_requests).target_ids == ('t0',)
    t0.allocate(key(8, job_id='f' * 16), 1, core())
    t1.release(key(9, job_id='f' * 16), 1)
    setup.queue(now_ms=3100)
    request = setup.pop() or only(setup.queue(now_ms=3200).advice_requests)
    assert 't1' in request.target_ids
