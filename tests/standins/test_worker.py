import pytest

from tests.standins.checks import (
    WorkerRecord,
    overcommitted_workers,
    tasks_in_two_places,
)
from tests.standins.worker_model import Refusal, WorkerModel, WorkerOptions


class HostTime:
    now_ms = 1000.0

    def __call__(self) -> float:
        return self.now_ms


def make_worker(host_ms: HostTime, name: str = 'w1') -> WorkerModel:
    return WorkerModel(name, WorkerOptions(cpu_milli=1500), host_ms)


def start(
    worker: WorkerModel, lease_ms: int = 1000, run_ms: int = 0
) -> str | Refusal:
    return worker.start(
        {
            'incarnation': worker.incarnation,
            'lease_until_ms': worker.clock_ms() + lease_ms,
            'task': {
                'task_id': 'j/0',
                'attempt': 1,
                'cpu_milli': 1000,
                'memory_mb': 10,
                'accelerators': 0,
                'run_time_ms': run_ms,
                'name': 'wash',
            },
        }
    )


def test_lease_expiry_ends_a_task():
    """Guards against a stand-in that runs tasks past their lease."""
    host_ms = HostTime()
    worker = make_worker(host_ms)
    assert start(worker) == 'running'
    host_ms.now_ms += 5000
    assert start(worker) == 'stopped'
    assert [execution.end_ms for execution in worker.record] == [2000]


def test_stop_before_start_leaves_a_tombstone():
    """Guards against running an attempt whose start arrives after its stop."""
    worker = make_worker(HostTime())
    assert worker.stop(('j/0', 1)) == 'stopped'
    assert start(worker) == Refusal('stopped')


@pytest.mark.parametrize('is_forgotten', [False, True])
def test_repeated_start_runs_once(is_forgotten):
    """Guards against a second execution by a repeated start."""
    host_ms = HostTime()
    worker = make_worker(host_ms)
    start(worker, run_ms=50)
    host_ms.now_ms += 50
    if is_forgotten:
        worker.forget([('j/0', 1)])
    start(worker, run_ms=50)
    assert len(worker.record) == 1


def test_restart_refuses_the_old_incarnation():
    """Guards against starts that were sent to the previous incarnation."""
    worker = make_worker(HostTime())
    previous = worker.incarnation
    worker.restart()
    body = {'incarnation': previous, 'lease_until_ms': 0, 'tasks': []}
    assert worker.renew(body) == Refusal('incarnation')


@pytest.mark.parametrize(('gap_ms', 'found'), [(999, 1), (1000, 0)])
def test_checks_find_a_task_in_two_places(gap_ms, found):
    """Guards against a check that misses an overlap or reports a mere contact.

    The first lease ends after 1000 ms: a second start 1 ms earlier overlaps.
    """
    host_ms = HostTime()
    first, second = make_worker(host_ms), make_worker(host_ms, 'w2')
    start(first)
    host_ms.now_ms += gap_ms
    start(second)
    records = [_record(worker) for worker in (first, second)]
    assert len(tasks_in_two_places(records)) == found
    assert not overcommitted_workers(records)


def test_checks_find_an_overcommitted_worker():
    """Guards against a capacity check that always passes."""
    worker = make_worker(HostTime())
    start(worker)
    worker.record.append(worker.record[0])
    assert list(overcommitted_workers([_record(worker)])) == ['w1']


def _record(worker: WorkerModel) -> WorkerRecord:
    worker.end_due_attempts()
    return WorkerRecord(worker.worker_id, 1500, 130_000, 0, list(worker.record))
