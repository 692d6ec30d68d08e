"""Attempts that a target still lists after they were taken for ended."""

from radishlift.cell.ports import EndedAttempt, RunningAttempt
from radishlift.cell.sessions import TargetSession
from radishlift.core.logs import log_event
from radishlift.steps.runs import JobRun
from radishlift.steps.workspace_use import charge_of


def log_outdated(
    job: JobRun | None,
    session: TargetSession,
    listed: EndedAttempt | RunningAttempt,
    how: str,
) -> None:
    """Logs an attempt that went on after it was taken for ended."""
    task = None if job is None else job.find_task(listed.key)
    if task is None or listed.attempt >= task.attempt:
        return
    log_event(
        'attempt_outdated',
        task=listed.key,
        attempt=listed.attempt,
        target=session.target_id,
        how=how,
        latest_attempt=task.attempt,
        latest_target=task.target_id,
    )


def allocate_outdated(
    job: JobRun | None, session: TargetSession, running: RunningAttempt
) -> None:
    """Allocates an attempt that was taken for ended, until its stop has.

    After a takeover, these are members of a gang of which one is done.
    """
    key = running.key
    task = None if job is None else job.find_task(key)
    if job is None or task is None or key in session.target.allocations:
        return
    step = job.steps[key.step_key.occurrence, key.step_key.step]
    session.target.allocate(
        key,
        running.attempt,
        step.spec.allocated_amounts,
        charge=charge_of(job, step),
    )


__all__ = ('allocate_outdated', 'log_outdated')
