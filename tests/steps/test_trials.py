"""Tests on which targets suspects start, and what starts beside them."""

import pytest

from radishlift.core.ids import ServiceName
from radishlift.steps.ids import TargetId
from radishlift.steps.tickets import Ticket
from tests.only import only
from tests.steps.builders import ADVICE, entry, job, key, step
from tests.steps.test_planner import PlannerSetup


def suspect(*steps, crashes_count=1, **fields):
    """Returns a job of which task 0 is a suspect."""
    run = job(*steps, **fields)
    run.find_task(key(job_id=run.spec.job_id)).crashes_count = crashes_count
    return run


class TrialSetup(PlannerSetup):
    """A planner whose targets can answer."""

    def target(self, index=0):
        return self.targets.get(TargetId(f't{index}'))

    def send(self, now_ms):
        """Sends all planned starts."""
        for target in self.targets:
            for task_key, allocation in target.allocations.items():
                if allocation.sent_at_ms is None:
                    target.record_start(task_key, allocation.attempt, now_ms)

    def answer(self, sent_at_ms):
        for target in self.targets:
            target.record_answer(sent_at_ms)

    def placed(self, **times):
        return {
            (run.spec.job_id[0], placement.task.key.number): (
                placement.target.entry.target_id
            )
            for run, placement in self.plan(**times).placements
        }


def test_suspect_starts_on_a_target_without_other_starts():
    setup = TrialSetup(4)
    setup.add(job(job_id='b' * 16))
    assert setup.placed() == {('b', 0): 't0'}
    setup.send(0)
    setup.add(suspect())
    setup.answer(299)
    assert not setup.placed(now_ms=299)
    setup.answer(300)
    assert setup.placed(now_ms=310) == {('a', 0): 't0'}


def test_nothing_starts_beside_a_suspect_until_the_target_survived_it():
    setup = TrialSetup(4)
    run = suspect()
    setup.add(run)
    assert setup.placed() == {('a', 0): 't0'}
    setup.send(10)
    setup.add(job(job_id='b' * 16))
    setup.answer(309)
    assert not setup.placed(now_ms=400)
    setup.answer(310)
    assert setup.placed(now_ms=401) == {('b', 0): 't0'}
    assert run.find_task(key()).crashes_count == 0


def test_trial_takes_the_target_with_the_least_work():
    setup = TrialSetup(4, 4, 4)
    for index, cores in ((0, 2), (1, 1), (2, 3)):
        setup.target(index).allocate(
            key(index, job_id='d' * 16), 1, step(cores=cores).amounts
        )
    setup.send(0)
    setup.answer(300)
    setup.add(suspect())
    assert setup.placed(now_ms=310) == {('a', 0): 't1'}


def test_suspect_is_not_tried_on_a_target_that_may_crash_without_it():
    setup = TrialSetup(4, 4)
    setup.target(1).allocate(key(job_id='d' * 16), 1, step(cores=3).amounts)
    setup.send(0)
    setup.answer(300)
    setup.target().record_restart()
    setup.add(suspect())
    assert setup.placed(now_ms=310) == {('a', 0): 't1'}


@pytest.mark.parametrize(('crashes_count', 'started'), [(1, 4), (2, 1)])
def test_tasks_that_crashed_several_targets_start_alone(crashes_count, started):
    setup = TrialSetup(8)
    for name in 'abcdef':
        setup.add(suspect(job_id=name * 16, crashes_count=crashes_count))
    assert len(setup.placed()) == started


def test_trials_use_their_share_of_the_targets_at_most():
    setup = TrialSetup(*(4 for _ in range(8)))
    for name in 'abcde':
        setup.add(suspect(job_id=name * 16, crashes_count=2))
    assert len(set(setup.placed().values())) == 2


def test_other_tasks_of_the_step_are_placed_beside_trials():
    setup = TrialSetup(4, 4)
    setup.add(suspect(step(3)))
    placed = setup.placed()
    assert len(placed) == 3
    assert placed['a', 1] == placed['a', 2]
    assert placed['a', 0] != placed['a', 1]


def test_suspects_are_not_starved_by_a_backlog():
    setup = TrialSetup(2)
    setup.add(job(step(2), job_id='b' * 16))
    setup.placed()
    setup.send(0)
    setup.answer(400)
    setup.add(suspect(priority=3), job(step(9), job_id='c' * 16))
    assert not setup.placed(now_ms=410)
    setup.target().release(key(0, job_id='b' * 16), 1)
    assert setup.placed(now_ms=420) == {('a', 0): 't0'}


def test_suspect_without_room_does_not_hold_up_others():
    setup = TrialSetup(2, 4)
    setup.target(0).allocate(key(9, job_id='d' * 16), 1, step().amounts)
    setup.target(1).allocate(key(8, job_id='d' * 16), 1, step(cores=3).amounts)
    setup.send(0)
    setup.answer(400)
    wide = suspect(step(cores=4))
    setup.add(wide, suspect(job_id='b' * 16, priority=2))
    assert setup.placed(now_ms=410) == {('b', 0): 't0'}


def test_suspect_needs_a_ticket_for_its_target():
    setup = TrialSetup(4)
    run = suspect(advice=ADVICE)
    setup.add(run)
    plan = setup.plan()
    assert not plan.placements
    request = only(plan.advice_requests)
    ticket = TargetId('t0'), Ticket('x', 2000)
    setup.tickets.store_answer(request, [ticket])
    assert setup.placed() == {('a', 0): 't0'}


def test_expired_ticket_of_a_suspect_is_renewed():
    setup = TrialSetup(4)
    run = suspect(advice=ADVICE)
    setup.add(run)
    request = only(setup.plan().advice_requests)
    setup.tickets.store_answer(request, [(TargetId('t0'), Ticket('x', 100))])
    renewal = only(setup.plan(now_ms=200).advice_requests)
    assert renewal.target_ids == (TargetId('t0'),)


def test_gang_with_a_suspect_starts_on_targets_of_its_own():
    setup = TrialSetup(2, 2, 4)
    setup.add(job(step(cores=1), job_id='b' * 16))
    assert set(setup.placed().values()) == {'t0'}
    setup.send(0)
    gang = suspect(step(6, is_gang=True))
    setup.add(gang, job(step(3), job_id='c' * 16))
    placed = setup.placed(now_ms=10)
    gang_targets = {
        target for (name, _), target in placed.items() if name == 'a'
    }
    assert gang_targets == {'t1', 't2'}
    assert placed['c', 0] == 't0'


def test_wide_gang_is_not_starved_by_other_trials():
    setup = TrialSetup(2, 2, 2, 2)
    setup.add(suspect(job_id='b' * 16, crashes_count=2))
    setup.placed()
    setup.send(0)
    setup.add(
        suspect(step(6, is_gang=True)),
        suspect(job_id='c' * 16, priority=2, crashes_count=2),
    )
    assert not setup.placed(now_ms=10)
    setup.answer(300)
    assert len(setup.placed(now_ms=310)) == 6


def test_gang_that_needs_all_targets_is_not_starved_by_other_trials():
    setup = TrialSetup(*(1 for _ in range(8)))
    setup.add(suspect(job_id='b' * 16, crashes_count=2))
    setup.placed()
    setup.send(0)
    setup.add(
        suspect(step(8, is_gang=True)),
        suspect(job_id='c' * 16, priority=2, crashes_count=2),
    )
    assert not setup.placed(now_ms=150)
    setup.answer(300)
    setup.target().release(key(job_id='b' * 16), 1)
    assert len(setup.placed(now_ms=310)) == 8


def test_wide_gang_is_not_starved_by_a_backlog_of_small_tasks():
    setup = TrialSetup(*(2 for _ in range(10)))
    setup.add(job(step(300), job_id='b' * 16, priority=2))
    setup.placed()
    setup.send(0)
    gang = suspect(step(6, is_gang=True))
    setup.add(gang)
    placed = {}
    # Each small task runs for 1 s, and one target becomes free every 100 ms.
    for now_ms in range(100, 5000, 100):
        target = setup.target(now_ms // 100 % 10)
        for task_key, allocation in list(target.allocations.items()):
            target.release(task_key, allocation.attempt)
        setup.answer(now_ms)
        placed = setup.placed(now_ms=now_ms)
        setup.send(now_ms)
        if ('a', 0) in placed:
            break
    assert ('a', 0) in placed


def test_gang_that_waits_for_room_does_not_delay_other_trials():
    setup = TrialSetup(2, 2, *(1 for _ in range(6)))
    for index in range(2):
        setup.target(index).allocate(
            key(index, job_id='d' * 16), 1, step().amounts, 60_000
        )
    setup.send(0)
    setup.answer(300)
    setup.add(
        suspect(step(2, cores=2, is_gang=True)),
        suspect(job_id='b' * 16, priority=2),
    )
    assert set(setup.placed(now_ms=310)) == {('b', 0)}


def test_trials_use_suitable_targets_only():
    setup = TrialSetup(4)
    setup.targets.update(entry('t0', service=ServiceName('other')))
    setup.add(suspect())
    assert not setup.placed()


def test_trials_keep_the_limit_of_tasks_per_target():
    setup = TrialSetup(8)
    run = job(step(4, max_per_target_count=2))
    for task in run.all_tasks():
        task.crashes_count = 1
    setup.add(run)
    assert len(setup.placed()) == 2
