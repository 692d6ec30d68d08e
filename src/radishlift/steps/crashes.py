"""Finds the attempts that may have crashed a target.

A task that crashes targets does so shortly after its start. An attempt that is
known to have run for `crash_window_ms` is no suspect. A target that was silent
may have crashed at any time until then, which is attributed to no attempt.
"""

from typing import Final

from radishlift.steps.endings import EndKind
from radishlift.steps.ids import TaskKey
from radishlift.steps.runs import JobRun, JobState, TaskRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import (
    Allocation,
    CrashRecord,
    Suspicion,
    Target,
)

CRASH_REASON: Final = 'a task crashed its targets'

_END_KINDS: Final = {
    Suspicion.none: EndKind.lost,
    Suspicion.unconfirmed: EndKind.maybe_crashed,
    Suspicion.shared: EndKind.crashed,
    Suspicion.sole: EndKind.crashed_alone,
}

CRASH_KINDS: Final = frozenset(
    (EndKind.maybe_crashed, EndKind.crashed, EndKind.crashed_alone)
)


def is_cleared(
    target: Target,
    allocation: Allocation,
    settings: StepSettings,
) -> bool:
    """Returns whether the target survived the start of an attempt."""
    is_marked = allocation.suspicion is not Suspicion.none
    if allocation.sent_at_ms is None or is_marked:
        return False
    cleared_at_ms = allocation.sent_at_ms + settings.crash_window_ms
    return target.answered_at_ms >= cleared_at_ms


def is_quiet(target: Target, settings: StepSettings) -> bool:
    """Returns whether the target survived all starts on it."""
    return all(
        is_cleared(target, allocation, settings)
        for allocation in target.allocations.values()
    )


def mark_suspects(
    target: Target,
    gangs: set[TaskKey],
    settings: StepSettings,
    *,
    is_proven: bool,
) -> list[TaskKey]:
    """Marks the attempts that may have crashed a target; returns their tasks.

    `gangs` are the tasks that are members of gangs. A crash is attributed to
    a task or gang only if it is proven and there is no other suspect.
    """
    suspects = {
        key: allocation
        for key, allocation in target.allocations.items()
        if allocation.sent_at_ms is not None
        and allocation.suspicion is Suspicion.none
        and not is_cleared(target, allocation, settings)
    }
    units = {key.step_key if key in gangs else key for key in suspects}
    for allocation in suspects.values():
        allocation.crash = CrashRecord(
            target.process, _crash_delay_ms(target, allocation), len(units)
        )
        allocation.suspicion = (
            _rate(target, allocation, len(units), settings)
            if is_proven
            else Suspicion.unconfirmed
        )
    return list(suspects)


def _rate(
    target: Target,
    allocation: Allocation,
    units_count: int,
    settings: StepSettings,
) -> Suspicion:
    # An inherited attempt may have run for long before the takeover, and one
    # whose start got no answer may never have begun.
    is_doubtful = allocation.is_inherited or allocation.has_timed_out
    if is_doubtful and not allocation.is_confirmed:
        return Suspicion.unconfirmed
    if not _failed_at_start(target, allocation, settings):
        return Suspicion.unconfirmed
    if units_count == 1:
        return Suspicion.sole
    if allocation.is_confirmed:
        return Suspicion.shared
    return Suspicion.unconfirmed


def _failed_at_start(
    target: Target,
    allocation: Allocation,
    settings: StepSettings,
) -> bool:
    """Returns whether the target failed within the window of a start."""
    if target.has_timed_out:
        return False
    delay_ms = _crash_delay_ms(target, allocation)
    return delay_ms is None or 0 <= delay_ms <= settings.crash_window_ms


def _crash_delay_ms(target: Target, allocation: Allocation) -> int | None:
    """Returns how long after a start its target failed, if that is known."""
    first_sent_at_ms = allocation.first_sent_at_ms
    failed_at_ms = None if target.has_timed_out else target.failed_at_ms
    if failed_at_ms is None or first_sent_at_ms is None:
        return None
    return failed_at_ms - first_sent_at_ms


def lost_end_kind(target: Target, key: TaskKey, attempt: int) -> EndKind:
    """Returns how an attempt that its target does not run has ended."""
    allocation = target.allocations.get(key)
    if allocation is None or allocation.attempt != attempt:
        return EndKind.lost
    return _END_KINDS[allocation.suspicion]


def give_up_repeated(
    job: JobRun,
    task: TaskRun,
    kind: EndKind,
    settings: StepSettings,
    required_count: int = 0,
) -> bool:
    """Fails a job whose task repeatedly crashed targets.

    More than `max_crashes_count` may be required, but not beyond a total of
    `max_required_crashes_count`. Returns whether it failed now.
    """
    is_repeated = task.confirmed_crashes_count >= settings.max_crashes_count
    if task.crashes_count < settings.max_required_crashes_count:
        is_repeated &= task.confirmed_crashes_count >= required_count
    if kind is not EndKind.crashed_alone or not is_repeated or job.is_ended:
        return False
    job.state = JobState.failed
    job.reason = CRASH_REASON
    return True


__all__ = (
    'CRASH_KINDS',
    'CRASH_REASON',
    'give_up_repeated',
    'is_cleared',
    'is_quiet',
    'lost_end_kind',
    'mark_suspects',
)
