"""Workspaces that share the targets of a cell."""

from dataclasses import dataclass

from radishlift.core.ids import WorkspaceName
from radishlift.steps.spec import Amounts

NO_WORKSPACE = WorkspaceName('')
"""Workspace of jobs whose queue requires no key."""


@dataclass(frozen=True, slots=True)
class WorkspaceTerms:
    """Share and limit of a workspace.

    `weight` is its share of the room, relative to the others, while there is
    too little. `limit` is what its tasks may use at the same time on all
    targets; an amount of 0 is no limit.
    """

    name: WorkspaceName
    weight: float = 1
    limit: Amounts = Amounts()


__all__ = ('NO_WORKSPACE', 'WorkspaceTerms')
