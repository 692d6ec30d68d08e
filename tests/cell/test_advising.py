"""Tests of how questions are spread over daemons."""

import asyncio
import time

import pytest

from radishlift.cell.advising import AdviceHelper, Adviser
from radishlift.cell.clock import BootClock
from radishlift.cell.ports import AdviceAnswer
from radishlift.core.ids import DaemonId, JobId
from radishlift.steps.advice_queue import AdviceQueue
from radishlift.steps.asking import AdviceRequest
from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.settings import StepSettings
from radishlift.wire.network import PeerNetwork

SHORT_MS = 4
LONG_MS = 400


class SerialAdvice:
    """Serves one call of a host at a time, as the platform does."""

    def __init__(self):
        self.lock = asyncio.Lock()
        self.open_count = 0
        self.most_open_count = 0

    async def command_all(self, key, target_ids, timeout_ms):
        self.open_count += 1
        self.most_open_count = max(self.most_open_count, self.open_count)
        is_long = key.job_id.startswith('long')
        duration_ms = LONG_MS if is_long else SHORT_MS
        async with self.lock:
            await asyncio.sleep(duration_ms / 1000)
        self.open_count -= 1
        return AdviceAnswer((), 2000)


class FakeQuestions(AdviceQueue):
    """Holds questions and notes when they are answered."""

    def __init__(self):
        super().__init__(StepSettings())
        self.changed = asyncio.Event()
        self.answered_s = {}

    def command_all(self, name, duration_ms, priority):
        key = StepKey(JobId(name), 0, 0)
        target_ids = (TargetId('t'),)
        self.add(AdviceRequest(key, target_ids, duration_ms, priority))
        self.changed.set()

    def learn(self, request, answer):
        self.answered_s[request.key.job_id] = time.monotonic()
        self.changed.set()


@pytest.fixture
async def adviser():
    network = PeerNetwork(DaemonId('d'))
    advice = SerialAdvice()
    AdviceHelper(network, advice)
    questions = FakeQuestions()
    adviser = Adviser(network, questions, lambda: [DaemonId('d')], BootClock())
    running = asyncio.create_task(adviser.run())
    yield advice, questions
    running.cancel()
    adviser.close()


async def until_answered(questions, count):
    async with asyncio.timeout(3):
        while len(questions.answered_s) < count:
            await asyncio.sleep(0.002)


async def test_urgent_questions_do_not_wait_behind_long_ones(adviser):
    _, questions = adviser
    began_s = time.monotonic()
    questions.ask('long', LONG_MS, priority=1)
    for number in range(8):
        questions.ask(f'short{number}', SHORT_MS, priority=0)
    await until_answered(questions, 8)
    assert time.monotonic() - began_s < LONG_MS / 1000
    assert 'long' not in questions.answered_s
    await until_answered(questions, 9)


async def test_service_gets_one_question_of_a_host_at_a_time(adviser):
    advice, questions = adviser
    for number in range(6):
        questions.ask(f'short{number}', SHORT_MS, priority=0)
    await until_answered(questions, 6)
    assert advice.most_open_count == 1
