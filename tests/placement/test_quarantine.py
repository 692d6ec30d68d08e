from radishlift.config.document import ConfigDocument, Team
from radishlift.core.ids import ConfigVersion, TeamName
from radishlift.placement.jobs import Resources, TaskState
from radishlift.placement.records import (
    TaskEnded,
    WorkerQuarantined,
    WorkerReturned,
)
from tests.placement.builders import (
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

SMALL = Resources(4_000, 8_000)
FAULTY_WORKER_ID = make_worker(1).worker_id


def filter_type(records, kind):
    return [record for record in records if isinstance(record, kind)]


class SimulatedFleet:
    """Workers of which some fail each task as soon as it starts."""

    def __init__(self, bad_workers, workers_count=8):
        workers = [make_worker(n, SMALL) for n in range(workers_count)]
        self.engine = make_engine(*workers)[1]
        self.faulty_worker_ids = bad_workers
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
            for start in find_starts(records):
                is_bad = start.worker_id in self.faulty_worker_ids
                state = TaskState.failed if is_bad else TaskState.finished
                self.engine.observe_task_end(
                    start.task_id, start.attempt, state
                )


def test_worker_that_fails_everything_is_quarantined_without_failed_tasks():
    """Guards against a faulty worker that fails the whole queue."""
    fleet = SimulatedFleet({FAULTY_WORKER_ID})
    fleet.run(60)
    quarantined = filter_type(fleet.records, WorkerQuarantined)
    assert [record.worker_id for record in quarantined] == [FAULTY_WORKER_ID]
    ends = filter_type(fleet.records, TaskEnded)
    assert all(end.state is not TaskState.failed for end in ends)


def test_repaired_worker_is_returned_after_a_probe():
    """Guards against a worker that stays quarantined for ever."""
    fleet = SimulatedFleet({FAULTY_WORKER_ID})
    fleet.run(60)
    fleet.records.clear()
    fleet.run(60, step_ms=1_000)
    probes = [
        s for s in find_starts(fleet.records) if s.worker_id == FAULTY_WORKER_ID
    ]
    assert len(probes) in {2, 3, 4, 5}
    assert not filter_type(fleet.records, WorkerReturned)
    fleet.faulty_worker_ids = set()
    fleet.run(80, step_ms=1_000)
    assert len(filter_type(fleet.records, WorkerReturned)) == 1


def test_few_workers_are_quarantined_when_everything_fails():
    """Guards against a faulty release of jobs that quarantines all workers."""
    everyone = {make_worker(n).worker_id for n in range(8)}
    fleet = SimulatedFleet(everyone)
    fleet.run(100)
    assert len(filter_type(fleet.records, WorkerQuarantined)) <= 2


def test_one_faulty_job_quarantines_no_worker():
    """Guards against a faulty job whose tasks fail on the same worker."""
    _, engine = make_engine(*(make_worker(n, SMALL) for n in range(8)))
    engine.accept(make_job(task_count=60, max_attempts=1), 0)
    records = []
    for now_ms in range(60):
        tick_records = engine.tick(now_ms)
        records.extend(tick_records)
        for start in find_starts(tick_records):
            engine.observe_task_end(
                start.task_id, start.attempt, TaskState.failed
            )
    assert len(find_starts(records)) == 60
    assert not filter_type(records, WorkerQuarantined)


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
    assert not any(find_starts(found) for found in records)
    engine.quotas.use_shares({TeamName('wash'): (1_000, 0, 0)})
    assert len(find_starts(engine.tick(600_000))) == 1
