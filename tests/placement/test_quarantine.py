from radishlift.config.document import ConfigDocument, Team
from radishlift.core.ids import ConfigVersion, TeamName
from radishlift.placement.jobs import Resources, TaskState
from radishlift.placement.records import (
    TaskEnded,
    WorkerQuarantined,
    WorkerReturned,
)
from tests.placement.builders import make_engine, make_job, make_worker, placed

SMALL = Resources(4_000, 8_000)
BAD = make_worker(1).worker_id


def of_type(records, kind):
    return [record for record in records if isinstance(record, kind)]


class Fleet:
    """A fleet on which some workers fail every task at once."""

    def __init__(self, bad_workers, workers_count=8):
        workers = [make_worker(n, SMALL) for n in range(workers_count)]
        self.engine = make_engine(*workers)[1]
        self.bad_workers = bad_workers
        self.records = []
        self.job_number = 0
        self.now_ms = 0

    def run(self, ticks_count, step_ms=10):
        for _ in range(ticks_count):
            self.now_ms += step_ms
            self.job_number += 1
            job = make_job(
                f'j{self.job_number}',
                task_count=6,
                demand=Resources(1_000, 1_000),
            )
            self.engine.accept(job, self.now_ms)
            records = self.engine.tick(self.now_ms)
            self.records.extend(records)
            for start in placed(records):
                is_bad = start.worker_id in self.bad_workers
                state = TaskState.failed if is_bad else TaskState.finished
                self.engine.observe_task_end(
                    start.task_id, start.attempt, state
                )


def test_worker_that_fails_everything_is_closed_and_costs_no_task():
    """Guards against a faulty worker that fails the whole queue."""
    fleet = Fleet({BAD})
    fleet.run(60)
    quarantined = of_type(fleet.records, WorkerQuarantined)
    assert [record.worker_id for record in quarantined] == [BAD]
    ends = of_type(fleet.records, TaskEnded)
    assert all(end.state is not TaskState.failed for end in ends)


def test_repaired_worker_is_returned_after_a_probe():
    """Guards against a worker that stays closed for ever."""
    fleet = Fleet({BAD})
    fleet.run(60)
    fleet.records.clear()
    fleet.run(60, step_ms=1_000)
    probes = [s for s in placed(fleet.records) if s.worker_id == BAD]
    assert len(probes) in {2, 3, 4, 5}
    assert not of_type(fleet.records, WorkerReturned)
    fleet.bad_workers = set()
    fleet.run(80, step_ms=1_000)
    assert len(of_type(fleet.records, WorkerReturned)) == 1


def test_fleet_is_not_emptied_when_everything_fails():
    """Guards against a faulty release of jobs that closes all workers."""
    everyone = {make_worker(n).worker_id for n in range(8)}
    fleet = Fleet(everyone)
    fleet.run(100)
    assert len(of_type(fleet.records, WorkerQuarantined)) <= 2


def test_one_faulty_job_closes_no_worker():
    """Guards against a job that fails by itself and is packed together."""
    _, engine = make_engine(*(make_worker(n, SMALL) for n in range(8)))
    engine.accept(make_job(task_count=60, max_attempts=1), 0)
    records = []
    for now_ms in range(60):
        made = engine.tick(now_ms)
        records.extend(made)
        for start in placed(made):
            engine.observe_task_end(
                start.task_id, start.attempt, TaskState.failed
            )
    assert len(placed(records)) == 60
    assert not of_type(records, WorkerQuarantined)


def test_probe_does_not_exceed_the_quota():
    """Guards against a probe that starts a task of a team over its quota."""
    engine = make_engine(make_worker(1, SMALL))[1]
    teams = {TeamName('wash'): Team('rugs', cpu_milli=1_000)}
    engine.apply_config(ConfigDocument(ConfigVersion(1), teams=teams))
    engine.quotas.use_shares({})
    engine.accept(make_job(), 0)
    engine.tick(0)
    worker = make_worker(1)
    engine._context.emit(
        WorkerQuarantined(worker.worker_id, worker.incarnation, 'x')
    )
    records = [engine.tick(100_000 * number) for number in range(1, 5)]
    assert not any(placed(found) for found in records)
    engine.quotas.use_shares({TeamName('wash'): (1_000, 0, 0)})
    assert len(placed(engine.tick(600_000))) == 1
