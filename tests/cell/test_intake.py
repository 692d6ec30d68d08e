"""Tests of what an entry daemon does for callers."""

import pytest

from radishlift.cell.clock import BootClock
from radishlift.cell.entry_rows import RelayedRows, StoreRows
from radishlift.cell.intake import Intake
from radishlift.cell.queues import Queue, QueueConfig
from radishlift.cell.tables import JOBS, PROGRESS
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


class Entry:
    """An intake with a store that a test can fail."""

    def __init__(self) -> None:
        self.store = MemoryCellStore()
        self.clock = BootClock()
        self.is_store_lost = False
        self.pulse = {'pending': {'batch': 3}}
        self.intake = Intake(
            RelayedRows(
                StoreRows(self.store),
                PeerNetwork(DaemonId('d1')),
                lambda: self.is_store_lost,
                self.clock,
            ),
            self.clock,
            lambda: self.pulse,
        )

    async def submit(self, wait_ms=400):
        deadline_ms = self.clock.monotonic_ms() + wait_ms
        return await self.intake.submit(QUEUE, RUN.spec, deadline_ms)

    def is_stored(self):
        return bool(self.store.tables.read(JOBS, ID).version)


@pytest.fixture
def entry():
    return Entry()


async def test_accepted_job_is_stored(entry):
    assert await entry.submit() is None
    assert entry.is_stored()
    assert await entry.intake.state(ID) is JobState.queued


async def test_repeated_submission_remains_one_job(entry):
    await entry.submit()
    first = entry.store.tables.read(JOBS, ID)
    assert await entry.submit() is None
    assert entry.store.tables.read(JOBS, ID) == first


@pytest.mark.parametrize('fault', [Fault.lose_answers, Fault.lose_requests])
async def test_lost_answer_is_settled_by_a_repeat(entry, fault):
    entry.store.fail_next_commits = [fault]
    assert await entry.submit() is None
    assert entry.is_stored()


async def test_outcome_stays_unknown_when_the_time_is_up(entry):
    entry.store.fail_next_commits = repeated(Fault.lose_answers)
    failure = await entry.submit(wait_ms=250)
    assert failure.answer.outcome is Outcome.unknown
    assert entry.is_stored()


async def test_refusal_after_a_lost_answer_is_no_proof(entry):
    entry.store.fail_next_commits = [Fault.lose_answers, *repeated(Fault.down)]
    failure = await entry.submit(wait_ms=250)
    assert failure.answer.outcome is Outcome.unknown


async def test_refused_job_is_not_stored_and_may_come_again(entry):
    entry.store.fail_next_commits = [Fault.down]
    failure = await entry.submit()
    assert failure.answer.outcome is Outcome.not_run
    assert failure.answer.retry_after_ms
    assert not entry.is_stored()


async def test_nothing_is_tried_while_the_store_is_lost(entry):
    entry.is_store_lost = True
    failure = await entry.submit()
    assert failure.kind is ErrorKind.store_unavailable
    assert not entry.store.tables.history


async def test_cancel_of_an_unknown_job_is_told(entry):
    deadline_ms = entry.clock.monotonic_ms() + 400
    failure = await entry.intake.cancel(ID, deadline_ms)
    assert failure.kind is ErrorKind.not_found
    await entry.submit()
    assert await entry.intake.cancel(ID, deadline_ms) is None


@pytest.mark.parametrize('state', list(JobState))
async def test_state_is_that_of_the_store(entry, state):
    row = {'state': state.value, 'steps': []}
    entry.store.tables.commit(Transaction((), (Write(PROGRESS, ID, row),)))
    assert await entry.intake.state(ID) is state


async def test_unknown_job_is_told(entry):
    failure = await entry.intake.state(ID)
    assert failure.kind is ErrorKind.not_found


async def test_unread_store_is_not_taken_for_an_unknown_job(entry):
    entry.store.fault = Fault.down
    failure = await entry.intake.state(ID)
    assert failure.kind is ErrorKind.store_unavailable


def test_count_is_that_of_the_pulse(entry):
    assert entry.intake.pending('batch') == 3
    assert entry.intake.pending('other') == 0


def test_longest_prefix_of_the_host_finds_the_queue(entry):
    wide = Queue(RUN.terms, 'h.example', '/')
    entry.intake.config = QueueConfig(ConfigVersion(1), (wide, QUEUE), 100)
    assert entry.intake.find('h.example', '/batch/x') is QUEUE
    assert entry.intake.find('h.example', '/other') is wide
    assert isinstance(entry.intake.find('g.example', '/batch/x'), Failure)


def test_daemon_without_configuration_refuses(entry):
    failure = entry.intake.find('h.example', '/')
    assert failure.kind is ErrorKind.no_configuration
