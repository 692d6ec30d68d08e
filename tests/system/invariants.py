"""Checks of invariants, from the records of the stand-ins.

Each function of `INVARIANTS` returns texts that describe the violations, or an
empty list. `Line N` is its number in docs/design.md, section 2. A target is a
worker or an executor.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from radishlift.core.ids import TaskId
from radishlift.load.runner import LoadResult
from radishlift.placement.jobs import job_id_of
from tests.standins.checks import (
    WorkerRecord,
    overcommitted_workers,
    tasks_in_two_places,
)
from tests.standins.request_checks import (
    Execution,
    keys_that_ran_twice,
    peaks_above,
)

CONFIG_BOUND_MS = 4000


@dataclass(frozen=True, slots=True)
class Sighting:
    """The versions that a daemon answered with and that it enforced.

    `at_ms` is when the answer came, on the monotonic clock of the host.
    """

    at_ms: float
    version: int
    enforced_version: int


@dataclass(slots=True)
class Evidence:
    """Records of the stand-ins and of the load tool after a run.

    `leaving_since_ms` has the time when the host list showed a host as leaving.
    `interrupted_addresses` are of daemons at which connections may break.
    `uninterrupted_tasks` has periods in which running tasks must not be
    interrupted. `accepted_at_ms` has the time when a version of the
    configuration was accepted, `measured_from_ms` the time when a daemon that
    could not run did so again.
    """

    workers: Sequence[WorkerRecord]
    executions: Sequence[Execution]
    results: Sequence[LoadResult]
    slots_count: int = 8
    unfinished_jobs: Sequence[str] = ()
    leaving_since_ms: Mapping[str, float] = field(default_factory=dict)
    interrupted_addresses: frozenset[str] = frozenset()
    uninterrupted_tasks: Mapping[str, tuple[float, float]] = field(
        default_factory=dict
    )
    config_versions: Mapping[str, Sequence[int]] = field(default_factory=dict)
    sightings: Mapping[str, Sequence[Sighting]] = field(default_factory=dict)
    accepted_at_ms: Mapping[int, float] = field(default_factory=dict)
    measured_from_ms: Mapping[str, float] = field(default_factory=dict)


def no_host_overcommitted(evidence: Evidence) -> list[str]:
    """Line 1: no worker and no executor beyond its capacity."""
    workers = overcommitted_workers(evidence.workers)
    peaks = peaks_above(evidence.executions, evidence.slots_count)
    return [f'worker {name} peak {peak}' for name, peak in workers.items()] + [
        f'executor {name} ran {peak} at once' for name, peak in peaks.items()
    ]


def no_task_in_two_places(evidence: Evidence) -> list[str]:
    """Line 2: executions of one task never overlap."""
    pairs = tasks_in_two_places(evidence.workers)
    return [
        f'task {first.task_id} on {first.worker_id} and {second.worker_id}'
        for first, second in pairs
    ]


def every_answer_whole_and_own(evidence: Evidence) -> list[str]:
    """Line 3: no answer belongs to another request."""
    return [
        f'{result.outcomes["wrong"]} answers were for another request'
        for result in evidence.results
        if result.outcomes['wrong']
    ]


def not_run_is_true(evidence: Evidence) -> list[str]:
    """Line 4: what was refused as "not run" was never executed."""
    ran = {_base_id(execution.request_id) for execution in evidence.executions}
    ran |= {
        _token(execution.key)
        for execution in evidence.executions
        if execution.key
    }
    ran |= {
        job_id_of(TaskId(execution.task_id))
        for record in evidence.workers
        for execution in record.executions
    }
    return [
        f'{name} was refused as not run but ran'
        for result in evidence.results
        for name in (
            *result.not_run_tokens,
            *result.not_run_ids,
            *result.not_run_jobs,
        )
        if name in ran
    ]


def keyed_requests_at_most_once(evidence: Evidence) -> list[str]:
    """Line 5: no idempotency key was executed twice."""
    twice = keys_that_ran_twice(evidence.executions)
    return [f'key {key} ran twice' for key in sorted(twice)]


def leaving_targets_get_no_new_work(
    evidence: Evidence,
    allowed_ms: float = 2000,
) -> list[str]:
    """Line 6: nothing starts on a target that is leaving.

    A start is allowed until `allowed_ms` after the host list marked it.
    """
    starts = [
        (execution.executor, execution.start_ms)
        for execution in evidence.executions
    ]
    starts.extend(
        (record.worker_id, execution.start_ms)
        for record in evidence.workers
        for execution in record.executions
    )
    never_ms = float('inf')
    return [
        f'{host} got work after it was listed as leaving'
        for host, start_ms in starts
        if start_ms > evidence.leaving_since_ms.get(host, never_ms) + allowed_ms
    ]


def no_request_cut(evidence: Evidence) -> list[str]:
    """Line 7: connections broke only at daemons that were killed or paused."""
    return [
        f'{count} connections broke at {address}'
        for result in evidence.results
        for address, count in result.broken_at.items()
        if address not in evidence.interrupted_addresses
    ]


def configuration_never_reverts(evidence: Evidence) -> list[str]:
    """Line 8: the version in force never goes down in a daemon."""
    series = [
        *evidence.config_versions.items(),
        *(
            (daemon, [getattr(seen, name) for seen in sightings])
            for daemon, sightings in evidence.sightings.items()
            for name in ('version', 'enforced_version')
        ),
    ]
    return [
        f'{daemon} went from version {before} to {after}'
        for daemon, versions in series
        for before, after in pairwise(versions)
        if after < before
    ]


def configuration_in_force_in_time(
    evidence: Evidence,
    bound_ms: float = CONFIG_BOUND_MS,
) -> list[str]:
    """Line 8: each daemon answers with and enforces a version in time.

    The time counts from the answer that accepted the version, or from when
    the daemon could run again.
    """
    late = []
    for version, accepted_at_ms in evidence.accepted_at_ms.items():
        for daemon, sightings in evidence.sightings.items():
            counted_ms = evidence.measured_from_ms.get(daemon, accepted_at_ms)
            due_ms = max(accepted_at_ms, counted_ms) + bound_ms
            if not any(
                min(seen.version, seen.enforced_version) >= version
                for seen in sightings
                if seen.at_ms <= due_ms
            ):
                late.append(f'{daemon} was late with version {version}')
    return late


def running_tasks_kept(evidence: Evidence) -> list[str]:
    """Tasks that ran when an outage or a leave began run to its end."""
    interrupted = []
    for task_id, (from_ms, to_ms) in evidence.uninterrupted_tasks.items():
        ends_ms = [
            execution.last_ms
            for record in evidence.workers
            for execution in record.executions
            if execution.task_id == task_id and execution.start_ms <= from_ms
        ]
        if max(ends_ms, default=0) < to_ms:
            interrupted.append(f'task {task_id} was interrupted')
    return interrupted


def nothing_accepted_is_lost(evidence: Evidence) -> list[str]:
    """Accepted jobs finish and answered keys were executed."""
    ran = {
        _token(execution.key)
        for execution in evidence.executions
        if execution.key
    }
    lost = [f'job {job} did not finish' for job in evidence.unfinished_jobs]
    lost.extend(
        f'{token} was answered but never executed'
        for result in evidence.results
        for token in result.answered_keys
        if token not in ran
    )
    return lost


INVARIANTS = (
    no_host_overcommitted,
    no_task_in_two_places,
    every_answer_whole_and_own,
    not_run_is_true,
    keyed_requests_at_most_once,
    leaving_targets_get_no_new_work,
    no_request_cut,
    configuration_never_reverts,
    configuration_in_force_in_time,
    running_tasks_kept,
    nothing_accepted_is_lost,
)


def check_all(evidence: Evidence) -> dict[str, list[str]]:
    """Runs all checks; returns the violations by the name of the check."""
    found = {check.__name__: check(evidence) for check in INVARIANTS}
    return {name: texts for name, texts in found.items() if texts}


def count_outcomes(results: Iterable[LoadResult]) -> Counter[str]:
    """Adds up the outcomes of several load runs."""
    total: Counter[str] = Counter()
    for result in results:
        total.update(result.outcomes)
    return total


def _base_id(request_id: str) -> str:
    # Each attempt of a request has the request's id and a suffix.
    return request_id.partition('.')[0]


def _token(key: str) -> str:
    return key.rpartition('/')[2]
