"""Tests of the operations for callers."""

import pytest

from radishlift.cell.entry_rows import RelayedRows, StoreRows
from radishlift.cell.job_service import JobService, JobStatus
from radishlift.cell.queues import Queue, QueueConfig
from radishlift.cell.tables import CANCELS, JOBS, PROGRESS
from radishlift.core.clock import BootClock
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.ids import ConfigVersion, DaemonId
from radishlift.services.api import Transaction, Write
from radishlift.steps.runs import JobState
from radishlift.wire.network import PeerNetwork
from tests.cell.fakes import MemoryCellStore
from tests.standins.tables import Fault
from tests.steps.builders import job


def repeated(fault):
    return [fault for _ in range(20)]


RUN = job()
ID = RUN.spec.job_id
QUEUE = Queue(RUN.terms, 'h.example', '/batch/')


class ServiceSetup:
    """A job service with a store that can be made to fail."""

    def __init__(self) -> None:
        self.store = MemoryCellStore()
        self.clock = BootClock()
        self.is_store_lost = False
        self.heartbeat = {'pending': {'batch': 3}}
        self.job_service = JobService(
            RelayedRows(
                StoreRows(self.store),
                PeerNetwork(DaemonId('d1')),
                lambda: self.is_store_lost,
                self.clock,
            ),
            self.clock,
            lambda: self.heartbeat,
        )

    async def submit(self, wait_ms=400, spec=RUN.spec, workspace=''):
        deadline_ms = self.clock.monotonic_ms() + wait_ms
        return await self.job_service.submit(
            QUEUE, spec, deadline_ms, workspace
        )

    async def cancel(self):
        deadline_ms = self.clock.monotonic_ms() + 400
        return await self.job_service.cancel(ID, deadline_ms)

    def is_stored(self):
        return bool(self.store.tables.read(JOBS, ID).version)


@pytest.fixture
def service():
    return ServiceSetup()


async def test_accepted_job_is_stored(service):
    assert await service.submit() is None
    assert service.is_stored()
    assert await service.job_service.read_status(ID) == JobStatus(
        JobState.queued
    )


async def test_repeated_submission_remains_one_job(service):
    await service.submit()
    first = service.store.tables.read(JOBS, ID)
    assert await service.submit() is None
    assert service.store.tables.read(JOBS, ID) == first


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_lost_answer_is_resolved_by_a_repeat(service, fault):
    service.store.fail_next_commits = [fault]
    assert await service.submit() is None
    assert service.is_stored()


async def test_outcome_stays_unknown_when_the_time_is_up(service):
    service.store.fail_next_commits = repeated(Fault.lose_answers)
    failure = await service.submit(wait_ms=250)
    assert failure.answer.outcome is Outcome.unknown
    assert service.is_stored()


async def test_rejection_after_a_lost_answer_leaves_the_outcome_unknown(
    service,
):
    service.store.fail_next_commits = [
        Fault.lose_answers,
        *repeated(Fault.down),
    ]
    failure = await service.submit(wait_ms=250)
    assert failure.answer.outcome is Outcome.unknown


async def test_rejected_job_is_not_stored_and_may_be_repeated(service):
    service.store.fail_next_commits = [Fault.down]
    failure = await service.submit()
    assert failure.answer.outcome is Outcome.not_run
    assert failure.answer.retry_after_ms
    assert not service.is_stored()


async def test_nothing_is_tried_while_the_store_is_lost(service):
    service.is_store_lost = True
    failure = await service.submit()
    assert failure.kind is ErrorKind.store_unavailable
    assert not service.store.tables.history


async def test_cancel_of_an_unknown_job_fails(service):
    failure = await service.cancel()
    assert failure.kind is ErrorKind.not_found


async def test_cancel_of_a_stored_job_is_stored(service):
    await service.submit()
    assert await service.cancel() is None
    assert service.store.tables.read(CANCELS, ID).version


async def test_submission_after_the_answered_cancel_is_never_stored(service):
    """Guards against a job that a frozen daemon stores after its cancel."""
    await service.cancel()
    failure = await service.submit()
    assert failure.kind is ErrorKind.cancelled
    assert failure.answer.outcome is Outcome.not_run
    assert not service.is_stored()
    assert (await service.cancel()).kind is ErrorKind.not_found


async def test_repeated_submission_of_a_cancelled_job_is_the_same_job(service):
    await service.submit()
    await service.cancel()
    assert await service.submit() is None


async def test_late_write_of_the_store_does_not_undo_a_cancel(
    service, monkeypatch
):
    """Guards against a store that applies a lost call seconds later."""
    late = []
    commit = service.store.commit

    async def hold_back(transaction):
        if transaction.writes[0].table == JOBS:
            late.append(transaction)
            return Failure(ErrorKind.store_outcome_unknown, 'no answer')
        return await commit(transaction)

    monkeypatch.setattr(service.store, 'commit', hold_back)
    failure = await service.submit(wait_ms=250)
    assert failure.answer.outcome is Outcome.unknown
    await service.cancel()
    for transaction in late:
        await commit(transaction)
    assert late
    assert not service.is_stored()


async def test_cancel_ends_the_doubt_about_an_earlier_insert(service):
    service.store.fail_next_commits = [Fault.lose_requests]
    service.store.tables.commit(
        Transaction((), (Write(CANCELS, ID, {'cancelled_at_ms': 1}),))
    )
    failure = await service.submit()
    assert failure.kind is ErrorKind.cancelled


async def test_stored_cancel_is_acknowledged_although_the_job_is_unread(
    service, monkeypatch
):
    async def fail(table, key):
        return Failure(ErrorKind.store_unavailable, 'down')

    monkeypatch.setattr(service.store, 'read', fail)
    assert await service.cancel() is None
    assert service.store.tables.read(CANCELS, ID).version


async def test_cancel_that_is_not_stored_is_not_acknowledged(service):
    service.store.fail_next_commits = repeated(Fault.down)
    failure = await service.cancel()
    assert failure.kind is ErrorKind.store_unavailable


@pytest.mark.parametrize('state', list(JobState))
async def test_state_comes_from_the_store(service, state):
    row = {'state': state.value, 'steps': []}
    service.store.tables.commit(Transaction((), (Write(PROGRESS, ID, row),)))
    assert await service.job_service.read_status(ID) == JobStatus(state)


async def test_state_of_an_unknown_job_fails(service):
    failure = await service.job_service.read_status(ID)
    assert failure.kind is ErrorKind.not_found


async def test_failed_read_is_not_reported_as_an_unknown_job(service):
    service.store.fault = Fault.down
    failure = await service.job_service.read_status(ID)
    assert failure.kind is ErrorKind.store_unavailable


def test_pending_count_comes_from_the_heartbeat(service):
    assert service.job_service.count_pending('batch') == 3
    assert service.job_service.count_pending('other') == 0


def test_queue_with_the_longest_prefix_is_found(service):
    wide = Queue(RUN.terms, 'h.example', '/')
    service.job_service.config = QueueConfig(
        ConfigVersion(1), (wide, QUEUE), 100
    )
    assert service.job_service.find_queue('h.example', '/batch/x') is QUEUE
    assert service.job_service.find_queue('h.example', '/other') is wide
    assert isinstance(
        service.job_service.find_queue('g.example', '/batch/x'), Failure
    )


def test_find_fails_without_a_configuration(service):
    failure = service.job_service.find_queue('h.example', '/')
    assert failure.kind is ErrorKind.no_configuration
