"""Tests of the senders of a worker's queue."""

import asyncio

from radishlift.core.ids import Attempt, Incarnation, TaskId, WorkerId
from radishlift.workers.messages import TaskToStart
from radishlift.workers.senders import Senders, TaskGroup
from radishlift.workers.session import (
    AttemptToRun,
    LiveAttempt,
    WorkerSession,
)

WORKER = WorkerId('127.0.0.1:1')


class Exchange:
    """Raises for the first attempts; records the others."""

    def __init__(self, failures_count):
        self.failures_count = failures_count
        self.sent = []

    async def send_pending(self, session, attempt):
        await asyncio.sleep(0.001)
        if self.failures_count:
            self.failures_count -= 1
            raise ValueError('unexpected')
        self.sent.append(attempt)


def make_attempt(number):
    task = TaskToStart(TaskId(f'j/{number}'), Attempt(1), 100, 10, 0, 0, 'wash')
    return LiveAttempt(AttemptToRun(WORKER, Incarnation('i'), task))


async def test_failing_sends_do_not_leave_others_in_the_queue():
    exchange = Exchange(failures_count=4)
    tasks = TaskGroup()
    senders = Senders(exchange, tasks, lambda session: None)
    session = WorkerSession(WORKER, 0)
    attempts = [make_attempt(number) for number in range(6)]
    for _ in range(3):
        # A poll enqueues all attempts that are not confirmed.
        for attempt in attempts:
            senders.enqueue(session, attempt)
        await asyncio.sleep(0.05)
    await tasks.close()
    assert {id(attempt) for attempt in attempts} == {
        id(attempt) for attempt in exchange.sent
    }
