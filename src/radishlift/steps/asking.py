"""Decides which targets to ask the advice service about."""

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
    """A question to the advice service, and how long it will take."""

    key: StepKey
    target_ids: tuple[TargetId, ...]
    duration_ms: float
    priority: int


def choose_asked(
    step: StepRun,
    terms: AdviceTerms,
    expired: list[Target],
    new: list[Target],
    settings: StepSettings,
) -> tuple[TargetId, ...]:
    """Chooses targets for the next question; none if it would not help.

    `expired` are allowed, have room and lack a valid ticket: they are asked
    about again only when the tasks would fit on them now, as tickets expire
    while tasks wait. `new` were not asked about yet.
    """
    placements = place_step(step, expired) if expired else []
    if new and len(placements) < len(step.waiting()):
        new.sort(key=_free_millicores, reverse=True)
        chosen = new[: _asked_count(terms, settings)]
        return tuple(one.entry.target_id for one in chosen)
    ids = {one.target.entry.target_id for one in placements}
    return tuple(sorted(ids)[: settings.max_asked_count])


def _free_millicores(target: Target) -> int:
    return target.room.cpu_millicores


def _asked_count(terms: AdviceTerms, settings: StepSettings) -> int:
    # As many as double the time of a call: asking twice would cost more.
    if terms.per_target_ms <= 0:
        return settings.max_asked_count
    affordable = int(terms.decide_ms / terms.per_target_ms)
    return max(1, min(settings.max_asked_count, affordable))


def ticket_filter(
    advice: StepAdvice,
    expires_after_ms: int,
) -> Callable[[Target], bool]:
    """Returns a filter for targets with a ticket that is still valid."""

    def is_valid(target: Target) -> bool:
        ticket = advice.allowed.get(target.entry.target_id)
        return ticket is not None and ticket.expires_at_ms > expires_after_ms

    return is_valid


__all__ = ('AdviceRequest', 'choose_asked', 'ticket_filter')
