"""Stand-in of a target that records its runs while it may be paused."""

import heapq
import json
import time
from pathlib import Path

from tests.standins.target_api import TargetApi

STOP_S = 0.1
MAX_LEASE_MS = 6000


class Record:
    """Appends events as lines of JSON, with times of CLOCK_MONOTONIC."""

    def __init__(self, path: Path) -> None:
        self._stream = path.open('a', buffering=1)

    def write(self, event, at_s, **fields):
        line = json.dumps({'event': event, 'at_s': at_s, **fields})
        self._stream.write(f'{line}\n')


class RecordedTarget(TargetApi):
    """A target that handles what became due before it handles a call.

    After a pause, its lease and its tasks end at the times at which they were
    due. With `is_expiry_late` calls may be handled before the lease is checked.
    `clock_rate` is the speed of its clock. A task's spec is its duration in
    seconds.
    """

    def __init__(
        self, target_id, record, clock_rate=1.0, *, is_expiry_late=False
    ) -> None:
        self.record = record
        self.is_expiry_late = is_expiry_late
        self._clock_rate = clock_rate
        self._due = []
        self._notable = {}
        self._until_s = 0.0
        self._at_s = time.monotonic()
        super().__init__(stop_s=STOP_S, target_id=target_id)

    def clock_ms(self):
        return int((self._at_s - self._life_began_s) * 1000 * self._clock_rate)

    def settle(self):
        """Ends what was due to end, in the order of time."""
        now_s = time.monotonic()
        while self._due and self._due[0][0] <= now_s:
            due_s, *end = heapq.heappop(self._due)
            self._expire(due_s)
            self._at_s = due_s
            self._end(*end)
        self._expire(now_s)
        self._at_s = now_s

    def update_time(self):
        if self.is_expiry_late:
            self._at_s = time.monotonic()
        else:
            self.settle()

    def leave(self):
        """Ends all runs with the process."""
        self.settle()
        for task, attempt in tuple(self.running.items()):
            self._end(task, attempt, 'left')

    async def handle(self, request):
        await request.read()
        self.update_time()
        return await super().handle(request)

    async def run_start(self, body):
        task, attempt = body['task'], body['attempt']
        before = self.running.get(task)
        is_old = attempt <= self.stopped_attempts.get(task, 0)
        self.task_s = float(body['spec'])
        answer = await super().run_start(body)
        if is_old or answer.status == 200:
            self._extend_lease(body['untilMs'])
        if answer.status == 200 and before != attempt:
            self._record_run('start', task, attempt)
        return answer

    async def hold(self, body):
        self._extend_lease(body.get('untilMs', 0))
        for number in tuple(self._notable):
            if number <= body['ackCursor']:
                self._record_run('noted', *self._notable.pop(number))
        return await super().hold(body)

    def _extend_lease(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + MAX_LEASE_MS)
        until_s = self._life_began_s + until_ms / 1000 / self._clock_rate
        self._until_s = max(self._until_s, until_s)

    def _expire(self, at_s):
        if at_s <= self._until_s:
            return
        # An end counts only if it is acknowledged before the lease expires.
        self._notable.clear()
        self._at_s = at_s if self.is_expiry_late else self._until_s
        for task, attempt in tuple(self.running.items()):
            self._end(task, attempt, 'lapsed')

    def _end_later(self, delay_s, task, attempt, outcome):
        due = self._at_s + delay_s, task, attempt, outcome
        heapq.heappush(self._due, due)

    def _end(self, task, attempt, outcome):
        if self.running.get(task) != attempt:
            return
        super()._end(task, attempt, outcome)
        self._record_run('end', task, attempt, how=outcome)
        if outcome == 'done':
            self._notable[self.number] = task, attempt

    def _record_run(self, event, task, attempt, **fields):
        self.record.write(
            event, self._at_s, task=task, attempt=attempt, **fields
        )
