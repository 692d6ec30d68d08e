"""Selects the targets to name in requests to the advice service."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from radishlift.steps.ids import QueueName, StepKey, TargetId
from radishlift.steps.placing import (
    TargetPreference,
    no_preference,
    place_step,
)
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import AdviceTerms
from radishlift.steps.targets import Target


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to the advice service and its expected duration.

    `due_at_ms` is when its step was due, in Unix time, and `created_at_ms` the
    monotonic time since which its step waits for an answer.
    """

    key: StepKey
    target_ids: tuple[TargetId, ...]
    duration_ms: float
    priority: int
    queue: QueueName = QueueName('')
    due_at_ms: int = 0
    created_at_ms: int = 0


def build_request(
    job: JobRun,
    step: StepRun,
    terms: AdviceTerms,
    target_ids: tuple[TargetId, ...],
    created_at_ms: int = 0,
) -> AdviceRequest:
    """Creates a request for a step."""
    return AdviceRequest(
        step.key,
        target_ids,
        request_duration_ms(terms, len(target_ids)),
        job.terms.priority,
        job.terms.queue,
        step.due_at_ms,
        created_at_ms,
    )


def request_duration_ms(terms: AdviceTerms, targets_count: int) -> float:
    """Returns how long the service takes to answer a request."""
    return terms.decide_ms + terms.per_target_ms * targets_count


def choose_advice_targets(
    step: StepRun,
    terms: AdviceTerms,
    with_expired_ticket: list[Target],
    not_requested: list[Target],
    settings: StepSettings,
    preference: TargetPreference = no_preference,
) -> tuple[TargetId, ...]:
    """Selects targets for the next advice request of a step.

    Targets in `with_expired_ticket` are allowed and have enough free
    capacity, but lack a valid ticket. They are named again only if tasks
    fit on them now, because tickets expire while tasks wait.
    `not_requested` are the targets that no request has named so far.
    Returns an empty tuple if a request would not help.
    """
    placements = (
        place_step(step, with_expired_ticket, preference=preference)
        if with_expired_ticket
        else []
    )
    if not_requested and len(placements) < len(step.ordinary_tasks()):
        return choose_new_targets(terms, not_requested, settings, preference)
    ids = {placement.target.entry.target_id for placement in placements}
    return tuple(sorted(ids)[: settings.max_asked_count])


def choose_new_targets(
    terms: AdviceTerms,
    not_requested: list[Target],
    settings: StepSettings,
    preference: TargetPreference = no_preference,
) -> tuple[TargetId, ...]:
    """Selects those with most room of the targets that were not named yet."""
    _sort_by_room(not_requested, settings, preference)
    return _target_ids(not_requested[: _max_targets_count(terms, settings)])


def choose_gang_advice_targets(
    step: StepRun,
    terms: AdviceTerms,
    not_requested: list[Target],
    allowed_share: float,
    settings: StepSettings,
    preference: TargetPreference = no_preference,
) -> Iterator[tuple[TargetId, ...]]:
    """Yields the targets of simultaneous advice requests for a gang.

    One request names few of the targets of a large deployment, and only
    `allowed_share` of them may run the gang. If requests were sent one after
    another, the tickets of the first would expire before the last arrive. The
    targets with most room come first, until the gang probably fits on those
    that will be allowed.
    """
    amounts = step.spec.allocated_amounts
    _sort_by_room(not_requested, settings, preference)
    size = _max_targets_count(terms, settings)
    needed_count = settings.gang_room_factor * len(step.tasks)
    for first in range(0, len(not_requested), size):
        if needed_count <= 0:
            return
        named = not_requested[first : first + size]
        room_count = sum(
            amounts.count_fitting(target.free_capacity) for target in named
        )
        needed_count -= allowed_share * room_count
        yield _target_ids(named)


def choose_spare_targets(
    step: StepRun,
    terms: AdviceTerms,
    reserved: Collection[TargetId],
    allowed: list[Target],
    settings: StepSettings,
) -> tuple[TargetId, ...]:
    """Selects targets that a gang could use instead of the reserved ones.

    Those with most room come first. They may prolong a request by
    `spare_duration_share`.
    """
    amounts = step.spec.allocated_amounts
    spares = [
        target
        for target in allowed
        if target.entry.target_id not in reserved
        and amounts.fits_in(target.entry.capacity)
    ]
    spares.sort(key=_free_millicores, reverse=True)
    max_count = settings.max_asked_count
    if terms.per_target_ms > 0:
        extra_ms = settings.spare_duration_share * terms.decide_ms
        max_count = min(max_count, int(extra_ms / terms.per_target_ms))
    return _target_ids(spares[:max_count])


def _target_ids(targets: list[Target]) -> tuple[TargetId, ...]:
    return tuple(target.entry.target_id for target in targets)


def _sort_by_room(
    targets: list[Target],
    settings: StepSettings,
    preference: TargetPreference,
) -> None:
    """Sorts by room, most first, with an allowance for preferred targets."""
    share = settings.preferred_room_share

    def room(target: Target) -> float:
        allowance = share * target.entry.capacity.cpu_millicores
        return _free_millicores(target) - preference(target) * allowance

    targets.sort(key=room, reverse=True)


def _free_millicores(target: Target) -> int:
    return target.free_capacity.cpu_millicores


def _max_targets_count(terms: AdviceTerms, settings: StepSettings) -> int:
    # This many targets at most double the duration of a request, which costs
    # less than a second request.
    if terms.per_target_ms <= 0:
        return settings.max_asked_count
    max_count = int(terms.decide_ms / terms.per_target_ms)
    return max(1, min(settings.max_asked_count, max_count))


__all__ = (
    'AdviceRequest',
    'build_request',
    'choose_advice_targets',
    'choose_gang_advice_targets',
    'choose_new_targets',
    'choose_spare_targets',
    'request_duration_ms',
)
