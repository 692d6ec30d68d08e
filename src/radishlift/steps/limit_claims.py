"""Claims of waiting steps on the limit of their workspace.

A step that can't run on any targets claims nothing: the other steps of its
workspace would wait for it for ever. A claim ends if the step has not started
when it should have: its tickets, or the ends of others, may never come.
"""

from radishlift.core.ids import WorkspaceName
from radishlift.steps.claim_turns import ClaimTurns
from radishlift.steps.ids import StepKey
from radishlift.steps.limits import WorkspaceLimits
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import TargetTable
from radishlift.steps.tickets import TicketTable
from radishlift.steps.ticks import Tick

_Ends = list[tuple[int, Amounts]]


class LimitClaims:
    """Keeps limits for waiting steps that accepting targets may run."""

    def __init__(
        self,
        limits: WorkspaceLimits,
        targets: TargetTable,
        tickets: TicketTable,
        settings: StepSettings,
    ) -> None:
        self._limits = limits
        self._targets = targets
        self._tickets = tickets
        self._turns = ClaimTurns(settings)
        self._ends: dict[WorkspaceName, _Ends] = {}
        self._ends_at_ms: int | None = None

    def hold_until_room(self, tick: Tick, job: JobRun, step: StepRun) -> None:
        """Holds the limit for a step that waits for it.

        That is a gang, or a task that exceeds the limit.
        """

        def claim() -> int | None:
            if not self._may_run(tick, job, step):
                return None
            starts_at_ms = self._room_at_ms(tick, job, step)
            may_claim = self._turns.may_claim(
                step.key, starts_at_ms, tick.now_ms, waits_for_ends=True
            )
            return starts_at_ms if may_claim else None

        if step.spec.is_gang or self._limits.is_oversized(job, step):
            self._limits.hold(job, step, claim)

    def hold(
        self, tick: Tick, job: JobRun, step: StepRun, starts_at_ms: int
    ) -> None:
        """Holds the limit for a gang that will probably start at a time."""

        def claim() -> int | None:
            may_claim = self._turns.may_claim(
                step.key, starts_at_ms, tick.now_ms
            )
            return starts_at_ms if may_claim else None

        self._limits.hold(job, step, claim)

    def forget(self, key: StepKey) -> None:
        """Removes the claim of a step that waits no longer."""
        self._turns.forget(key)

    def may_request(
        self, tick: Tick, job: JobRun, step: StepRun, count: int
    ) -> bool:
        """Returns whether a step may request advice, and reserves the limit."""
        if not job.workspace:
            return True
        return self._may_run(tick, job, step) and self._limits.may_request(
            job, step, count
        )

    def _room_at_ms(self, tick: Tick, job: JobRun, step: StepRun) -> int:
        """Returns when the limit will probably have room for a step.

        A task above the limit needs all of it. What others hold is not
        considered.
        """
        workspace = job.workspace
        used = self._limits.use.used(workspace)
        needed = Amounts().plus(step.spec.amounts, len(step.tasks))
        limit = self._limits.limit_of(workspace)
        if self._limits.is_oversized(job, step):
            needed = limit
        room = limit.plus(used, -1)
        room_at_ms = tick.now_ms
        for end_ms, amounts in self._list_ends(tick, workspace):
            if needed.fits_in(room):
                break
            room = room.plus(amounts)
            room_at_ms = end_ms
        return room_at_ms

    def _list_ends(self, tick: Tick, workspace: WorkspaceName) -> _Ends:
        """Lists when attempts of a workspace probably end, first ones first."""
        if self._ends_at_ms != tick.now_ms:
            self._ends_at_ms = tick.now_ms
            self._ends = {}
            for target in self._targets:
                for allocation in target.allocations.values():
                    charge = allocation.charge
                    if charge.workspace and not charge.is_long_running:
                        # One that runs longer than expected may end any time.
                        end_ms = max(tick.now_ms, allocation.expected_end_ms)
                        ends = self._ends.setdefault(charge.workspace, [])
                        ends.append((end_ms, charge.amounts))
            for ends in self._ends.values():
                ends.sort()
        return self._ends.get(workspace, [])

    def _may_run(self, tick: Tick, job: JobRun, step: StepRun) -> bool:
        """Returns whether targets that may allow a step fit it once empty.

        They must fit all members of a gang.
        """
        advice = self._tickets.advice_for(step.key)
        refused = advice.requested - advice.allowed.keys() - advice.open
        missing_count = len(step.tasks) if step.spec.is_gang else 1
        max_count = step.spec.max_per_target_count or missing_count
        amounts = step.spec.allocated_amounts
        for target in tick.suitable_targets(job, step):
            if target.entry.target_id not in refused:
                fitting_count = amounts.count_fitting(target.entry.capacity)
                missing_count -= min(max_count, fitting_count)
            if missing_count <= 0:
                return True
        return False


__all__ = ('LimitClaims',)
