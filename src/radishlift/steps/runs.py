"""Runtime state of jobs, steps and tasks."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique

from radishlift.core.ids import WorkspaceName
from radishlift.steps.chains import Chains, build_chains
from radishlift.steps.ids import StepKey, TargetId, TaskKey
from radishlift.steps.spec import JobSpec, QueueTerms, StepSpec
from radishlift.steps.workspaces import NO_WORKSPACE


@unique
class TaskState(Enum):
    """State of a task; the values are stored."""

    waiting = 'w'
    placed = 'p'
    done = 'd'


@unique
class JobState(Enum):
    """State of a job as shown to callers; the values are stored."""

    queued = 'queued'
    running = 'running'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


ENDED_STATES = frozenset(
    (JobState.completed, JobState.failed, JobState.cancelled)
)


@dataclass(slots=True)
class TaskRun:
    """A task and its latest attempt.

    `crashes_count` is how many targets have crashed in succession while they
    started the task, and `confirmed_crashes_count` during how many of these
    crashes the task is known to have run. `failed_target_id` is the target of
    the latest failed attempt; it is not stored.
    """

    key: TaskKey
    state: TaskState = TaskState.waiting
    attempt: int = 0
    failures_count: int = 0
    target_id: TargetId = TargetId('')
    checkpoint: str = ''
    crashes_count: int = 0
    confirmed_crashes_count: int = 0
    failed_target_id: TargetId = TargetId('')

    def clear_crashes(self) -> None:
        """Forgets crashes after the task has run without one."""
        self.crashes_count = 0
        self.confirmed_crashes_count = 0


@dataclass(slots=True)
class StepRun:
    """One occurrence of a step.

    `failed_attempt` is the latest failed attempt. It prevents a failure that
    several members of a gang report from being counted more than once.
    """

    key: StepKey
    spec: StepSpec
    due_at_ms: int
    tasks: list[TaskRun]
    unfinished_count: int = 0
    is_unblocked: bool = False
    failed_attempt: int = 0

    @property
    def is_done(self) -> bool:
        """Returns whether all tasks are done."""
        return self.unfinished_count == 0

    def waiting_tasks(self) -> list[TaskRun]:
        """Returns the tasks that wait for a target."""
        return [task for task in self.tasks if task.state is TaskState.waiting]

    def suspects(self) -> list[TaskRun]:
        """Returns the waiting tasks that may crash their target.

        If a member of a gang may, all members are returned.
        """
        if self._is_suspect_gang:
            return self.waiting_tasks()
        return [task for task in self.waiting_tasks() if task.crashes_count]

    def ordinary_tasks(self) -> list[TaskRun]:
        """Returns the waiting tasks that are not suspects."""
        if self._is_suspect_gang:
            return []
        return [task for task in self.waiting_tasks() if not task.crashes_count]

    def unit_of(self, task: TaskRun) -> list[TaskRun]:
        """Returns the tasks that start and end together with a task."""
        return self.tasks if self.spec.is_gang else [task]

    def finish(self, task: TaskRun) -> None:
        """Marks a task, or all members of its gang, as done."""
        for member in self.unit_of(task):
            if member.state is not TaskState.done:
                member.state = TaskState.done
                self.unfinished_count -= 1

    @property
    def _is_suspect_gang(self) -> bool:
        return self.spec.is_gang and any(
            task.crashes_count for task in self.tasks
        )


@dataclass(slots=True)
class JobRun:
    """A job, its terms and the runs of its steps.

    Times are Unix milliseconds. `committed_state` is the state in the store;
    callers must not see a state that is not committed. `reason` explains a
    failure that is not a failure of its tasks. `workspace` is empty if its
    queue required no key. `is_beyond_rate` is whether its workspace submitted
    more than its rate allows; None while that is unknown. `is_end_stored` is
    whether nothing but the end of the job is left to store.
    """

    spec: JobSpec
    terms: QueueTerms
    accepted_at_ms: int
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    state: JobState = JobState.queued
    committed_state: JobState = JobState.queued
    has_started: bool = False
    reason: str = ''
    workspace: WorkspaceName = NO_WORKSPACE
    is_beyond_rate: bool | None = None
    is_end_stored: bool = False
    _chains: Chains | None = None

    @property
    def chains(self) -> Chains:
        """Returns the estimated chains under the terms in force."""
        if self._chains is None or self._chains.terms is not self.terms:
            self._chains = build_chains(self.spec, self.terms)
        return self._chains

    @property
    def is_ended(self) -> bool:
        """Returns whether no more tasks of the job will start."""
        return self.state in ENDED_STATES

    def find_task(self, key: TaskKey) -> TaskRun | None:
        """Returns a task, or None if the job has no such task."""
        step = self.steps.get((key.step_key.occurrence, key.step_key.step))
        if step is None or key.number >= len(step.tasks):
            return None
        return step.tasks[key.number]

    def all_tasks(self) -> Iterator[TaskRun]:
        """Yields all tasks."""
        for step in self.steps.values():
            yield from step.tasks


def build_job(spec: JobSpec, terms: QueueTerms, accepted_at_ms: int) -> JobRun:
    """Creates the runtime state of a job that has not started."""
    job = JobRun(spec, terms, accepted_at_ms)
    for occurrence in range(max(spec.repeats_count, 1)):
        due_at_ms = accepted_at_ms
        if spec.repeats_count or spec.starts_at_ms:
            due_at_ms = spec.starts_at_ms + occurrence * spec.interval_ms
        for number, step in enumerate(spec.steps):
            key = StepKey(spec.job_id, occurrence, number)
            tasks = [
                TaskRun(TaskKey(key, index))
                for index in range(step.tasks_count)
            ]
            run = StepRun(key, step, due_at_ms, tasks, len(tasks))
            job.steps[occurrence, number] = run
    unblock_steps(job)
    return job


def unblock_steps(job: JobRun) -> None:
    """Unblocks steps whose dependencies are all done."""
    for (occurrence, _), step in job.steps.items():
        if not step.is_unblocked:
            step.is_unblocked = all(
                job.steps[occurrence, earlier].is_done
                for earlier in step.spec.depends_on
            )


__all__ = (
    'ENDED_STATES',
    'JobRun',
    'JobState',
    'StepRun',
    'TaskRun',
    'TaskState',
    'build_job',
    'unblock_steps',
)
