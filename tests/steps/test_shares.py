"""Tests which workspaces get room while there is too little of it."""

import random

import pytest

from benchmarks.decision_model import (
    TICK_MS,
    DecisionModel,
    Deployment,
    JobKind,
)
from radishlift.steps.ranking import rank_step
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import AdviceTerms
from radishlift.steps.wait_reasons import WaitExplainer, WaitReason
from radishlift.steps.workspaces import NO_WORKSPACE
from tests.steps.builders import job, step, workspace_terms
from tests.steps.test_planner import PlannerSetup

NAMES = tuple(f'w{number}' for number in range(20))
HOT, HOT_WEIGHT = NAMES[0], 5
HOT_FACTOR = 9
BULK_RUN_MS = 1500


def kind(name, rate, cores, run_ms, priority):
    advice = AdviceTerms(10, 0, 2000)
    fields = {'memory_mb': 10, 'run_spread': 0}
    sizes = (1, 3, 6, 1000 * cores, run_ms)
    return JobKind(
        name, rate, 1, *sizes, 0, priority, 2, 500, advice, 1, **fields
    )


LOAD = Deployment(
    24,
    16_000,
    20,
    (kind('urgent', 30, 1, 800, 0), kind('bulk', 12, 4, BULK_RUN_MS, 2)),
    duration_ms=14_000,
    burst_from_ms=3000,
    burst_to_ms=11_000,
)


class WorkspaceModel(DecisionModel):
    """A load of 20 workspaces, of which the first is as large as five."""

    def __init__(self, seed, hot_factor=1, *, has_shares=True) -> None:
        super().__init__(LOAD, seed)
        self._has_shares = has_shares
        self._extra = hot_factor - 1
        self._owners = []
        self._drawn = random.Random(f'owners {seed}')
        self._hot_random = random.Random(f'hot {seed}')
        self._is_hot = False
        self._weights = [HOT_WEIGHT, *(1 for _ in NAMES[1:])]
        terms = {}
        for name, weight in zip(NAMES, self._weights, strict=True):
            # Twice the usual rate, which is 42 jobs a second of 24 parts.
            terms.update(workspace_terms(name, weight=weight * 84 / 24))
        self._planner.limits.update_terms(terms, ())

    def waits_of_others_ms(self):
        self.run()
        return sorted(
            self._started_at_ms[run.spec.job_id] - run.accepted_at_ms
            for run, owner in zip(self._jobs, self._owners, strict=True)
            if owner != HOT
        )

    def _add_arrivals(self, now_ms):
        super()._add_arrivals(now_ms)
        if not LOAD.burst_from_ms <= now_ms < LOAD.burst_to_ms:
            return
        usual = self._random
        self._random = self._hot_random
        self._is_hot = True
        for hot_kind in LOAD.kinds:
            share = HOT_WEIGHT / sum(self._weights) * TICK_MS / 1000
            expected_count = hot_kind.jobs_per_s * share * self._extra
            while self._random.random() < expected_count:
                self._add_job(hot_kind, now_ms)
                expected_count -= 1
        self._is_hot = False
        self._random = usual

    def _draw_workspace(self):
        owner = HOT
        if not self._is_hot:
            owner = self._drawn.choices(NAMES, self._weights)[0]
        self._owners.append(owner)
        return owner if self._has_shares else NO_WORKSPACE


def late_wait_ms(waits_ms):
    """Returns the wait that one job in twenty exceeds."""
    return waits_ms[len(waits_ms) * 19 // 20]


@pytest.mark.parametrize('seed', [1, 2])
def test_hot_workspace_delays_others_by_no_more_than_a_step(seed):
    """Guards against a workspace whose backlog makes all others late."""
    calm = late_wait_ms(WorkspaceModel(seed).waits_of_others_ms())
    hot = late_wait_ms(WorkspaceModel(seed, HOT_FACTOR).waits_of_others_ms())
    model = WorkspaceModel(seed, HOT_FACTOR, has_shares=False)
    unfair = late_wait_ms(model.waits_of_others_ms())
    assert hot <= calm + BULK_RUN_MS
    assert unfair > calm + BULK_RUN_MS


class ShareSetup(PlannerSetup):
    """A planner that knows workspaces `v` and `w` of equal weight.

    Steps are ranked by their latest start, so that tests can choose the order.
    """

    def __init__(self, *cores, weight=1) -> None:
        super().__init__(*cores)
        self.planner.ranking = rank_step
        terms = {
            **workspace_terms('v', weight=weight),
            **workspace_terms('w', weight=weight),
        }
        self.planner.limits.update_terms(terms, ())


def work(name, *steps, **fields):
    """Returns a job of the workspace that its name begins with."""
    job_id = name.ljust(16, '0')
    return job(*steps, job_id=job_id, workspace=name[0], **fields)


def test_workspace_above_its_share_comes_last_and_says_so():
    setup = ShareSetup(4, 4)
    setup.add(work('v0', step(5)))
    assert len(setup.started()) == 5
    setup.add(work('v1', step(3)), work('w1', step(3), priority=2))
    assert setup.started() == [('w', number) for number in range(3)]
    explainer = WaitExplainer(
        setup.planner, setup.tickets, StepSettings(explain_after_ms=0)
    )
    reasons = [waiting.reason for waiting in explainer.explain()]
    assert reasons == [WaitReason.workspace_share]


def test_share_that_nobody_needs_goes_to_others():
    setup = ShareSetup(12)
    setup.add(work('v0', step(6)))
    assert len(setup.started()) == 6
    setup.add(work('v1', step(5)), work('v2', step(9), objective_ms=99))
    setup.add(work('w0', step(1), priority=2))
    assert [name for name, _ in setup.started()] == list('vvvvvw')


def test_rank_decides_while_there_is_room_for_all():
    """Guards against bulk work of a small workspace before urgent tasks."""
    setup = ShareSetup(8)
    setup.add(work('w0', step(1), priority=2), work('v0', step(6)))
    assert setup.started()[0] == ('v', 0)


def test_gang_wider_than_its_share_starts():
    setup = ShareSetup(8)
    setup.add(work('v0', step(7, is_gang=True)), work('w0', step(4)))
    assert [name for name, _ in setup.started()] == list('vvvvvvvw')


def test_jobs_beyond_the_rate_come_last_for_the_next_leader_too():
    """Guards against a takeover after which a backlog counts as new."""
    arrivals = [
        (work(f'v{number}', accepted_at_ms=100 * number), number > 2)
        for number in range(9)
    ]
    other = work('w0', step(1), priority=2)
    for known in (arrivals, list(reversed(arrivals))):
        setup = ShareSetup(5, weight=3)
        for run, _ in known:
            run.is_beyond_rate = None
            setup.add(run)
        setup.add(other)
        setup.planner.shares.rates.rate_added()
        assert [run.is_beyond_rate for run, _ in arrivals] == [
            is_beyond for _, is_beyond in arrivals
        ]
    assert setup.started(now_ms=900, wall_ms=900)[3] == ('w', 0)
