import pytest
from loguru import logger

from radishlift.core.ids import PartitionId
from radishlift.partitions.quarantines import QuarantineLog
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
    """Guards against operators who don't see that a worker gets no work."""
    worker = make_worker(1)
    state, engine = make_engine(worker)
    engine.tick(0)
    noted = QuarantineLog(PartitionId('p1'), state.tables, 0)
    row = state.tables.workers.row_of[worker.worker_id]

    def apply(record, now_ms):
        state.apply(record)
        noted.note(record, now_ms)

    closed = WorkerQuarantined(worker.worker_id, worker.incarnation, 'fails')
    apply(closed, 1000)
    assert noted.since_ms(worker.worker_id) == 1000
    apply(WorkerObserved(worker), 2000)
    assert state.tables.workers.quarantine_reason[row]
    apply(WorkerReturned(worker.worker_id), 3000)
    apply(WorkerReturned(worker.worker_id), 4000)
    assert noted.since_ms(worker.worker_id) == 0
    assert [line.split()[0].removeprefix('event=') for line in lines] == [
        'worker_quarantined',
        'worker_quarantine_ended',
    ]
    assert 'lasted_ms=2000' in lines[1]
    apply(closed, 5000)
    successor = QuarantineLog(PartitionId('p1'), state.tables, 6000)
    assert successor.since_ms(worker.worker_id) == 6000
