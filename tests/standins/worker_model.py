"""Model of a worker: leases, tombstones, usage and the record of executions.

The model does not enforce capacity: it accepts and records starts above it.
Ends of attempts are computed when the model is next used, with the exact time
at which they were due, so that the record does not depend on timers.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

from tests.standins.checks import Execution

FAILING_RUN_MS = 1

TaskKey = tuple[str, int]


def host_monotonic_ms() -> float:
    """Reads a clock that is the same for all processes of this machine."""
    return time.monotonic() * 1000


@dataclass(slots=True)
class WorkerOptions:
    """Capacity and behaviour of a worker; factors are drawn from ranges.

    `first_sizes` has the processor and memory of the first start of each task
    name. Usage is a factor of these: if it followed the reservation, which
    follows the usage, both would grow without end.
    """

    rack: str = 'r1'
    data_centre: str = 'dc1'
    cpu_milli: int = 30_000
    memory_mb: int = 130_000
    accelerators: int = 0
    seed: int = 1
    usage_range: tuple[float, float] = (0.2, 5.0)
    first_sizes: dict[str, tuple[int, int]] = field(default_factory=dict)
    run_time_range: tuple[float, float] = (1.0, 1.0)
    report_lag_ms: int = 1_000
    unknown_run_ms: int = 0


@dataclass(slots=True)
class Refusal:
    """Reason of a 409 answer."""

    reason: str


@dataclass(slots=True)
class Attempt:
    """An attempt at this worker; times are host monotonic ms."""

    task: dict[str, Any]
    execution: Execution
    lease_until_ms: float
    due_ms: float
    due_state: str
    usage_factor: float
    state: str = 'running'
    is_throttled: bool = False


@dataclass(slots=True)
class WorkerModel:
    """State of one worker; its clock is the host clock with an offset."""

    worker_id: str
    options: WorkerOptions
    host_ms: Callable[[], float] = host_monotonic_ms
    fails_tasks: bool = False
    record: list[Execution] = field(default_factory=list)
    attempts: dict[TaskKey, Attempt] = field(default_factory=dict)
    tombstones: set[TaskKey] = field(default_factory=set)
    checkpoint_count: int = 0
    start_count: int = 0
    generation: int = 0
    incarnation: str = ''
    offset_ms: int = 0

    def __post_init__(self) -> None:
        self._start_incarnation()

    def clock_ms(self) -> int:
        """Reads the worker's own clock."""
        return int(self.host_ms()) + self.offset_ms

    def restart(self) -> None:
        """Ends all tasks and starts a new incarnation with another clock."""
        self.end_due_attempts()
        for attempt in self._running():
            self._end(attempt, self.host_ms(), 'stopped')
        self.attempts.clear()
        self.tombstones.clear()
        self._start_incarnation()

    def start(self, body: dict[str, Any]) -> str | Refusal:
        """Starts an attempt unless it is known; returns its state."""
        self.end_due_attempts()
        task = body['task']
        key = (task['task_id'], task['attempt'])
        if body['incarnation'] != self.incarnation:
            return Refusal('incarnation')
        known = self.attempts.get(key)
        if known is not None:
            self._extend(known, body['lease_until_ms'])
            return known.state
        if key in self.tombstones:
            return Refusal('stopped')
        if body['lease_until_ms'] <= self.clock_ms():
            return Refusal('lapsed')
        self.start_count += 1
        self.attempts[key] = self._new_attempt(task, body['lease_until_ms'])
        return 'running'

    def renew(self, body: dict[str, Any]) -> Refusal | None:
        """Extends the leases of running attempts; never shortens one."""
        self.end_due_attempts()
        if body['incarnation'] != self.incarnation:
            return Refusal('incarnation')
        for task_id, attempt in body['tasks']:
            known = self.attempts.get((task_id, attempt))
            if known is not None:
                self._extend(known, body['lease_until_ms'])
        return None

    def stop(self, key: TaskKey) -> str:
        """Stops an attempt, or keeps a tombstone for one not yet started."""
        self.end_due_attempts()
        known = self.attempts.get(key)
        if known is None:
            self.tombstones.add(key)
            return 'stopped'
        if known.state == 'running':
            self._end(known, self.host_ms(), 'stopped')
        return known.state

    def throttle(self, key: TaskKey) -> str:
        """Limits the usage of an attempt to its reservation."""
        self.end_due_attempts()
        known = self.attempts.get(key)
        if known is None:
            return 'unknown'
        known.is_throttled = True
        return known.state

    def checkpoint(self, key: TaskKey) -> str:
        """Counts a checkpoint of an attempt; stores no progress."""
        self.end_due_attempts()
        known = self.attempts.get(key)
        if known is None:
            return 'unknown'
        self.checkpoint_count += 1
        return known.state

    def forget(self, keys: list[TaskKey]) -> None:
        """Drops ended attempts; leaves tombstones against late starts."""
        self.end_due_attempts()
        for key in keys:
            known = self.attempts.get(key)
            if known is not None and known.state != 'running':
                self.attempts.pop(key)
                self.tombstones.add(key)

    def report(self) -> dict[str, Any]:
        """Returns the current states of attempts and their usage with a lag."""
        self.end_due_attempts()
        return {
            'incarnation': self.incarnation,
            'clock_ms': self.clock_ms(),
            'tasks': [
                self._report_attempt(key, attempt)
                for key, attempt in self.attempts.items()
            ],
        }

    def end_due_attempts(self) -> None:
        """Ends the attempts whose run or lease has ended by now."""
        now_ms = self.host_ms()
        for attempt in list(self._running()):
            expiry_ms = attempt.lease_until_ms - self.offset_ms
            if min(expiry_ms, attempt.due_ms) > now_ms:
                continue
            if expiry_ms < attempt.due_ms:
                self._end(attempt, expiry_ms, 'stopped')
            else:
                self._end(attempt, attempt.due_ms, attempt.due_state)

    def _start_incarnation(self) -> None:
        self.generation += 1
        name = f'{self.options.seed}:{self.worker_id}:{self.generation}'
        self.incarnation = f'i{Random(name).randrange(1 << 40):x}'
        self.offset_ms = Random(f'{name}:clock').randrange(1, 10**9)

    def _running(self) -> Iterator[Attempt]:
        return (
            attempt
            for attempt in self.attempts.values()
            if attempt.state == 'running'
        )

    def _extend(self, attempt: Attempt, lease_until_ms: int) -> None:
        if attempt.state == 'running':
            attempt.lease_until_ms = max(attempt.lease_until_ms, lease_until_ms)

    def _new_attempt(self, task: dict[str, Any], until_ms: int) -> Attempt:
        now_ms = self.host_ms()
        random = Random(
            f'{self.options.seed}:{task["task_id"]}:{task["attempt"]}'
        )
        usage_factor = random.uniform(*self.options.usage_range)
        self.options.first_sizes.setdefault(
            task['name'],
            (task['cpu_milli'], task['memory_mb']),
        )
        run_ms = task['run_time_ms'] or self.options.unknown_run_ms
        run_ms *= random.uniform(*self.options.run_time_range)
        execution = Execution(
            task_id=task['task_id'],
            attempt=task['attempt'],
            worker_id=self.worker_id,
            start_ms=now_ms,
            end_ms=None,
            cpu_milli=task['cpu_milli'],
            memory_mb=task['memory_mb'],
            accelerators=task['accelerators'],
        )
        self.record.append(execution)
        if self.fails_tasks:
            due_ms, due_state = now_ms + FAILING_RUN_MS, 'failed'
        else:
            due_ms, due_state = now_ms + (run_ms or float('inf')), 'finished'
        return Attempt(
            task, execution, until_ms, due_ms, due_state, usage_factor
        )

    def _end(self, attempt: Attempt, end_ms: float, state: str) -> None:
        attempt.state = state
        attempt.execution.end_ms = end_ms

    def _report_attempt(self, key: TaskKey, attempt: Attempt) -> dict[str, Any]:
        execution = attempt.execution
        until_ms = execution.end_ms or self.host_ms()
        lag_ms = self.options.report_lag_ms
        run_ms = max(0, int(until_ms - execution.start_ms) - lag_ms)
        factor = attempt.usage_factor if run_ms else 0
        first_sizes = self.options.first_sizes
        first_cpu, first_memory = first_sizes[attempt.task['name']]
        cpu_milli = int(first_cpu * factor)
        memory_mb = int(first_memory * factor)
        if attempt.is_throttled:
            cpu_milli = min(cpu_milli, execution.cpu_milli)
            memory_mb = min(memory_mb, execution.memory_mb)
        return {
            'task_id': key[0],
            'attempt': key[1],
            'state': attempt.state,
            'cpu_milli': cpu_milli,
            'memory_mb': memory_mb,
            'run_ms': run_ms,
            'lease_until_ms': int(attempt.lease_until_ms),
            'report_age_ms': lag_ms,
        }


__all__ = ('Refusal', 'WorkerModel', 'WorkerOptions', 'host_monotonic_ms')
