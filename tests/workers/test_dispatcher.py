import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest

from radishlift.core.clock import BootClock, ManualClock
from radishlift.core.ids import Attempt, Incarnation, TaskId, WorkerId
from radishlift.placement.jobs import TaskState
from radishlift.placement.orders import OrderKind
from radishlift.services.host_knowledge import HostKnowledge, SendVerdict
from radishlift.workers.client import WorkerClient
from radishlift.workers.dispatcher import Dispatcher
from radishlift.workers.leases import PreviousOwners
from radishlift.workers.messages import AttemptKey, TaskToStart
from radishlift.workers.session import (
    AttemptToRun,
    EndedAttempt,
    LiveAttempt,
)
from radishlift.workers.settings import WorkerSettings
from tests.standins.conditions import until
from tests.standins.worker import Network, WorkerStandIn
from tests.standins.worker_model import WorkerOptions

SETTINGS = WorkerSettings(
    lease_ms=300,
    report_interval_ms=20,
    retry_interval_ms=10,
    timeout_ms=100,
)
LIMIT_MS = 1_700
KEY = AttemptKey(TaskId('j/0'), Attempt(1))


@dataclass
class Events:
    seen: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    ended: list[EndedAttempt] = field(default_factory=list)
    confirmed_ended: set[AttemptKey] = field(default_factory=set)
    usage_count: int = 0

    def worker_seen(self, described):
        self.seen.append(described.incarnation)

    def worker_unreachable(self, worker_id, incarnation):
        self.unreachable.append(incarnation)

    def worker_lost(self, worker_id, incarnation):
        self.lost.append(incarnation)

    def usage_reported(self, worker_id, reports):
        self.usage_count += len(reports)

    def attempt_ended(self, ended):
        self.ended.append(ended)

    def is_confirmed_ended(self, key):
        return key in self.confirmed_ended


@dataclass
class Cell:
    worker: WorkerStandIn
    dispatcher: Dispatcher
    events: Events
    previous_owners: PreviousOwners
    clock: BootClock
    list_clock: ManualClock
    knowledge: HostKnowledge

    def run(self, run_time_ms: int = 0, *, is_inherited: bool = False) -> None:
        model = self.worker.model
        self.dispatcher.start_attempt(
            AttemptToRun(
                WorkerId(model.worker_id),
                Incarnation(model.incarnation),
                TaskToStart(
                    KEY.task_id, KEY.attempt, 100, 10, 0, run_time_ms, 'wash'
                ),
                is_inherited,
            )
        )

    async def start_and_wait(self, run_time_ms: int = 0) -> None:
        self.run(run_time_ms)
        await until(lambda: self.worker.model.record)


@asynccontextmanager
async def open_cell(
    *previous_epochs: int,
    settings: WorkerSettings = SETTINGS,
    is_listed: bool = True,
) -> AsyncIterator[Cell]:
    worker = WorkerStandIn(WorkerOptions(report_lag_ms=0))
    await worker.listen('127.0.0.1', 0)
    list_clock = ManualClock()
    knowledge = HostKnowledge(list_clock, LIMIT_MS)
    knowledge.update((), 0)
    client = WorkerClient(settings, knowledge)
    events, clock = Events(), BootClock()
    previous_owners = PreviousOwners(previous_epochs)
    dispatcher = Dispatcher(client, settings, clock, events, previous_owners)
    workers = [WorkerId(worker.model.worker_id)]
    dispatcher.set_workers(workers, workers if is_listed else [])
    loop = asyncio.create_task(dispatcher.run_forever())
    await until(lambda: events.seen)
    yield Cell(
        worker,
        dispatcher,
        events,
        previous_owners,
        clock,
        list_clock,
        knowledge,
    )
    await dispatcher.stop()
    loop.cancel()
    await client.close()
    await worker.close()


async def test_attempt_runs_ends_and_is_forgotten_once_durable():
    """Guards against a worker that forgets an end that is not journaled."""
    async with open_cell() as cell:
        await cell.start_and_wait(run_time_ms=50)
        await until(lambda: cell.events.ended)
        assert cell.events.ended[0].state is TaskState.finished
        await until(lambda: cell.worker.seen.count('/report') > 20)
        assert '/tasks/forget' not in cell.worker.seen
        cell.dispatcher.forget(KEY)
        await until(lambda: not cell.worker.model.attempts)
        assert len(cell.events.ended) == 1


async def test_renewals_outlast_the_lease():
    """Guards against leases that expire on a reachable worker."""
    async with open_cell() as cell:
        await cell.start_and_wait()
        start_ms = cell.worker.model.record[0].start_ms
        await until(lambda: cell.worker.model.host_ms() > start_ms + 1000)
        cell.worker.model.end_due_attempts()
        assert cell.worker.model.record[0].end_ms is None
        assert cell.events.usage_count


async def test_idle_worker_is_polled_seldom_until_it_gets_an_attempt(
    monkeypatch,
):
    """Guards against frequent polls of idle workers and late usage."""
    async with open_cell() as cell:
        session = next(iter(cell.dispatcher._sessions.values()))
        schedule = cell.dispatcher._poll_planner.schedule
        add = schedule.add
        pauses_ms = []

        def record_pause(planned, at_ms):
            pauses_ms.append(at_ms - cell.clock.monotonic_ms())
            add(planned, at_ms)

        monkeypatch.setattr(schedule, 'add', record_pause)
        # The pause after the first answer is random.
        await until(lambda: len(pauses_ms) > 2 and not session.poll.is_running)
        assert min(pauses_ms[1:]) > 2 * SETTINGS.report_interval_ms
        cell.run()
        latest_ms = cell.clock.monotonic_ms() + SETTINGS.report_interval_ms
        assert session.poll.next_ms <= latest_ms


async def test_lost_answer_to_a_start_runs_it_once():
    """Guards against a second execution after an unknown outcome."""
    async with open_cell() as cell:
        cell.worker.set_network(Network.lose_answers)
        await cell.start_and_wait()
        cell.worker.set_network(Network.normal)
        seen_count = len(cell.worker.seen)
        await until(lambda: len(cell.worker.seen) > seen_count + 10)
        assert len(cell.worker.model.record) == 1
        assert not cell.events.ended


async def test_restarted_worker_ends_its_attempts():
    """Guards against attempts that wait for a worker's old incarnation."""
    async with open_cell() as cell:
        await cell.start_and_wait()
        old_incarnation = cell.worker.model.incarnation
        cell.worker.model.restart()
        await until(lambda: cell.events.ended)
        assert cell.events.lost == [old_incarnation]
        await until(lambda: cell.events.seen[-1] != old_incarnation)


async def test_own_attempt_on_a_hung_worker_ends_after_its_lease():
    """Guards against an end before the worker has stopped the task."""
    async with open_cell() as cell:
        await cell.start_and_wait()
        cell.worker.set_network(Network.hang)
        await until(lambda: cell.events.ended)
        now_ms = cell.worker.model.host_ms()
        record = cell.worker.worker_record()
        assert record.executions[0].last_ms <= now_ms
        assert cell.events.unreachable


async def test_inherited_attempt_waits_for_evidence_about_previous_owners():
    """Guards against ending a lease that a paused owner may still renew.

    Time alone must not end it: a paused owner renews once it resumes.
    """
    async with open_cell(1) as cell:
        cell.worker.set_network(Network.hang)
        await until(lambda: cell.events.unreachable)
        cell.run(is_inherited=True)
        begin_ms = cell.clock.monotonic_ms()
        await until(
            lambda: cell.clock.monotonic_ms() > begin_ms + SETTINGS.lease_ms * 3
        )
        assert not cell.events.ended
        stopped_ms = cell.clock.monotonic_ms()
        cell.previous_owners.observe_stopped(1, stopped_ms, SETTINGS.lease_ms)
        await until(lambda: cell.events.ended)
        assert cell.clock.monotonic_ms() >= stopped_ms + SETTINGS.lease_ms


async def test_start_that_was_never_sent_ends_at_once():
    """Guards against urgent tasks that wait for a lease they never got."""
    async with open_cell() as cell:
        await cell.worker.close()
        await until(lambda: cell.events.unreachable)
        cell.run()
        await until(lambda: cell.events.ended)
        assert cell.events.ended[0].state is TaskState.queued


@pytest.mark.parametrize('is_known', [True, False])
async def test_only_confirmed_ended_attempts_are_stopped(is_known):
    """Guards against stopping the tasks of another partition."""
    async with open_cell() as cell:
        if is_known:
            cell.events.confirmed_ended.add(KEY)
        model = cell.worker.model
        model.start(
            {
                'incarnation': model.incarnation,
                'lease_until_ms': model.clock_ms() + 10**6,
                'task': {
                    'task_id': KEY.task_id,
                    'attempt': KEY.attempt,
                    'cpu_milli': 1,
                    'memory_mb': 1,
                    'accelerators': 0,
                    'run_time_ms': 0,
                    'name': 'other',
                },
            }
        )
        seen_count = len(cell.worker.seen)
        await until(lambda: len(cell.worker.seen) > seen_count + 10)
        assert (model.record[0].end_ms is not None) is is_known


async def test_stop_and_throttle_reach_a_running_attempt():
    """Guards against orders that are lost or replaced by other orders."""
    async with open_cell() as cell:
        await cell.start_and_wait()
        cell.dispatcher.send_order(KEY, OrderKind.throttle)
        attempt = cell.worker.model.attempts[KEY.task_id, KEY.attempt]
        await until(lambda: attempt.is_throttled)
        cell.dispatcher.send_order(KEY, OrderKind.stop)
        await until(lambda: cell.events.ended)
        assert cell.events.ended[0].state is TaskState.cancelled


async def test_worker_removed_from_the_host_list_ends_its_attempts():
    """Guards against capacity that stays committed on a removed host."""
    async with open_cell() as cell:
        await cell.start_and_wait()
        cell.dispatcher.set_workers([], [])
        assert [ended.state for ended in cell.events.ended] == [
            TaskState.queued
        ]
        assert cell.events.lost == [cell.worker.model.incarnation]


async def wait_for_polls(cell, count=5):
    seen_count = cell.worker.seen.count('/report')
    await until(lambda: cell.worker.seen.count('/report') > seen_count + count)


def mark_worker_leaving(cell):
    worker_id = cell.worker.model.worker_id
    cell.knowledge.update((worker_id,), cell.list_clock.monotonic_ms())


async def test_start_waits_for_a_recent_host_list():
    """Guards against a start on a worker that may be leaving."""
    async with open_cell() as cell:
        cell.list_clock.advance(LIMIT_MS + 1)
        cell.run()
        await wait_for_polls(cell)
        assert '/tasks/start' not in cell.worker.seen
        assert not cell.events.ended
        cell.knowledge.update((), cell.list_clock.monotonic_ms())
        await until(lambda: cell.worker.model.record)


async def test_start_that_waited_for_a_connection_is_checked_again():
    """Guards against a start that is sent long after its check.

    While it waits for a connection, the host list may become outdated.
    """
    async with open_cell() as cell:
        check, verdicts = cell.knowledge.check, []

        def check_and_pause(address):
            verdicts.append(check(address))
            cell.list_clock.advance(LIMIT_MS + 1)
            return verdicts[-1]

        cell.knowledge.check = check_and_pause
        cell.run()
        await until(lambda: len(verdicts) > 1)
        assert verdicts[:2] == [SendVerdict.allowed, SendVerdict.outdated]
        await wait_for_polls(cell)
        assert '/tasks/start' not in cell.worker.seen
        # It was certainly not sent, so a leaving worker needs no stop.
        cell.knowledge.check = check
        mark_worker_leaving(cell)
        await until(lambda: cell.events.ended)
        assert '/tasks/stop' not in cell.worker.seen


async def test_committed_start_is_cancelled_for_a_leaving_worker():
    """Guards against a late start and a task that waits for ever."""
    async with open_cell() as cell:
        mark_worker_leaving(cell)
        cell.run()
        await until(lambda: cell.events.ended)
        assert cell.events.ended[0].state is TaskState.queued
        assert not {'/tasks/start', '/tasks/stop'} & set(cell.worker.seen)


async def test_start_that_may_have_been_sent_leaves_a_tombstone():
    """Guards against a lost start that arrives after the worker has left."""
    async with open_cell() as cell:
        mark_worker_leaving(cell)
        cell.run(is_inherited=True)
        await until(lambda: cell.events.ended)
        assert '/tasks/start' not in cell.worker.seen
        key = (KEY.task_id, KEY.attempt)
        assert key in cell.worker.model.tombstones
        assert cell.events.ended[0].state is TaskState.cancelled


@pytest.mark.parametrize('is_leaving', [False, True])
async def test_running_attempt_outlives_an_outage_of_the_host_list(is_leaving):
    """Guards against ending tasks that started before the outage."""
    async with open_cell() as cell:
        await cell.start_and_wait()
        cell.list_clock.advance(LIMIT_MS + 1)
        if is_leaving:
            mark_worker_leaving(cell)
        renewed_count = cell.worker.seen.count('/tasks/renew')
        await until(
            lambda: cell.worker.seen.count('/tasks/renew') > renewed_count + 5
        )
        assert not cell.events.ended
        cell.dispatcher.send_order(KEY, OrderKind.stop)
        await until(lambda: cell.events.ended)


def test_report_from_before_the_end_of_a_start_proves_no_absence():
    """Guards against a stop of an attempt that just started.

    A report that was requested while the start was in flight may not list it.
    """
    attempt = LiveAttempt(None, is_sent=True, answered_at_ms=10)
    attempt.mark_absent(requested_at_ms=10)
    assert not attempt.is_absent
    attempt.is_in_flight = True
    attempt.mark_absent(requested_at_ms=11)
    assert not attempt.is_absent
    attempt.is_in_flight = False
    attempt.mark_absent(requested_at_ms=11)
    assert attempt.is_absent


async def test_end_of_an_attempt_is_forgotten_after_its_worker_was_relisted():
    """Guards against an error that drops later effects of the journal."""
    async with open_cell() as cell:
        await cell.start_and_wait()
        workers = [WorkerId(cell.worker.model.worker_id)]
        cell.dispatcher.set_workers([], [])
        assert cell.events.ended
        cell.dispatcher.set_workers(workers, workers)
        cell.dispatcher.forget(KEY)


async def test_stop_is_ignored_after_the_worker_of_its_attempt_was_relisted():
    """Guards against an error that drops later effects of the journal."""
    async with open_cell() as cell:
        await cell.start_and_wait()
        workers = [WorkerId(cell.worker.model.worker_id)]
        cell.dispatcher.set_workers([], [])
        cell.dispatcher.set_workers(workers, workers)
        cell.dispatcher.send_order(KEY, OrderKind.stop)


async def test_late_answer_of_an_earlier_process_extends_no_lease(monkeypatch):
    """Guards against a task that runs on after its owner counts it as ended."""
    async with open_cell() as cell:
        model = cell.worker.model
        # The clock of the earlier process is far ahead.
        model.offset_ms += 10**10
        await wait_for_polls(cell)
        client = cell.dispatcher._attempts._client
        start = client.start

        async def delay_answer(worker_id, message):
            reply = await start(worker_id, message)
            model.restart()
            await until(lambda: cell.events.lost)
            return reply

        with monkeypatch.context() as patch:
            patch.setattr(client, 'start', delay_answer)
            cell.run()
            await until(lambda: cell.events.ended)
            await wait_for_polls(cell)
        cell.dispatcher.forget(KEY)
        cell.run()
        await until(lambda: len(model.record) == 2)
        await wait_for_polls(cell)
        cell.worker.set_network(Network.hang)
        await until(lambda: len(cell.events.ended) == 2)
        now_ms = model.host_ms()
        assert cell.worker.worker_record().executions[1].last_ms <= now_ms


async def test_worker_newer_than_the_host_list_keeps_its_attempts():
    """Guards against a second run while the host list can't be read."""
    settings = replace(SETTINGS, host_list_lag_ms=20)
    async with open_cell(settings=settings, is_listed=False) as cell:
        await cell.start_and_wait()
        workers = [WorkerId(cell.worker.model.worker_id)]
        await wait_for_polls(cell)
        cell.dispatcher.set_workers(workers, [])
        assert not cell.events.ended
        read_at_ms = cell.clock.monotonic_ms()
        cell.knowledge.update((), cell.list_clock.monotonic_ms(), read_at_ms)
        cell.dispatcher.set_workers(workers, [])
        assert cell.events.ended
