"""Stand-in of a target with leases, crashes and a record of its attempts."""

import asyncio
import random
import time
from dataclasses import dataclass

from tests.standins.target_api import TargetApi

TASK_S = 0.6
# Some tasks run for longer than a lease.
LONG_TASK_S = (2.0, 8.0)
LONG_TASKS_SHARE = 0.06
STOP_S = 0.1
MAX_LEASE_MS = 6000
# The clock of a restarted target is far behind that of its earlier life.
FIRST_UPTIME_S = 600
SLOWEST_CLOCK_RATE = 0.98
LATE_CALL_S = (2.0, 12.0)


@dataclass
class Execution:
    """One attempt of a task as recorded by its target.

    `attempts_count` is how many attempts the target had, this one included.
    """

    task: str
    attempt: int
    attempts_count: int
    started_s: float
    ended_s: float | None = None
    how: str = ''


class LeasedTarget(TargetApi):
    """A target that ends its attempts when its lease expires.

    Its clock may be slow. With `late_calls_share` so many calls get no answer
    and are carried out seconds later, unless the process has ended.
    """

    lives_count = 0

    def __init__(self, target_id) -> None:
        self.runs = []
        self.late_calls_share = 0.0
        self.late_calls_count = 0
        self._clock_rate = random.uniform(SLOWEST_CLOCK_RATE, 1)
        super().__init__(task_s=TASK_S, stop_s=STOP_S, target_id=target_id)
        self._life_began_s -= FIRST_UPTIME_S

    def begin_life(self):
        self.lives_count += 1
        self.until_ms = 0
        super().begin_life()

    def clock_ms(self):
        uptime_s = time.monotonic() - self._life_began_s
        return int(uptime_s * 1000 * self._clock_rate)

    def crash(self):
        self._expire_lease()
        self._drop_unacknowledged_ends()
        for run in self.runs:
            if run.ended_s is None:
                run.ended_s = time.monotonic()
                run.how = 'crashed'
        super().crash()

    async def handle(self, request):
        if random.random() >= self.late_calls_share:
            self._expire_lease()
            return await super().handle(request)
        life = self.lives_count
        await request.read()
        self.late_calls_count += 1
        try:
            await asyncio.sleep(random.uniform(*LATE_CALL_S))
            if life == self.lives_count:
                self._expire_lease()
                await super().handle(request)
        finally:
            self.late_calls_count -= 1
        if request.transport is not None:
            request.transport.abort()
        return self._answer(503)

    async def run_start(self, body):
        task, attempt = body['task'], body['attempt']
        before = self.running.get(task)
        is_long = random.random() < LONG_TASKS_SHARE
        self.task_s = random.uniform(*LONG_TASK_S) if is_long else TASK_S
        is_old = attempt <= self.stopped_attempts.get(task, 0)
        answer = await super().run_start(body)
        if is_old or answer.status == 200:
            self._extend_lease(body['untilMs'])
        if answer.status == 200 and before != attempt:
            self.runs.append(
                Execution(task, attempt, len(self.running), time.monotonic())
            )
        return answer

    async def hold(self, body):
        self._extend_lease(body.get('untilMs', 0))
        return await super().hold(body)

    async def expire_leases(self):
        """Ends all attempts whenever the lease has expired."""
        while True:
            await asyncio.sleep(0.02)
            self._expire_lease()

    def _expire_lease(self):
        if not self.is_down and self.clock_ms() > self.until_ms:
            self._drop_unacknowledged_ends()
            for task, attempt in tuple(self.running.items()):
                self._end(task, attempt, 'lapsed')

    def _lease_end_s(self):
        until_s = self.until_ms / 1000 / self._clock_rate
        return self._life_began_s + until_s

    def _extend_lease(self, until_ms):
        longest_ms = self.clock_ms() + MAX_LEASE_MS
        self.until_ms = max(self.until_ms, min(until_ms, longest_ms))

    def _drop_unacknowledged_ends(self):
        # An end counts only if it is acknowledged before the lease expires.
        ended = {(task, attempt) for _, task, attempt, *_ in self.ended}
        for run in self.runs:
            if run.how == 'done' and (run.task, run.attempt) in ended:
                run.how = 'done_unacknowledged'

    def _end(self, task, attempt, outcome):
        ended_s = self._lease_end_s()
        if outcome != 'lapsed':
            self._expire_lease()
            ended_s = time.monotonic()
        if self.running.get(task) == attempt:
            for run in self.runs:
                if run.task == task and run.ended_s is None:
                    run.ended_s = ended_s
                    run.how = outcome
        super()._end(task, attempt, outcome)
