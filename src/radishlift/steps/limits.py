"""How many tasks a workspace may start without exceeding its limit.

Steps are asked in the order of their rank. A gang that will probably start soon
holds the limit back from lower-ranked steps of its workspace, so that a stream
of smaller tasks can't starve it. Tasks that end before it starts may use it.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Final

from radishlift.core.ids import WorkspaceName
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.spec import Amounts, JobSpec, StepSpec
from radishlift.steps.workspace_use import NO_AMOUNTS, WorkspaceUse
from radishlift.steps.workspaces import WorkspaceTerms

_NO_LIMIT: Final = 1 << 60
_DESCRIBED_COUNT: Final = 3
_UNLIMITED: Final = Amounts(_NO_LIMIT, _NO_LIMIT, _NO_LIMIT)

Claim = Callable[[], int | None]
"""Returns when a step will probably start, None if it may hold nothing.

Times are monotonic milliseconds.
"""


class WorkspaceLimits:
    """Limits of workspaces, and what their use leaves of them in a tick.

    `terms` are those of the latest configuration and those last known of
    workspaces that were removed from it. A workspace whose terms this leader
    never knew was removed before its term, and has no limit. `is_known` is
    whether a configuration was applied.
    """

    def __init__(self, use: WorkspaceUse) -> None:
        self.use = use
        self.terms: Mapping[WorkspaceName, WorkspaceTerms] = {}
        self.is_known = False
        self._limits: dict[WorkspaceName, Amounts] = {}
        self._held: dict[WorkspaceName, Amounts] = {}
        # The parts of what is held, and when their steps will probably start.
        self._holds: dict[WorkspaceName, list[tuple[int, Amounts]]] = {}
        self._now_ms = 0
        self._requested: dict[WorkspaceName, Amounts] = {}
        # The use and what was held when the room was computed, and the room.
        self._rooms: dict[WorkspaceName, tuple[Amounts, Amounts, Amounts]] = {}

    def update_terms(
        self,
        terms: Mapping[WorkspaceName, WorkspaceTerms],
        in_use: Collection[WorkspaceName],
    ) -> None:
        """Applies a configuration; `in_use` are workspaces with open jobs."""
        kept = {*self.use, *in_use}
        removed = {
            name: former for name, former in self.terms.items() if name in kept
        }
        self.terms = {**removed, **terms}
        self._limits = {
            name: _effective_limit(latest)
            for name, latest in self.terms.items()
        }
        self._rooms.clear()
        self.is_known = True

    def begin_tick(self, now_ms: int) -> None:
        """Forgets what steps have held back or requested in the last tick."""
        self._now_ms = now_ms
        self._held.clear()
        self._holds.clear()
        self._requested.clear()

    def count_startable(self, job: JobRun, step: StepRun, count: int) -> int:
        """Returns how many of the waiting tasks of a step may start.

        For a gang, this is all or none.
        """
        if not job.workspace or not count:
            return count
        if not self.is_known:
            return 0
        fitting = step.spec.amounts.count_fitting(self._room(job, step))
        if fitting >= count:
            return count
        if self.is_oversized(job, step) and self._may_run_alone(job, step):
            return count if step.spec.is_gang else 1
        return 0 if step.spec.is_gang else max(0, fitting)

    def may_request(self, job: JobRun, step: StepRun, count: int) -> bool:
        """Returns whether a step may start soon after it gets advice.

        This reserves the limit for its request: lower-ranked steps that
        could not start beside it request no advice in this tick.
        """
        if not job.workspace:
            return True
        requested = self._requested.get(job.workspace, Amounts())
        room = self._room(job, step).plus(requested, -1)
        is_first = job.workspace not in self._requested
        if not is_first and step.spec.amounts.count_fitting(room) <= 0:
            return False
        self._requested[job.workspace] = requested.plus(
            step.spec.amounts, count
        )
        return True

    def hold(self, job: JobRun, step: StepRun, claim: Claim) -> None:
        """Holds the limit for a waiting gang, or for a task that exceeds it.

        `claim` is called only if enough of the limit is left to hold. Nothing
        is held that tasks use which run until they are stopped: those that
        wait for it would wait for ever.
        """
        workspace = job.workspace
        if not workspace:
            return
        held = self._held.get(workspace, Amounts())
        added = Amounts()
        if self.is_oversized(job, step):
            if not _is_startable_alone(step, self.limit_of(workspace)):
                return
            added = self.limit_of(workspace).plus(held, -1)
        elif step.spec.is_gang:
            added = added.plus(step.spec.amounts, len(step.tasks))
        needed = held.plus(added)
        room = self.limit_of(workspace).plus(
            self.use.used_for_long(workspace), -1
        )
        starts_at_ms = claim() if needed.fits_in(room) else None
        if starts_at_ms is not None:
            self._held[workspace] = needed
            holds = self._holds.setdefault(workspace, [])
            holds.append((starts_at_ms, added))

    def may_still_start(self, job: JobRun, step: StepRun) -> bool:
        """Returns whether a planned start is still within the limit.

        Members of a gang start in any case, as the others wait for them.
        """
        if not job.workspace or step.spec.is_gang:
            return True
        used = self.use.used(job.workspace)
        is_alone = used == step.spec.amounts
        room = self.limit_of(job.workspace).plus(used, -1)
        # As in `count_startable`, only what the step uses must fit.
        return is_alone or step.spec.amounts.count_fitting(room) >= 0

    def use_percents(self, workspace: WorkspaceName) -> tuple[int, int]:
        """Returns how much of its limit a workspace uses, and what is held."""
        held = self._held.get(workspace, NO_AMOUNTS)
        used = self.use.used(workspace)
        return self._percent(workspace, used), self._percent(workspace, held)

    def is_oversized(self, job: JobRun, step: StepRun) -> bool:
        """Returns whether a task, or gang, needs more than the limit."""
        return not _unit_amounts(step.spec).fits_in(
            self.limit_of(job.workspace)
        )

    def is_held_back(self, job: JobRun, step: StepRun) -> bool:
        """Returns whether a step waits only for what is held for others."""
        count = len(step.tasks) if step.spec.is_gang else 1
        needed = NO_AMOUNTS.plus(step.spec.amounts, count)
        used = self.use.used(job.workspace)
        return needed.fits_in(self.limit_of(job.workspace).plus(used, -1))

    def describe_largest(self) -> str:
        """Describes the use of the workspaces that are nearest to a limit."""
        percents = [
            (self.use_percents(workspace)[0], workspace)
            for workspace in self.use
        ]
        percents.sort(reverse=True)
        return ','.join(
            f'{workspace}:{percent}%'
            for percent, workspace in percents[:_DESCRIBED_COUNT]
        )

    def limit_of(self, workspace: WorkspaceName) -> Amounts:
        """Returns the limit; amounts without one are very large."""
        return self._limits.get(workspace, _UNLIMITED)

    def _room(self, job: JobRun, step: StepRun) -> Amounts:
        workspace = job.workspace
        used = self.use.used(workspace)
        held = self._held_from(workspace, step)
        known = self._rooms.get(workspace)
        if known is not None and known[0] is used and known[1] is held:
            return known[2]
        room = self.limit_of(workspace).plus(used, -1).plus(held, -1)
        self._rooms[workspace] = used, held, room
        return room

    def _held_from(self, workspace: WorkspaceName, step: StepRun) -> Amounts:
        """Returns what is held back from a step.

        Parts for steps that start after it has probably ended are not. A run
        time of 0 is an unknown one.
        """
        held = self._held.get(workspace, NO_AMOUNTS)
        if held is NO_AMOUNTS or step.spec.is_long_running:
            return NO_AMOUNTS
        run_ms = step.spec.expected_run_ms
        if step.spec.is_gang or not run_ms:
            return held
        for starts_at_ms, amounts in self._holds[workspace]:
            if self._now_ms + run_ms < starts_at_ms:
                held = held.plus(amounts, -1)
        return held

    def _percent(self, workspace: WorkspaceName, part: Amounts) -> int:
        limit = self.limit_of(workspace)
        return max(
            100 * part.cpu_millicores // limit.cpu_millicores,
            100 * part.memory_mb // limit.memory_mb,
            100 * part.gpus_count // limit.gpus_count,
        )

    def _may_run_alone(self, job: JobRun, step: StepRun) -> bool:
        """Lets work end that was accepted before its limit was lowered."""
        is_alone = self.use.used(job.workspace) == Amounts()
        return is_alone and _is_startable_alone(
            step, self.limit_of(job.workspace)
        )


def find_oversized_step(
    spec: JobSpec, terms: WorkspaceTerms | None
) -> int | None:
    """Returns the number of a step that a limit never allows, if any."""
    if terms is None:
        return None
    limit = _effective_limit(terms)
    for number, step in enumerate(spec.steps):
        if not _unit_amounts(step).fits_in(limit):
            return number
    return None


def _unit_amounts(step: StepSpec) -> Amounts:
    """Returns what the tasks need that start together."""
    return Amounts().plus(step.amounts, step.tasks_count if step.is_gang else 1)


def _is_startable_alone(step: StepRun, limit: Amounts) -> bool:
    """Returns whether at most one task of a gang exceeds the limit."""
    if not step.spec.is_gang:
        return True
    others = Amounts().plus(step.spec.amounts, len(step.tasks) - 1)
    return others.fits_in(limit)


def _effective_limit(terms: WorkspaceTerms) -> Amounts:
    limit = terms.limit
    return Amounts(
        limit.cpu_millicores or _NO_LIMIT,
        limit.memory_mb or _NO_LIMIT,
        limit.gpus_count or _NO_LIMIT,
    )


__all__ = ('WorkspaceLimits', 'find_oversized_step')
