import pytest
from loguru import logger

from radishlift.core.ids import PartitionId
from radishlift.partitions.quarantines import QuarantineMonitor
from radishlift.placement.records import (
    WorkerObserved,
    WorkerQuarantined,
    WorkerReturned,
)
from tests.placement.builders import make_engine, make_worker


@pytest.fixture
def lines():
    written = []
    handler = logger.add(written.append, format='{message}', level='INFO')
    yield written
    logger.remove(handler)


def test_begin_and_end_of_a_quarantine_are_logged(lines):
    """Guards against quarantines that operators can't see in the log."""
    worker = make_worker(1)
    state, engine = make_engine(worker)
    engine.tick(0)
    monitor = QuarantineMonitor(PartitionId('p1'), state.tables, 0)
    row = state.tables.workers.row_of[worker.worker_id]

    def apply(record, now_ms):
        state.apply(record)
        monitor.observe(record, now_ms)

    quarantined = WorkerQuarantined(
        worker.worker_id, worker.incarnation, 'fails'
    )
    apply(quarantined, 1000)
    assert monitor.since_ms(worker.worker_id) == 1000
    apply(WorkerObserved(worker), 2000)
    assert state.tables.workers.quarantine_reason[row]
    apply(WorkerReturned(worker.worker_id), 3000)
    apply(WorkerReturned(worker.worker_id), 4000)
    assert monitor.since_ms(worker.worker_id) == 0
    assert [line.split()[0].removeprefix('event=') for line in lines] == [
        'worker_quarantined',
        'worker_quarantine_ended',
    ]
    assert 'lasted_ms=2000' in lines[1]
    apply(quarantined, 5000)
    new_owner_monitor = QuarantineMonitor(PartitionId('p1'), state.tables, 6000)
    assert new_owner_monitor.since_ms(worker.worker_id) == 6000
