"""Targets on which suspects are started.

A suspect may crash its target again. It starts on a target where no other start
is recent, and no other starts until the target has survived it, so that a crash
can be attributed. Tasks under which one target has crashed may share a trial.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from radishlift.steps.crashes import is_cleared, is_quiet
from radishlift.steps.ids import TargetId, TaskKey
from radishlift.steps.placing import Placement
from radishlift.steps.runs import JobRun, StepRun, TaskRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import Target, TargetTable


@dataclass(frozen=True, slots=True)
class _TriedAttempt:
    job: JobRun
    task: TaskRun
    attempt: int


@dataclass(slots=True)
class _Trial:
    target: Target
    tried: dict[TaskKey, _TriedAttempt] = field(default_factory=dict)
    is_shared: bool = True

    def remove_finished(self, settings: StepSettings) -> list[JobRun]:
        """Removes attempts that have ended or that the target survived.

        Returns the jobs of tasks that are no suspects any more.
        """
        cleared = []
        for key, tried in list(self.tried.items()):
            allocation = self.target.allocations.get(key)
            if allocation is None or allocation.attempt != tried.attempt:
                del self.tried[key]
            elif is_cleared(self.target, allocation, settings):
                del self.tried[key]
                tried.task.clear_crashes()
                cleared.append(tried.job)
        return cleared


class Trials:
    """The targets of running trials, and those reserved for the next ones.

    Reservations last for one tick; those of the last one are preferred.
    """

    def __init__(self, targets: TargetTable, settings: StepSettings) -> None:
        self._targets = targets
        self._settings = settings
        self._running: dict[TargetId, _Trial] = {}
        self._reserved: set[TargetId] = set()
        self._last_reserved: set[TargetId] = set()

    @property
    def closed(self) -> set[TargetId]:
        """Returns the targets on which only suspects may start."""
        return self._reserved | self._running.keys()

    @property
    def free_count(self) -> int:
        """Returns how many more targets trials may use."""
        share = self._settings.trial_share
        limit = max(1, int(len(self._targets) * share))
        return limit - len(self.closed)

    @property
    def gang_count(self) -> int:
        """Returns how many targets may be reserved for gangs."""
        return int(len(self._targets) * self._settings.reserved_share)

    @property
    def is_full(self) -> bool:
        """Returns whether no more suspects may start."""
        return self.free_count <= 0 and not any(
            self._has_room(trial) for trial in self._running.values()
        )

    @property
    def is_idle(self) -> bool:
        """Returns whether no target is used or reserved."""
        return not self._running and not self._reserved

    def begin(self) -> list[JobRun]:
        """Begins a tick: removes finished trials and all reservations.

        Returns the jobs of tasks that are no suspects any more.
        """
        cleared = []
        self._last_reserved = self._reserved
        self._reserved = set()
        for target_id, trial in list(self._running.items()):
            cleared.extend(trial.remove_finished(self._settings))
            if not trial.tried:
                del self._running[target_id]
        return cleared

    def finish(self) -> None:
        """Ends a tick: has the targets of trials polled more often."""
        closed = self.closed
        for target in self._targets:
            target.is_watched = target.entry.target_id in closed

    def find_shared(
        self, task: TaskRun, targets: Iterable[Target]
    ) -> Target | None:
        """Returns a target whose trial a task may join."""
        if not self._may_share(task):
            return None
        for target in targets:
            trial = self._running.get(target.entry.target_id)
            if trial is not None and self._has_room(trial):
                return target
        return None

    def reserve(self, targets: Iterable[Target]) -> None:
        """Keeps other starts off targets until the next tick."""
        self._reserved.update(target.entry.target_id for target in targets)

    def is_last_reserved(self, target: Target) -> bool:
        """Returns whether a target was reserved in the last tick."""
        return target.entry.target_id in self._last_reserved

    def is_ready(self, target: Target) -> bool:
        """Returns whether a trial may start on a target."""
        return is_quiet(target, self._settings)

    def record(
        self, job: JobRun, step: StepRun, placements: Iterable[Placement]
    ) -> None:
        """Records suspects that are placed."""
        for placement in placements:
            task = placement.task
            target_id = placement.target.entry.target_id
            self._reserved.discard(target_id)
            trial = self._running.setdefault(
                target_id, _Trial(placement.target)
            )
            trial.tried[task.key] = _TriedAttempt(job, task, task.attempt)
            if step.spec.is_gang or not self._may_share(task):
                trial.is_shared = False

    def _has_room(self, trial: _Trial) -> bool:
        max_count = self._settings.trial_group_count
        return trial.is_shared and len(trial.tried) < max_count

    def _may_share(self, task: TaskRun) -> bool:
        return task.crashes_count == 1


__all__ = ('Trials',)
