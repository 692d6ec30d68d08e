"""Selects the targets to name in requests to the advice service."""

from collections.abc import Callable
from dataclasses import dataclass

from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.placing import place_step
from radishlift.steps.runs import StepRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import AdviceTerms
from radishlift.steps.targets import Target
from radishlift.steps.tickets import StepAdvice


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to the advice service and its expected duration."""

    key: StepKey
    target_ids: tuple[TargetId, ...]
    duration_ms: float
    priority: int


def choose_advice_targets(
    step: StepRun,
    terms: AdviceTerms,
    with_expired_ticket: list[Target],
    not_requested: list[Target],
    settings: StepSettings,
) -> tuple[TargetId, ...]:
    """Selects targets for the next advice request of a step.

    Targets in `with_expired_ticket` are allowed and have enough free
    capacity, but lack a valid ticket. They are named again only if tasks
    fit on them now, because tickets expire while tasks wait.
    `not_requested` are the targets that no request has named so far.
    Returns an empty tuple if a request would not help.
    """
    placements = (
        place_step(step, with_expired_ticket) if with_expired_ticket else []
    )
    if not_requested and len(placements) < len(step.waiting_tasks()):
        not_requested.sort(key=_free_millicores, reverse=True)
        chosen = not_requested[: _max_targets_count(terms, settings)]
        return tuple(target.entry.target_id for target in chosen)
    ids = {placement.target.entry.target_id for placement in placements}
    return tuple(sorted(ids)[: settings.max_asked_count])


def _free_millicores(target: Target) -> int:
    return target.free_capacity.cpu_millicores


def _max_targets_count(terms: AdviceTerms, settings: StepSettings) -> int:
    # This many targets at most double the duration of a request, which costs
    # less than a second request.
    if terms.per_target_ms <= 0:
        return settings.max_asked_count
    max_count = int(terms.decide_ms / terms.per_target_ms)
    return max(1, min(settings.max_asked_count, max_count))


def valid_ticket_filter(
    advice: StepAdvice,
    expires_after_ms: int,
) -> Callable[[Target], bool]:
    """Returns a predicate for targets with a ticket valid after a time."""

    def is_valid(target: Target) -> bool:
        ticket = advice.allowed.get(target.entry.target_id)
        return ticket is not None and ticket.expires_at_ms > expires_after_ms

    return is_valid


__all__ = ('AdviceRequest', 'choose_advice_targets', 'valid_ticket_filter')
