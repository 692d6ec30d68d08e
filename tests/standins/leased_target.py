"""Stand-in of a target with leases, crashes and a record of its attempts."""

import asyncio
import time
from dataclasses import dataclass

from tests.standins.target_api import TargetApi

TASK_S = 0.6
STOP_S = 0.1
MAX_LEASE_MS = 6000
# The clock of a restarted target is far behind that of its earlier life.
FIRST_UPTIME_S = 600


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
    """A target that ends its attempts when its lease expires."""

    def __init__(self, target_id) -> None:
        self.runs = []
        super().__init__(task_s=TASK_S, stop_s=STOP_S, target_id=target_id)
        self._life_began_s -= FIRST_UPTIME_S

    def begin_life(self):
        self.until_ms = 0
        super().begin_life()

    def crash(self):
        self._drop_unacknowledged_ends()
        for run in self.runs:
            if run.ended_s is None:
                run.ended_s = time.monotonic()
                run.how = 'crashed'
        super().crash()

    async def run_start(self, body):
        task, attempt = body['task'], body['attempt']
        before = self.running.get(task)
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
            if not self.is_down and self.clock_ms() > self.until_ms:
                self._drop_unacknowledged_ends()
                for task, attempt in tuple(self.running.items()):
                    self._end(task, attempt, 'lapsed')

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
        if self.running.get(task) == attempt:
            for run in self.runs:
                if run.task == task and run.ended_s is None:
                    run.ended_s = time.monotonic()
                    run.how = outcome
        super()._end(task, attempt, outcome)
