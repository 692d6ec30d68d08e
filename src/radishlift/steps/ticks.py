"""One pass over the waiting steps, and the starts it plans."""

from collections.abc import Callable, Set
from dataclasses import dataclass, field
from functools import cached_property

from radishlift.core.ids import ServiceName
from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.gang_reservations import Reservation
from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.placing import (
    Placement,
    TargetPreference,
    no_preference,
)
from radishlift.steps.runs import JobRun, StepRun, TaskState
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import Target
from radishlift.steps.workspace_use import charge_of

StepPreference = Callable[[JobRun, StepRun, int], TargetPreference]
"""Returns which targets a step prefers at a Unix time in milliseconds."""


def _prefer_nothing(
    job: JobRun, step: StepRun, wall_ms: int
) -> TargetPreference:
    return no_preference


def _usual_speed(target_id: TargetId) -> float:
    return 1


@dataclass(slots=True)
class Plan:
    """Decisions of one tick; placements are already allocated.

    `cleared` are the jobs of tasks that are no suspects any more.
    """

    placements: list[tuple[JobRun, Placement]] = field(default_factory=list)
    cleared: list[JobRun] = field(default_factory=list)
    advice_requests: list[AdviceRequest] = field(default_factory=list)


@dataclass
class Tick:
    """One pass over all waiting steps.

    `now_ms` is monotonic and `wall_ms` is Unix time. `accepting` are the
    targets on which tasks may start, and `due` the steps that waited at its
    start, in the order of their rank. `reserved_amounts` is the room that
    gangs hold until `reserved_until_ms`, and `claimed_amounts` the free room
    for which gangs without a reservation request tickets. `limited` are the
    steps that wait for the limit of their workspace, and `demoted` those that
    come after their rank because it has more than its share. `ready` are the
    gangs whose reserved room is free now. `preference_of` tells which targets a
    step prefers, and `speed_ratio` how long a target takes relative to the
    median target.
    """

    plan: Plan
    now_ms: int
    wall_ms: int
    accepting: list[Target]
    due: list[tuple[JobRun, StepRun]] = field(default_factory=list)
    reserved_until_ms: dict[TargetId, int] = field(default_factory=dict)
    reserved_amounts: dict[TargetId, Amounts] = field(default_factory=dict)
    claimed_amounts: dict[TargetId, Amounts] = field(default_factory=dict)
    limited: set[StepKey] = field(default_factory=set)
    demoted: set[StepKey] = field(default_factory=set)
    ready: set[StepKey] = field(default_factory=set)
    by_requirement: dict[tuple[ServiceName, str], list[Target]] = field(
        default_factory=dict,
    )
    preference_of: StepPreference = _prefer_nothing
    speed_ratio: Callable[[TargetId], float] = _usual_speed

    @cached_property
    def request_ranks(self) -> dict[StepKey, int]:
        """Returns the order in which steps should get advice, by step.

        It is the order of placing, but gangs in `ready` come first: their room
        is idle until their tickets arrive. It is final after the planning run.
        """
        keys = [step.key for _, step in self.due]
        keys.sort(key=lambda key: key not in self.ready)
        return {key: rank for rank, key in enumerate(keys)}

    def preference(self, job: JobRun, step: StepRun) -> TargetPreference:
        """Returns which targets a step prefers now."""
        return self.preference_of(job, step, self.wall_ms)

    def reserve(self, step: StepRun, reservation: Reservation) -> None:
        """Reserves room for a gang on targets that are not reserved yet."""
        if reservation.starts_at_ms <= self.now_ms:
            self.ready.add(step.key)
        for target_id, count in zip(
            reservation.target_ids, reservation.member_counts, strict=True
        ):
            self.reserved_until_ms[target_id] = reservation.starts_at_ms
            self.reserved_amounts[target_id] = Amounts().plus(
                step.spec.allocated_amounts, count
            )

    def claim(self, step: StepRun, room: Reservation) -> None:
        """Records for which free room a gang requests tickets.

        Other steps may use it, but no other gang requests tickets for it.
        """
        for target_id, count in zip(
            room.target_ids, room.member_counts, strict=True
        ):
            claimed = self.claimed_amounts.get(target_id, Amounts())
            self.claimed_amounts[target_id] = claimed.plus(
                step.spec.allocated_amounts, count
            )

    def unclaimed_capacity(self, target: Target, step: StepRun) -> Amounts:
        """Returns the usable capacity that no gang has claimed."""
        usable = self.usable_capacity(target, step)
        claimed = self.claimed_amounts.get(target.entry.target_id)
        return usable if claimed is None else usable.without(claimed)

    def usable_capacity(self, target: Target, step: StepRun) -> Amounts:
        """Returns the free capacity that a step may use despite reservations.

        Reserved room is for tasks that probably end before it is needed. A gang
        may not use it: if it runs longer than expected, it delays the other
        gang on many targets at once.
        """
        reserved = self._reserved_from(target, step)
        if reserved is None:
            return target.free_capacity
        return target.free_capacity.without(reserved)

    def is_open(self, target: Target, step: StepRun) -> bool:
        """Returns whether a step may wait for room on a target.

        If room is reserved there, the step must fit beside it now.
        """
        is_reserved = target.entry.target_id in self.reserved_until_ms
        return not is_reserved or self.may_use(target, step)

    def may_use(self, target: Target, step: StepRun) -> bool:
        """Returns whether a task of a step fits despite reservations."""
        return step.spec.allocated_amounts.fits_in(
            self.usable_capacity(target, step)
        )

    def may_use_later(self, target: Target, step: StepRun) -> bool:
        """Returns whether a task fits once all tasks of a target have ended."""
        capacity = target.entry.capacity
        reserved = self._reserved_from(target, step)
        if reserved is not None:
            capacity = capacity.without(reserved)
        return step.spec.allocated_amounts.fits_in(capacity)

    def suitable_targets(self, job: JobRun, step: StepRun) -> list[Target]:
        """Lists targets of the job's service with the step's label."""
        service, label = job.terms.service, step.spec.required_label
        found = self.by_requirement.get((service, label))
        if found is None:
            found = [
                target
                for target in self.accepting
                if target.entry.service == service
                and (not label or label in target.entry.labels)
            ]
            self.by_requirement[service, label] = found
        return found

    def resume(self, now_ms: int) -> None:
        """Continues after a pause in which targets may have changed."""
        self.now_ms = now_ms
        self.accepting = [
            target for target in self.accepting if target.accepts(now_ms)
        ]
        self.by_requirement.clear()

    def exclude(self, target_ids: Set[TargetId]) -> None:
        """Lets no more tasks start on the given targets."""
        self.accepting = [
            target
            for target in self.accepting
            if target.entry.target_id not in target_ids
        ]
        self.by_requirement.clear()

    def _reserved_from(self, target: Target, step: StepRun) -> Amounts | None:
        """Returns the room on a target that is reserved against a step."""
        target_id = target.entry.target_id
        until_ms = self.reserved_until_ms.get(target_id)
        if until_ms is None:
            return None
        end_ms = self.now_ms + step.spec.expected_run_ms
        if not step.spec.is_gang and end_ms <= until_ms:
            return None
        return self.reserved_amounts[target_id]


def allocate_starts(
    tick: Tick,
    job: JobRun,
    step: StepRun,
    placements: list[Placement],
) -> None:
    """Allocates planned starts and adds them to the plan."""
    if not placements:
        return
    attempts = [placement.task.attempt for placement in placements]
    # All members of a gang have the same attempt number.
    gang_attempt = max(attempts) + 1
    ratios = [
        tick.speed_ratio(placement.target.entry.target_id)
        for placement in placements
    ]
    if step.spec.is_gang:
        # A gang is as slow as its slowest member.
        ratios = [max(ratios) for _ in ratios]
    for placement, ratio in zip(placements, ratios, strict=True):
        task = placement.task
        task.attempt = gang_attempt if step.spec.is_gang else task.attempt + 1
        task.state = TaskState.placed
        task.target_id = placement.target.entry.target_id
        placement.target.allocate(
            task.key,
            task.attempt,
            step.spec.allocated_amounts,
            tick.now_ms + int(ratio * step.spec.expected_run_ms),
            charge_of(job, step),
        )
        tick.plan.placements.append((job, placement))


__all__ = ('Plan', 'StepPreference', 'Tick', 'allocate_starts')
