"""Tests of the distribution of advice requests over daemons."""

import asyncio
import time

import pytest

from radishlift.cell.advice_dispatch import AdviceDispatcher, AdviceProxy
from radishlift.cell.ports import AdviceAnswer
from radishlift.core.clock import BootClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, JobId
from radishlift.steps.advice_queue import AdviceQueue
from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.settings import StepSettings
from radishlift.wire.network import PeerNetwork

SHORT_MS = 4
LONG_MS = 400


class SerialAdvice:
    """Handles one call of a host at a time, as the platform does."""

    def __init__(self):
        self.lock = asyncio.Lock()
        self.open_count = 0
        self.max_open_count = 0

    async def request(self, key, target_ids, timeout_ms):
        self.open_count += 1
        self.max_open_count = max(self.max_open_count, self.open_count)
        is_long = key.job_id.startswith('long')
        duration_ms = LONG_MS if is_long else SHORT_MS
        async with self.lock:
            await asyncio.sleep(duration_ms / 1000)
        self.open_count -= 1
        return AdviceAnswer((), 2000)


class FakePendingAdvice(AdviceQueue):
    """Holds requests and records when they are answered."""

    def __init__(self):
        super().__init__(StepSettings())
        self.changed = asyncio.Event()
        self.answered_s = {}
        self.failed = []

    def add_request(self, name, duration_ms, priority):
        key = StepKey(JobId(name), 0, 0)
        target_ids = (TargetId('t'),)
        self.add(AdviceRequest(key, target_ids, duration_ms, priority))
        self.changed.set()

    def store_answer(self, request, answer):
        self.answered_s[request.key.job_id] = time.monotonic()
        self.changed.set()

    def retry_later(self, request):
        self.failed.append(request.key.job_id)
        self.changed.set()


@pytest.fixture
def daemons():
    """Returns the listed daemons; calls to others than `d` fail at once."""
    return [DaemonId('d')]


@pytest.fixture
async def dispatcher(daemons):
    network = PeerNetwork(DaemonId('d'))
    advice = SerialAdvice()
    AdviceProxy(network, advice)
    pending_advice = FakePendingAdvice()
    dispatcher = AdviceDispatcher(
        network, pending_advice, lambda: daemons, BootClock()
    )
    task = asyncio.create_task(dispatcher.run())
    yield advice, pending_advice
    task.cancel()
    dispatcher.close()


async def until_answered(pending_advice, count):
    async with asyncio.timeout(3):
        while len(pending_advice.answered_s) < count:
            await asyncio.sleep(0.002)


async def test_urgent_requests_do_not_wait_for_long_requests(dispatcher):
    _, pending_advice = dispatcher
    started_s = time.monotonic()
    pending_advice.add_request('long', LONG_MS, priority=1)
    for number in range(8):
        pending_advice.add_request(f'short{number}', SHORT_MS, priority=0)
    await until_answered(pending_advice, 8)
    assert time.monotonic() - started_s < LONG_MS / 1000
    assert 'long' not in pending_advice.answered_s
    await until_answered(pending_advice, 9)


async def test_service_gets_one_request_of_a_host_at_a_time(dispatcher):
    advice, pending_advice = dispatcher
    for number in range(6):
        pending_advice.add_request(f'short{number}', SHORT_MS, priority=0)
    await until_answered(pending_advice, 6)
    assert advice.max_open_count == 1


async def test_call_that_raises_does_not_block_later_requests(
    dispatcher, monkeypatch
):
    advice, pending_advice = dispatcher
    request = advice.request

    async def raise_once(key, target_ids, timeout_ms):
        monkeypatch.setattr(advice, 'request', request)
        raise IndexError('malformed answer')

    monkeypatch.setattr(advice, 'request', raise_once)
    pending_advice.add_request('failing', SHORT_MS, priority=0)
    await asyncio.sleep(0.02)
    pending_advice.add_request('later', SHORT_MS, priority=0)
    async with asyncio.timeout(1):
        while 'later' not in pending_advice.answered_s:
            await asyncio.sleep(0.002)


async def test_dead_daemon_does_not_fail_the_requests_of_a_backlog(
    dispatcher, daemons
):
    """Guards against daemons that get a request as soon as one has failed."""
    _, pending_advice = dispatcher
    daemons.append(DaemonId('dead'))
    for number in range(20):
        pending_advice.add_request(f'short{number}', SHORT_MS, priority=0)
    async with asyncio.timeout(3):
        while len(pending_advice.answered_s) + len(pending_advice.failed) < 20:
            await asyncio.sleep(0.002)
    assert len(pending_advice.failed) == 1


async def test_failures_of_all_daemons_do_not_delay_later_requests(
    dispatcher, daemons, monkeypatch
):
    """Guards against avoiding all daemons after an outage of the service."""
    advice, pending_advice = dispatcher
    daemons.append(DaemonId('dead'))
    request = advice.request

    async def refuse(key, target_ids, timeout_ms):
        return Failure(ErrorKind.overloaded, 'outage')

    monkeypatch.setattr(advice, 'request', refuse)
    for number in range(8):
        pending_advice.add_request(f'early{number}', SHORT_MS, priority=0)
    async with asyncio.timeout(1):
        while len(pending_advice.failed) < 8:
            await asyncio.sleep(0.002)
    monkeypatch.setattr(advice, 'request', request)
    for number in range(8):
        pending_advice.add_request(f'late{number}', SHORT_MS, priority=0)
    async with asyncio.timeout(1):
        while not pending_advice.answered_s:
            await asyncio.sleep(0.002)


async def test_dead_daemons_do_not_count_as_hosts_for_long_requests(
    dispatcher, daemons
):
    """Guards against long requests on all hosts that remain."""
    _, pending_advice = dispatcher
    daemons.extend(map(DaemonId, ('dead1', 'dead2', 'dead3')))
    for number in range(3):
        pending_advice.add_request(f'probe{number}', SHORT_MS, priority=0)
    await asyncio.sleep(0.05)
    counts = []
    pop = pending_advice.pop

    def record_pop(hosts_count, long_count):
        counts.append(hosts_count)
        return pop(hosts_count, long_count)

    pending_advice.pop = record_pop
    pending_advice.add_request('later', SHORT_MS, priority=0)
    await until_answered(pending_advice, 1)
    assert set(counts) == {1}
