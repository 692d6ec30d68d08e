"""Order of waiting steps while workspaces need more room than there is.

Workspaces get room by weight: the dominant shares of their use are equal
relative to their weights, and what a workspace does not need goes to others
(dominant resource fairness). Steps beyond this share come after those of all
workspaces within theirs, and jobs beyond the rate of their workspace last.
Within these classes the order stays.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from typing import Final

from radishlift.core.ids import WorkspaceName
from radishlift.steps.arrival_rates import ArrivalRates
from radishlift.steps.ids import StepKey
from radishlift.steps.limits import WorkspaceLimits
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import Target
from radishlift.steps.workspaces import NO_WORKSPACE

_SEARCH_ROUNDS: Final = 10
_LEAST_WEIGHT: Final = 1e-6

DueSteps = list[tuple[JobRun, StepRun]]
Shares = tuple[float, float, float]
"""Parts of the processor, memory and GPU of all accepting targets."""


@dataclass(slots=True)
class _Claim:
    """What a workspace has and needs, and the dominant share it may have.

    `given` is what it uses and what earlier steps of the tick may use.
    """

    weight: float
    given: Shares
    needed: Shares
    allowed: float = inf


@dataclass(frozen=True, slots=True)
class OrderedSteps:
    """Due steps in their order, and those that come later than their rank."""

    due: DueSteps
    demoted: set[StepKey] = field(default_factory=set)


class WorkspaceShares:
    """Orders the due steps of a tick by the shares of their workspaces."""

    def __init__(self, limits: WorkspaceLimits) -> None:
        self._limits = limits
        self.rates = ArrivalRates(limits)

    def order(self, due: DueSteps, accepting: list[Target]) -> OrderedSteps:
        """Returns the due steps, those beyond a share last.

        `due` is in the order of its rank.
        """
        self.rates.rate_added()
        if len({job.workspace for job, _ in due}) < 2:
            return OrderedSteps(due)
        owed = [pair for pair in due if not pair[0].is_beyond_rate]
        beyond_rate = [pair for pair in due if pair[0].is_beyond_rate]
        beyond_share = self._list_beyond_share(owed, accepting)
        demoted = {step.key for _, step in (*beyond_share, *beyond_rate)}
        within = [pair for pair in owed if pair[1].key not in demoted]
        return OrderedSteps([*within, *beyond_share, *beyond_rate], demoted)

    def _list_beyond_share(
        self, owed: DueSteps, accepting: list[Target]
    ) -> DueSteps:
        capacity = _capacity(accepting)
        wanted = [
            _shares(step.spec.amounts, capacity, len(step.waiting_tasks()))
            for _, step in owed
        ]
        claims = self._collect_claims(owed, wanted, capacity)
        if not _allow_shares(claims.values()):
            return []
        beyond = []
        for pair, shares in zip(owed, wanted, strict=True):
            claim = claims.get(pair[0].workspace)
            if claim is None:
                continue
            # The last step within a share may exceed it, as a wide gang does.
            if max(claim.given) >= claim.allowed:
                beyond.append(pair)
            else:
                claim.given = _sum(claim.given, shares)
        return beyond

    def _collect_claims(
        self, owed: DueSteps, wanted: list[Shares], capacity: Amounts
    ) -> dict[WorkspaceName, _Claim]:
        names = {job.workspace for job, _ in owed}
        names.update(self._limits.use)
        names.discard(NO_WORKSPACE)
        claims = {name: self._new_claim(name, capacity) for name in names}
        for (job, _), shares in zip(owed, wanted, strict=True):
            claim = claims.get(job.workspace)
            if claim is not None:
                claim.needed = _sum(claim.needed, shares)
        for name, claim in claims.items():
            limit = _shares(self._limits.limit_of(name), capacity)
            claim.needed = _smaller(claim.needed, limit)
        return claims

    def _new_claim(self, name: WorkspaceName, capacity: Amounts) -> _Claim:
        terms = self._limits.terms.get(name)
        weight = 1 if terms is None else max(terms.weight, _LEAST_WEIGHT)
        used = _shares(self._limits.use.used(name), capacity)
        return _Claim(weight, used, used)


def _allow_shares(claims: Iterable[_Claim]) -> bool:
    """Sets the allowed shares; returns False if there is room for all."""
    needing = [claim for claim in claims if any(claim.needed)]
    if _fits(claim.needed for claim in needing):
        return False
    low: float = 0
    high = max(max(claim.needed) / claim.weight for claim in needing)
    for _ in range(_SEARCH_ROUNDS):
        level = (low + high) / 2
        is_possible = _fits(_needed_at(claim, level) for claim in needing)
        low, high = (level, high) if is_possible else (low, level)
    for claim in needing:
        if max(claim.needed) > low * claim.weight:
            claim.allowed = low * claim.weight
    return True


def _needed_at(claim: _Claim, level: float) -> Shares:
    """Returns what a workspace gets at a dominant share for each weight."""
    cpu, memory, gpus = claim.needed
    factor = min(1, level * claim.weight / max(claim.needed))
    return cpu * factor, memory * factor, gpus * factor


def _fits(needed: Iterable[Shares]) -> bool:
    return all(sum(parts) <= 1 for parts in zip(*needed, strict=True))


def _sum(first: Shares, second: Shares) -> Shares:
    return first[0] + second[0], first[1] + second[1], first[2] + second[2]


def _smaller(first: Shares, second: Shares) -> Shares:
    cpu, memory, gpus = map(min, first, second)
    return cpu, memory, gpus


def _shares(amounts: Amounts, capacity: Amounts, count: int = 1) -> Shares:
    return (
        amounts.cpu_millicores * count / capacity.cpu_millicores,
        amounts.memory_mb * count / capacity.memory_mb,
        amounts.gpus_count * count / capacity.gpus_count,
    )


def _capacity(accepting: list[Target]) -> Amounts:
    """Returns the capacity of all targets, at least one unit of each."""
    entries = [target.entry.capacity for target in accepting]
    return Amounts(
        max(1, sum(amounts.cpu_millicores for amounts in entries)),
        max(1, sum(amounts.memory_mb for amounts in entries)),
        max(1, sum(amounts.gpus_count for amounts in entries)),
    )


__all__ = ('OrderedSteps', 'WorkspaceShares')
