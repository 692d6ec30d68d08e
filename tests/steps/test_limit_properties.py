"""Drives random starts, ends, losses, takeovers and changes of limits."""

from dataclasses import dataclass
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from radishlift.cell.inherited_attempts import InheritedAttempts
from radishlift.cell.job_rows import dump_job, load_job
from radishlift.cell.job_table import JobTable
from radishlift.core.clock import BootClock
from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import TargetId
from radishlift.steps.planner import Planner
from radishlift.steps.progress import dump_progress, load_progress
from radishlift.steps.runs import JobState
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import TargetTable
from radishlift.steps.tickets import TicketTable
from tests.steps.builders import entry, job, step, workspace_terms

NAMES = ('w', 'x')
TARGETS = tuple(TargetId(f't{index}') for index in range(4))
LOST_ENDS = (EndKind.failed, EndKind.stopped, EndKind.broken)


@dataclass(frozen=True)
class Attempt:
    """An attempt that may run, counted independently of the leader."""

    workspace: str
    cores: int
    target_id: TargetId
    step_key: object
    is_gang: bool


class LimitMachine(RuleBasedStateMachine):
    """A leader's jobs and targets beside the attempts that may run."""

    @initialize(limit=st.integers(1, 6))
    def begin(self, limit):
        self.attempts = {}
        self.stored = {}
        self.limits = dict.fromkeys(NAMES, limit)
        self.terms = {}
        self.now_ms = 0
        self.take_over(frozenset())

    @rule(unlisted=st.frozensets(st.sampled_from(TARGETS), max_size=2))
    def take_over(self, unlisted):
        """A leader loads what is stored; some targets have no entry."""
        targets = TargetTable()
        planner = Planner(targets, TicketTable(), StepSettings())
        log = SimpleNamespace(enqueue=lambda run, _: self.store(run))
        self.jobs = JobTable(planner, log, BootClock())
        self.planner = planner
        self.targets = targets
        self.inherited = InheritedAttempts(
            self.jobs,
            SimpleNamespace(
                workspace_use=targets.workspace_use,
                find_target=targets.get,
                unrenewed_ms=dict,
            ),
            SimpleNamespace(end_orphan=self.end_orphan),
            SimpleNamespace(until_ms=lambda _: 0),
            BootClock(),
        )
        for row, progress in self.stored.values():
            run = load_job(row)
            load_progress(run, progress)
            self.jobs.add(run)
        self.inherited.collect()
        self.apply_limits()
        for target_id in TARGETS:
            if target_id not in unlisted:
                self.list_target(target_id)

    @rule(target_id=st.sampled_from(TARGETS))
    def list_target(self, target_id):
        self.targets.update(entry(target_id, 5))
        self.inherited.allocate(target_id)

    @rule(
        workspace=st.sampled_from(NAMES),
        count=st.integers(1, 4),
        cores=st.integers(1, 3),
        is_gang=st.booleans(),
        suspects=st.booleans(),
    )
    def submit(self, workspace, count, cores, is_gang, suspects):
        run = job(
            step(count, cores, is_gang=is_gang),
            job_id=f'{len(self.stored):016x}',
            workspace=workspace,
        )
        for task in run.all_tasks():
            task.crashes_count = int(suspects)
        self.store(run)
        self.jobs.add(run)

    @rule()
    def plan(self):
        self.now_ms += 1000
        before = {name: self.running_cores(name) for name in NAMES}
        placements = self.planner.plan(self.now_ms, self.now_ms).placements
        for run, placement in placements:
            task = placement.task
            amounts = run.spec.steps[0].amounts
            self.attempts[task.key, task.attempt] = Attempt(
                run.workspace,
                amounts.cpu_millicores // 1000,
                task.target_id,
                task.key.step_key,
                run.spec.steps[0].is_gang,
            )
            self.jobs.save(run)
        workspaces = {run.workspace for run, _ in placements}
        for name in workspaces:
            self.check(name, before[name])

    @precondition(lambda machine: machine.attempts)
    @rule(data=st.data(), kind=st.sampled_from((EndKind.done, *LOST_ENDS)))
    def end(self, data, kind):
        known = [
            pair
            for pair, attempt in self.attempts.items()
            if self.targets.get(attempt.target_id) is not None
        ]
        if not known:
            return
        ended = self.attempts[data.draw(st.sampled_from(sorted(known)))]
        # All members of a gang are done at the same time.
        is_whole = ended.is_gang and kind is EndKind.done
        pairs = [
            pair
            for pair, attempt in self.attempts.items()
            if attempt is ended
            or (is_whole and attempt.step_key == ended.step_key)
        ]
        for pair in pairs:
            self.end_attempt(*pair, kind)

    @rule(target_id=st.sampled_from(TARGETS), is_reachable=st.booleans())
    def change_reachability(self, target_id, is_reachable):
        target = self.targets.get(target_id)
        if target is not None:
            target.is_reachable = is_reachable

    @rule()
    def expire_inherited(self):
        self.inherited.end_expired(1)

    @precondition(lambda machine: machine.stored)
    @rule(data=st.data())
    def cancel(self, data):
        run = self.jobs.get(data.draw(st.sampled_from(sorted(self.stored))))
        if not run.is_ended:
            run.state = JobState.cancelled
            self.jobs.save(run)

    @rule(name=st.sampled_from(NAMES), limit=st.integers(0, 6))
    def change_limit(self, name, limit):
        self.limits[name] = limit
        self.apply_limits()

    def apply_limits(self):
        terms = {}
        for name, limit in self.limits.items():
            terms.update(workspace_terms(name, limit))
        self.planner.limits.update_terms(terms, NAMES)

    def store(self, run):
        row = dump_job(run.spec, run.terms, 0, run.workspace)
        self.stored[run.spec.job_id] = row, dump_progress(run)

    def end_orphan(self, key, attempt):
        self.end_attempt(key, attempt, EndKind.maybe_crashed)

    def end_attempt(self, key, attempt, kind):
        ended = self.attempts.pop((key, attempt), None)
        target = ended and self.targets.get(ended.target_id)
        if target is not None:
            target.release(key, attempt)
        run = self.jobs.get(key.step_key.job_id)
        apply_end(run, key, attempt, kind, '')
        self.jobs.save(run)

    def running_cores(self, name):
        return sum(
            attempt.cores
            for attempt in self.attempts.values()
            if attempt.workspace == name
        )

    def check(self, name, before):
        """Only work that is larger than the limit may start alone."""
        limit = self.limits[name] or 1000
        started = self.running_cores(name)
        if started > limit:
            running = [
                attempt
                for attempt in self.attempts.values()
                if attempt.workspace == name
            ]
            assert before == 0
            assert started - running[0].cores <= limit
            assert len({attempt.step_key for attempt in running}) == 1


LimitMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestLimits = LimitMachine.TestCase
