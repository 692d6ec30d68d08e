"""Tests of the operations for callers."""

import pytest

from radishlift.access.freshness import ConfigFreshness
from radishlift.access.gate import ANYONE, Caller, KeyGate
from radishlift.access.keys import Workspace, hash_key
from radishlift.access.settings import AccessSettings
from radishlift.cell.entry_rows import RelayedRows, StoreRows
from radishlift.cell.job_service import JobService, JobStatus
from radishlift.cell.queues import Queue, QueueConfig
from radishlift.cell.tables import CANCELS, JOBS, PROGRESS
from radishlift.core.clock import BootClock, ManualClock
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.ids import ConfigVersion, DaemonId, WorkspaceName
from radishlift.services.api import Transaction, Write
from radishlift.steps.progress import dump_progress
from radishlift.steps.runs import JobState
from radishlift.steps.workspaces import WorkspaceTerms
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

    async def submit(self, wait_ms=400, caller=ANYONE):
        deadline_ms = self.clock.monotonic_ms() + wait_ms
        return await self.job_service.submit(
            QUEUE, RUN.spec, deadline_ms, caller
        )

    async def cancel(self, caller=ANYONE):
        deadline_ms = self.clock.monotonic_ms() + 400
        return await self.job_service.cancel(ID, deadline_ms, caller)

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


W1 = Caller(WorkspaceName('w1'))
W2 = Caller(WorkspaceName('w2'))


class KeyedSetup(ServiceSetup):
    """A job service with a queue that requires a key."""

    def __init__(self) -> None:
        super().__init__()
        self.access_clock = ManualClock()
        freshness = ConfigFreshness(self.access_clock)
        freshness.confirm(0)
        self.job_service._gate = KeyGate(freshness, AccessSettings(5000))
        self.configure('k1')
        self.caller = self.job_service.identify(QUEUE, ('Bearer k1',))

    def configure(self, *keys):
        workspace = Workspace(
            WorkspaceTerms(W1.workspace), frozenset(map(hash_key, keys))
        )
        self.job_service.config = QueueConfig(
            ConfigVersion(1), (QUEUE,), 100, (workspace,)
        )


async def test_daemon_frozen_after_it_read_a_submission_does_not_store_it():
    """Guards against a key that is served after it was taken away."""
    service = KeyedSetup()
    service.access_clock.advance(6000)
    failure = await service.submit(caller=service.caller)
    assert failure.kind is ErrorKind.configuration_outdated
    assert failure.answer.outcome is Outcome.not_run
    assert not service.is_stored()


async def test_key_taken_away_while_its_submission_was_read_stores_nothing():
    service = KeyedSetup()
    service.configure('k2')
    failure = await service.submit(caller=service.caller)
    assert failure.kind is ErrorKind.unauthenticated
    assert not service.is_stored()


async def test_refusal_after_an_unknown_outcome_is_not_reported_as_not_run(
    monkeypatch,
):
    """Guards against a refusal of a job that is stored after all."""
    service = KeyedSetup()
    commit = service.store.commit

    async def freeze_after(transaction):
        outcome = await commit(transaction)
        service.access_clock.advance(6000)
        return outcome

    monkeypatch.setattr(service.store, 'commit', freeze_after)
    service.store.fail_next_commits = [Fault.lose_answers]
    failure = await service.submit(caller=service.caller)
    assert failure.answer.outcome is Outcome.unknown
    assert service.is_stored()


async def test_cancel_of_another_workspace_blocks_no_submission(service):
    """Guards against a workspace that cancels the jobs of others."""
    for caller in (W2, ANYONE):
        failure = await service.cancel(caller)
        assert failure.kind is ErrorKind.not_found
    assert await service.submit(caller=W1) is None
    assert (await service.cancel(W2)).kind is ErrorKind.not_found
    assert await service.cancel(W1) is None


async def test_submission_after_the_cancel_of_its_workspace_is_not_stored(
    service,
):
    await service.cancel(W1)
    failure = await service.submit(caller=W1)
    assert failure.kind is ErrorKind.cancelled
    assert not service.is_stored()


async def test_job_of_another_workspace_is_unknown_in_each_state(service):
    await service.submit(caller=W1)
    progress = dump_progress(RUN) | {'workspace': 'w1'}
    for writes in ((), (Write(PROGRESS, ID, progress),)):
        service.store.tables.commit(Transaction((), writes))
        status = await service.job_service.read_status(ID, W1)
        assert status == JobStatus(JobState.queued)
        for caller in (W2, ANYONE):
            failure = await service.job_service.read_status(ID, caller)
            assert failure.kind is ErrorKind.not_found


async def test_job_without_a_workspace_can_be_cancelled_with_a_key(service):
    await service.submit()
    assert await service.cancel(W1) is None
    assert service.store.tables.read(CANCELS, ID).version


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
