"""What the attempts that may run use of their workspaces' limits.

The use is the sum of the charges of all allocations on targets, and of the
inherited attempts whose target has no entry yet. An allocation is kept until
the end of its attempt is known, so that unanswered starts, running stops and
unreachable targets count.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import WorkspaceName
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.spec import Amounts
from radishlift.steps.workspaces import NO_WORKSPACE

NO_AMOUNTS: Final = Amounts()


@dataclass(frozen=True, slots=True)
class Charge:
    """What one attempt uses of the limit of its workspace.

    `is_long_running` is whether it runs until it is stopped.
    """

    workspace: WorkspaceName = NO_WORKSPACE
    amounts: Amounts = Amounts()
    is_long_running: bool = False


NO_CHARGE = Charge()


def charge_of(job: JobRun, step: StepRun) -> Charge:
    """Returns what each attempt of a step uses.

    Tasks that use leftovers count in full, although they allocate no
    processor.
    """
    if not job.workspace:
        return NO_CHARGE
    return Charge(job.workspace, step.spec.amounts, step.spec.is_long_running)


class WorkspaceUse:
    """Sums of the charges by workspace."""

    def __init__(self) -> None:
        self._used: dict[WorkspaceName, Amounts] = {}
        self._long_running: dict[WorkspaceName, Amounts] = {}

    def __iter__(self) -> Iterator[WorkspaceName]:
        return iter(self._used)

    def used(self, workspace: WorkspaceName) -> Amounts:
        """Returns what the attempts of a workspace use."""
        return self._used.get(workspace, NO_AMOUNTS)

    def used_for_long(self, workspace: WorkspaceName) -> Amounts:
        """Returns what its attempts use that run until they are stopped."""
        return self._long_running.get(workspace, NO_AMOUNTS)

    def add(self, charge: Charge) -> None:
        """Adds the charge of an attempt that may run from now on."""
        self._change(charge, 1)

    def remove(self, charge: Charge) -> None:
        """Removes the charge of an attempt that has ended."""
        self._change(charge, -1)

    def _change(self, charge: Charge, count: int) -> None:
        if not charge.workspace:
            return
        _change(self._used, charge, count)
        if charge.is_long_running:
            _change(self._long_running, charge, count)


def _change(
    sums: dict[WorkspaceName, Amounts], charge: Charge, count: int
) -> None:
    total = sums.get(charge.workspace, NO_AMOUNTS).plus(charge.amounts, count)
    if total == NO_AMOUNTS:
        sums.pop(charge.workspace, None)
    else:
        sums[charge.workspace] = total


__all__ = ('NO_AMOUNTS', 'NO_CHARGE', 'Charge', 'WorkspaceUse', 'charge_of')
