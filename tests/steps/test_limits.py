"""Tests which starts the limit of a workspace allows."""

from dataclasses import replace

import pytest

from radishlift.steps.limits import find_oversized_step
from radishlift.steps.ranking import rank_step
from radishlift.steps.runs import TaskState
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import Amounts
from radishlift.steps.wait_reasons import WaitExplainer, WaitReason
from radishlift.steps.workspaces import WorkspaceTerms
from tests.only import only
from tests.steps.builders import ADVICE, job, key, step, workspace_terms
from tests.steps.test_planner import PlannerSetup, answer

# Longer than a step may claim a limit at first.
LONG_RUN_MS = 20_000


class LimitSetup(PlannerSetup):
    """A planner that knows the limit in cores of workspace `w`.

    Steps are ranked by their latest start, so that tests can choose the order.
    """

    def __init__(self, limit_cores, *cores, **settings) -> None:
        super().__init__(*cores, **settings)
        self.planner.ranking = rank_step
        self.limit(limit_cores)

    def limit(self, cores):
        terms = workspace_terms('w', cores)
        self.planner.limits.update_terms(terms, ('w',))

    def end(self, run, number=0):
        """Ends a placed task; it waits again unless its job has ended."""
        task = run.find_task(key(number, job_id=run.spec.job_id))
        target = self.targets.get(task.target_id)
        target.release(task.key, task.attempt)
        task.state = TaskState.waiting
        self.add(run)


def work(name, *steps, **fields):
    return job(*steps, job_id=name * 16, workspace='w', **fields)


def test_limit_holds_across_jobs_and_spares_others():
    setup = LimitSetup(3, 8, 8)
    setup.add(work('a', step(2)), work('b', step(2)), job(job_id='c' * 16))
    assert sorted(setup.started()) == [('a', 0), ('a', 1), ('b', 0), ('c', 0)]


def test_tasks_of_a_cancelled_job_count_until_they_have_ended():
    setup = LimitSetup(1, 8)
    first, second = work('a'), work('b')
    setup.add(first)
    assert setup.started()
    first.state = first.state.cancelled
    setup.add(first, second)
    assert not setup.started()
    setup.end(first)
    assert setup.started() == [('b', 0)]


def test_smaller_tasks_do_not_starve_a_gang_that_waits_for_the_limit():
    """Guards against a gang whose room within the limit is always taken."""
    setup = LimitSetup(4, 8)
    small, gang = work('a', step(2)), work('b', step(4, is_gang=True))
    setup.add(small)
    assert len(setup.started()) == 2
    later = work('c', step(1), objective_ms=9000)
    setup.add(gang, later)
    assert not setup.started()
    small.state = small.state.cancelled
    for number in range(2):
        setup.end(small, number)
    assert setup.started() == [('b', number) for number in range(4)]


def test_tasks_that_run_for_long_do_not_make_others_wait_for_a_gang():
    """Guards against a gang that waits for ever with the limit held."""
    setup = LimitSetup(4, 8)
    setup.add(work('a', step(1, is_long_running=True)))
    assert setup.started()
    setup.add(work('b', step(4, is_gang=True)))
    setup.add(work('c', step(1), objective_ms=9000))
    assert setup.started() == [('c', 0)]


def test_work_above_a_lowered_limit_runs_alone():
    """Guards against accepted work that never ends once a limit is lowered."""
    setup = LimitSetup(1, 16)
    running, large = work('a'), work('b', step(1, cores=3))
    setup.add(running)
    assert setup.started()
    setup.add(large)
    assert not setup.started()
    running.state = running.state.cancelled
    setup.end(running)
    assert setup.started() == [('b', 0)]


@pytest.mark.parametrize('crashes_count', [0, 1])
def test_nothing_starts_before_the_limits_are_known(crashes_count):
    """Guards against starts of a new leader without a configuration."""
    setup = PlannerSetup(8)
    run = work('a')
    run.find_task(key()).crashes_count = crashes_count
    setup.add(run)
    assert not setup.started()
    setup.planner.limits.update_terms(workspace_terms('w', 1), ('w',))
    assert setup.started() == [('a', 0)]


def test_removed_workspace_keeps_its_limit_for_its_jobs():
    setup = LimitSetup(1, 8)
    run = work('a', step(3))
    setup.planner.limits.update_terms({}, ('w',))
    setup.add(run)
    assert setup.started() == [('a', 0)]


def test_steps_at_the_limit_request_no_advice_and_say_why_they_wait():
    setup = LimitSetup(2, 8)
    setup.add(work('a', step(2)))
    setup.add(*(work(name, advice=ADVICE) for name in 'bcd'))
    assert not setup.plan().advice_requests
    explainer = WaitExplainer(
        setup.planner, setup.tickets, StepSettings(explain_after_ms=0)
    )
    reasons = {waiting.reason for waiting in explainer.explain()}
    assert reasons == {WaitReason.workspace_limit}
    assert setup.planner.limits.describe_largest() == 'w:100%'


def test_no_more_steps_request_advice_than_the_limit_allows():
    setup = LimitSetup(2, 8)
    setup.add(*(work(name, advice=ADVICE) for name in 'bcd'))
    assert len(setup.plan().advice_requests) == 2


@pytest.mark.parametrize(
    ('cores', 'oversized'),
    [
        (4, None),
        (3, 1),
        (1, 0),
        (0, None),
    ],
)
def test_step_that_never_fits_is_found(cores, oversized):
    run = job(step(9, cores=2), step(4, is_gang=True))
    terms = only(workspace_terms('w', cores).values())
    assert find_oversized_step(run.spec, terms) == oversized


@pytest.mark.parametrize('crashes_count', [0, 1])
@pytest.mark.parametrize('running_count', [0, 1])
def test_gang_without_targets_holds_no_limit(crashes_count, running_count):
    """Guards against a workspace that waits for a gang that can't start."""
    setup = LimitSetup(4, 8)
    setup.add(work('a', step(running_count)))
    assert len(setup.started()) == running_count
    gang = work('b', step(4, is_gang=True, required_label='none'))
    gang.find_task(key(job_id=gang.spec.job_id)).crashes_count = crashes_count
    setup.add(gang, work('c', step(1), objective_ms=9000))
    assert setup.started() == [('c', 0)]


def test_gang_without_advice_holds_no_limit():
    """Guards against a limit that nobody uses because a gang waits."""
    setup = LimitSetup(4, 8, 8, 8)
    gang = work('a', step(4, is_gang=True), advice=ADVICE)
    setup.add(gang, work('b', objective_ms=9000))
    assert setup.started() == [('b', 0)]


def test_work_above_a_lowered_limit_lets_shorter_tasks_pass():
    """Guards against a limit that stays unused until a long task ends."""
    setup = LimitSetup(9, 8, 8)
    long = work('a', step(1, estimate_ms=60_000))
    setup.add(long)
    assert setup.started() == [('a', 0)]
    setup.limit(4)
    setup.add(work('b', step(1, cores=5)), work('c', objective_ms=9000))
    assert setup.started() == [('c', 0)]


def test_gang_that_does_not_start_in_time_holds_no_limit():
    """Guards against a hold that outlives the chance to use it."""
    setup = LimitSetup(4, 8, 8)
    fields = {'advice': ADVICE, 'objective_ms': 8_000_000}
    setup.add(work('a', step(4, is_gang=True), **fields))
    answer(setup, setup.plan(), ('t0', 't1'), expires_at_ms=0)
    setup.add(work('b', objective_ms=9_000_000))
    assert not setup.started()
    waited_ms = 5000
    assert setup.started(now_ms=waited_ms, wall_ms=waited_ms) == [('b', 0)]


def test_work_above_a_lowered_limit_starts_despite_a_stream_of_long_tasks():
    """Guards against accepted work that starves as its claims end too soon."""
    setup = LimitSetup(4, 8, 8)
    running = []
    started = []
    for now_ms in range(0, 180_000, 500):
        while running and running[0][0] <= now_ms:
            _, run = running.pop(0)
            run.state = run.state.cancelled
            setup.end(run)
        later = job(
            step(1, estimate_ms=0),
            job_id=f'{now_ms:016x}',
            workspace='w',
            objective_ms=9_000_000,
        )
        setup.add(later)
        if now_ms == 12_000:
            setup.add(work('f', step(1, cores=5), objective_ms=8_000_000))
        for run, _ in setup.plan(now_ms, now_ms).placements:
            started.append(run.spec.job_id[0])
            running.append((now_ms + LONG_RUN_MS, run))
    assert 'f' in started


def test_step_without_targets_reserves_no_limit_for_advice():
    """Guards against steps that wait for advice that is never requested."""
    setup = LimitSetup(2, 8)
    hopeless = step(2, required_label='none')
    setup.add(
        work('b', hopeless, advice=ADVICE),
        work('c', step(1), objective_ms=9000, advice=ADVICE),
    )
    assert len(setup.plan().advice_requests) == 1


def test_start_may_ignore_limits_of_what_it_does_not_use():
    """Guards against starts that are planned and withdrawn for ever."""
    setup = LimitSetup(4, 8)
    setup.add(work('a'))
    assert setup.started()
    lowered = WorkspaceTerms('w', limit=Amounts(4000, 50))
    setup.planner.limits.update_terms({'w': lowered}, ('w',))
    run = work('b', replace(step(), amounts=Amounts(1000)))
    setup.add(run)
    assert setup.started() == [('b', 0)]
    limits = setup.planner.limits
    assert limits.may_still_start(run, run.steps[0, 0])
