"""Stand-in of an executor, after PROTOCOL.md.

A job's `spec` says how long its tasks take: `run MS`, `run MS fail` for tasks
that fail at their end, `run MS0 MS1 ...` for one duration per task index.
"""

import asyncio
import random
import time
from dataclasses import dataclass

from aiohttp import web

PAGE_ENDS = 500
HOLD_MAX_MS = 6000
STOP_S = 0.2
HEARTBEAT_S = 1.5
MAX_WAIT_MS = 2000


@dataclass
class Run:
    """One run of a task; times are monotonic seconds of this machine."""

    executor: str
    life: int
    task: str
    attempt: int
    fence: int
    started_s: float
    ended_s: float | None = None
    how: str = ''
    noted_s: float | None = None
    number: int = 0
    has_lapsed: bool = False


class Executor:
    """Runs tasks on orders, under a lease; `runs` is shared by all."""

    def __init__(self, executor_id, runs, cpu=32_000, memory_mb=131_072):
        self.executor_id = executor_id
        self.runs = runs
        self.capacity = {'cpu': cpu, 'memMb': memory_mb, 'gpu': 0}
        self.state = 'ready'
        self.remaining_ms = 0
        self.address = ''
        self.life = 0
        self.sequence = 0
        self.is_up = False
        self.over_capacity = []
        self._tasks = set()
        self.boot()

    def boot(self):
        """Begins a life that knows nothing of earlier ones."""
        self.life += 1
        self.is_up = True
        self.state = 'ready'
        self.born_ms = time.time_ns() // 1_000_000
        self._clock_from_s = time.monotonic() - random.uniform(100, 900)
        self.fence = 0
        self.until_ms = 0
        self.running = {}
        self.finished = []
        self.blocked = {}
        self.number = 0
        self.sequence = 0
        self._changed = asyncio.Event()

    def crash(self):
        """Ends the process and all that runs on it."""
        self.is_up = False
        now_s = time.monotonic()
        for run in self.running.values():
            run.ended_s, run.how = now_s, 'crashed'
        self.running.clear()
        self._notify()

    def entry(self):
        """Returns the executor's entry in the store."""
        self.sequence += 1
        fields = {
            'service': 'svc',
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'seq': self.sequence,
            'born': self.born_ms,
            'capacity': self.capacity,
            'labels': ['a', 'r1-1'],
        }
        if self.state == 'draining':
            fields['remainingMs'] = self.remaining_ms
        return fields

    def clock_ms(self):
        """Returns the executor's steady clock."""
        return int((time.monotonic() - self._clock_from_s) * 1000)

    async def expire_leases(self):
        """Kills everything when the lease expires."""
        while True:
            await asyncio.sleep(0.01)
            if self.is_up and self.clock_ms() > self.until_ms:
                for _, run in self.finished:
                    run.has_lapsed = True
                for task in list(self.running):
                    self._end(self.running[task], 'lapsed')

    async def handle(self, request):
        """Answers one order."""
        body = await request.json()
        if not self.is_up:
            request.transport.abort()
            return web.Response(status=503)
        if request.headers.get('Expect-Instance', self.executor_id) != (
            self.executor_id
        ):
            return self._answer(421)
        fence = body.get('fencingToken', 0)
        if fence < self.fence:
            return self._answer(409, reason='fence')
        self.fence = fence
        calls = {
            '/run-start': self._start,
            '/run-stop': self._stop,
            '/hold': self._hold,
        }
        return await calls[request.path](body)

    async def _start(self, body):
        task, attempt = body['task'], body['attempt']
        if attempt <= self.blocked.get(task, 0):
            self._extend(body['untilMs'])
            return self._answer(409, reason='old')
        known = self.running.get(task)
        if known is not None and known.attempt == attempt:
            self._extend(body['untilMs'])
            return self._answer(200)
        if body['untilMs'] <= self.clock_ms():
            return self._answer(409, reason='late')
        self._extend(body['untilMs'])
        run = Run(
            self.executor_id,
            self.life,
            task,
            attempt,
            body.get('fencingToken', 0),
            time.monotonic(),
        )
        self.runs.append(run)
        self.running[task] = run
        self._later(self._finish(run, body['spec']))
        return self._answer(200)

    async def _finish(self, run, spec):
        words = spec.split()
        is_failing = words[-1] == 'fail'
        times_ms = [int(word) for word in words[1:] if word.isdecimal()]
        index = int(run.task.rpartition('.')[2])
        await asyncio.sleep(times_ms[index % len(times_ms)] / 1000)
        self._end(run, 'failed' if is_failing else 'done')

    async def _stop(self, body):
        task, attempt = body['task'], body['attempt']
        self.blocked[task] = max(attempt, self.blocked.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.attempt <= attempt:
            self._later(self._end_soon(run))
        return self._answer(200)

    async def _end_soon(self, run):
        await asyncio.sleep(STOP_S * random.uniform(0.2, 0.9))
        self._end(run, 'stopped')

    async def _hold(self, body):
        self._extend(body.get('untilMs', 0))
        cursor = body['ackCursor']
        now_s = time.monotonic()
        for _, run in self.finished:
            if run.number <= cursor and not run.has_lapsed:
                run.noted_s = now_s
        self.finished = [
            pair for pair in self.finished if pair[1].number > cursor
        ]
        wait_ms = min(body.get('waitMs', 0), MAX_WAIT_MS)
        until_s = now_s + wait_ms / 1000
        life = self.life
        while not self.finished and self.is_up and life == self.life:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        if not self.is_up or life != self.life:
            return web.Response(status=503)
        return self._answer(
            200,
            born=self.born_ms,
            running=[
                [run.task, run.attempt, '', 100]
                for run in self.running.values()
            ],
            finished=[row for row, _ in self.finished[:PAGE_ENDS]],
        )

    def _extend(self, until_ms):
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self.until_ms = max(self.until_ms, min(until_ms, longest_ms))

    def _end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        run.ended_s, run.how = time.monotonic(), how
        self.number += 1
        run.number = self.number
        self.blocked[run.task] = max(run.attempt, self.blocked.get(run.task, 0))
        row = [self.number, run.task, run.attempt, how, '']
        self.finished.append((row, run))
        self._notify()

    def _later(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, status, **fields):
        body = {'clockMs': self.clock_ms(), **fields}
        return web.json_response(body, status=status)
