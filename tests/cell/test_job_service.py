"""Tests of the operations for callers."""

from dataclasses import replace

import pytest

from radishlift.access.freshness import ConfigFreshness
from radishlift.access.gate import ANYONE, Caller, KeyGate
from radishlift.access.keys import Workspace, hash_key
from radishlift.access.settings import AccessSettings
from radishlift.cell.entry_rows import RelayedRows, StoreRows
from radishlift.cell.job_service import JobService, JobStatus
from radishlift.cell.queues import Queue, QueueConfig
from radishlift.cell.tables import CANCELS, JOBS, PROGRESS, cancel_key
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

    async def submit(self, wait_ms=400, caller=ANYONE, spec=RUN.spec):
        deadline_ms = self.clock.monotonic_ms() + wait_ms
        return await self.job_service.submit(QUEUE, spec, deadline_ms, caller)

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


async def test_job_is_the_same_after_its_queue_requires_a_key(service):
    """Guards against a repeated submission that gets another answer."""
    assert await service.submit() is None
    assert await service.submit(caller=W1) is None


class ChangingSetup(ServiceSetup):
    """A job service whose routes and workspaces change."""

    def __init__(self) -> None:
        super().__init__()
        freshness = ConfigFreshness(ManualClock())
        freshness.confirm(0)
        self.job_service._gate = KeyGate(freshness, AccessSettings(5000))

    def configure(self, *, is_public=False, **workspaces):
        self.queue = replace(QUEUE, is_public=is_public)
        self.job_service.config = QueueConfig(
            ConfigVersion(1),
            (self.queue,),
            100,
            tuple(
                Workspace(
                    WorkspaceTerms(WorkspaceName(name)),
                    frozenset(map(hash_key, keys)),
                )
                for name, keys in workspaces.items()
            ),
        )

    def identify(self, key):
        headers = (f'Bearer {key}',) if key else ()
        return self.job_service.identify(self.queue, headers)

    async def call(self, key):
        """Returns the outcomes of a query, a cancel and a submission."""
        caller = self.identify(key)
        if isinstance(caller, Failure):
            return [caller.kind, caller.kind, caller.kind]
        outcomes = (
            await self.job_service.read_status(ID, caller),
            await self.cancel(caller),
            await self.submit(caller=caller),
        )
        return [
            one.kind if isinstance(one, Failure) else None for one in outcomes
        ]

    def cancelled_by(self, workspace):
        key = cancel_key(ID, WorkspaceName(workspace))
        return bool(self.store.tables.read(CANCELS, key).version)


BEFORE = {'w1': ('k1', 'k1-second'), 'w2': ('k2',)}
CHANGES = {
    'public': {**BEFORE, 'is_public': True},
    'no workspaces': {},
    'renamed': {**BEFORE, 'w1': (), 'w3': ('k1',)},
    'renamed and public': {'w3': ('k1',), 'w2': ('k2',), 'is_public': True},
    'other key': {'w1': ('k1',), 'w2': ('k2',)},
}


@pytest.mark.parametrize('change', list(CHANGES))
async def test_caller_keeps_its_job_when_routes_or_workspaces_change(change):
    """Guards against accepted jobs that are unknown to their callers."""
    service = ChangingSetup()
    service.configure(**BEFORE)
    await service.submit(caller=service.identify('k1'))
    service.configure(**CHANGES[change])
    assert await service.call('k1') == [None, None, None]
    assert service.cancelled_by('w1')


@pytest.mark.parametrize('key', ['', 'k2', 'k3'])
@pytest.mark.parametrize('change', list(CHANGES))
async def test_changes_show_and_cancel_no_job_of_others(change, key):
    """Guards against jobs of workspaces that a public queue gives away."""
    service = ChangingSetup()
    service.configure(**BEFORE)
    await service.submit(caller=service.identify('k1'))
    service.configure(**CHANGES[change])
    assert None not in await service.call(key)
    assert not service.cancelled_by('w1')


@pytest.mark.parametrize('is_public', [False, True])
async def test_key_taken_away_gives_no_access_to_jobs(is_public):
    service = ChangingSetup()
    service.configure(**BEFORE)
    await service.submit(caller=service.identify('k1'))
    service.configure(w1=('k9',), w2=('k2',), is_public=is_public)
    shown, cancelled, _ = await service.call('k1')
    assert {shown, cancelled} == {ErrorKind.unauthenticated}
    assert not service.cancelled_by('w1')


async def test_job_without_a_workspace_stays_usable_once_keys_are_required():
    service = ChangingSetup()
    service.configure()
    await service.submit(caller=service.identify(''))
    service.configure(**BEFORE)
    assert await service.call('k1') == [None, None, None]
    assert service.cancelled_by('')


@pytest.mark.parametrize('was_public', [False, True])
async def test_cancel_holds_for_a_submission_from_before_a_change(was_public):
    """Guards against a job that a frozen daemon stores after its cancel."""
    service = ChangingSetup()
    service.configure(**BEFORE, is_public=was_public)
    early = service.identify('k1')
    service.configure(**BEFORE, is_public=not was_public)
    outcome = await service.cancel(service.identify('k1'))
    assert outcome.kind is ErrorKind.not_found
    failure = await service.submit(caller=early)
    assert failure.kind is ErrorKind.cancelled


async def test_unread_job_is_not_reported_as_cancelled_by_its_owner(
    monkeypatch,
):
    """Guards against an answer that only holds for jobs of no workspace."""
    service = ChangingSetup()
    service.configure(**BEFORE)
    await service.submit(caller=service.identify('k1'))
    service.configure(**BEFORE, is_public=True)

    async def fail(table, key):
        return Failure(ErrorKind.store_unavailable, 'down')

    monkeypatch.setattr(service.store, 'read', fail)
    failure = await service.cancel(service.identify('k1'))
    assert failure.kind is ErrorKind.store_unavailable


async def test_no_key_is_judged_again_once_none_is_required():
    service = KeyedSetup()
    service.job_service.config = QueueConfig(ConfigVersion(2), (QUEUE,), 100)
    assert await service.submit(caller=service.caller) is None


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
