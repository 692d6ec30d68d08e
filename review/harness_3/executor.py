"""Stand-in of an executor: leases, fencing, stops, tickets and crashes."""

import asyncio
import time
from dataclasses import dataclass

from aiohttp import web

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.05
# Longer than any time limit of a caller.
SILENT_S = 60
RESET_S = 0.1
PAGE_ENDS = 500
CAPACITY = {'cpu': 16_000, 'memMb': 32_768, 'gpu': 0}


@dataclass
class Run:
    """One run of a task."""

    task: str
    attempt: int
    executor: str
    started_s: float
    ended_s: float | None = None
    how: str = ''
    is_noted: bool = False


class Executor:
    """One executor; `start` begins a life and `crash` ends it.

    The `spec` of a job tells how long each of its tasks runs, in
    milliseconds. While it `is_grey`, all tasks fail that it starts, after half
    of this time. Each of its tasks saves `checkpoint`.
    """

    def __init__(self, name, store, record, runs, **fields) -> None:
        self.name = name
        self.store = store
        self.record = record
        self.runs = runs
        self.fields = fields
        self.port = 0
        self.state = 'ready'
        self.ticket_for = _needs_none
        self.is_grey = False
        self.is_dark = False
        self.loses_answer_of = ''
        self.checkpoint = ''
        self.is_up = False
        self.tickets = {}
        self._runner = None
        self._site = None
        self._beats = None

    @property
    def address(self):
        """Returns the address at which it listens."""
        return f'127.0.0.1:{self.port}'

    async def start(self):
        """Begins a life: it knows nothing of earlier ones."""
        self.born_ms = time.time_ns() // 1_000_000
        self._born_s = time.monotonic()
        self.calls_count = 0
        self.fence = 0
        self.until_ms = 0
        # Whether the lease has lapsed while ends were not acknowledged.
        self._has_lapsed = False
        self.running = {}
        self.ended = []
        self.number = 0
        self.barred = {}
        self.tickets = {}
        self._changed = asyncio.Event()
        self.is_up = True
        self._runner = web.ServerRunner(
            web.Server(self._handle), shutdown_timeout=0
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, '127.0.0.1', self.port, reuse_address=True
        )
        await self._site.start()
        self.port = self._runner.addresses[0][1]
        self.record.write('executor_up', executor=self.name)
        self._beats = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._settle()),
        ]

    async def crash(self):
        """Ends the process: connections are reset and everything is lost."""
        self.is_up = False
        self.record.write(
            'executor_down', executor=self.name, running=list(self.running)
        )
        for beat in self._beats:
            beat.cancel()
        self._end_lost_runs()
        await self._close()

    async def lose_power(self, for_s):
        """Loses power: it falls silent without a reset, and starts again."""
        self.is_dark = True
        self.record.write(
            'power_lost', executor=self.name, running=list(self.running)
        )
        for beat in self._beats:
            beat.cancel()
        self._end_lost_runs()
        await asyncio.sleep(for_s)
        runner, site = self._runner, self._site
        self.is_dark = False
        await site.stop()
        await self.start()
        # What is still sent on connections of the earlier process resets them.
        await asyncio.sleep(RESET_S)
        _reset_connections(runner)

    def clock_ms(self):
        """Returns its steady clock."""
        return int((time.monotonic() - self._born_s) * 1000) + 1

    def report(self):
        """Writes its entry to the store."""
        entry = {
            'service': 's',
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'born': self.born_ms,
            'capacity': CAPACITY,
            'labels': ['a', 'r1'],
            'seq': self.clock_ms(),
            **self.fields,
        }
        self.store.put('servers', self.name, entry)

    def _end_lost_runs(self):
        for run in self.runs:
            if run.executor == self.name and run.ended_s is None:
                run.ended_s, run.how = time.monotonic(), 'crashed'

    async def _close(self):
        await self._site.stop()
        _reset_connections(self._runner)

    async def _beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _settle(self):
        while True:
            await asyncio.sleep(0.005)
            # Before the first grant there is no lease to lapse.
            is_lapsed = self.until_ms and self.clock_ms() > self.until_ms
            self._has_lapsed |= bool(is_lapsed and self.ended)
            if self.running and self.clock_ms() > self.until_ms:
                for task in tuple(self.running):
                    self._end(task, 'lapsed')
            for task, (_, end_s, how) in tuple(self.running.items()):
                if time.monotonic() >= end_s:
                    self._end(task, how)

    async def _handle(self, request):
        body = await request.json()
        if self.is_dark or not self.is_up:
            # Without power nothing is received, and nothing carried out later.
            await asyncio.sleep(SILENT_S)
            return web.Response(status=500)
        if request.headers.get('Expect-Instance', self.name) != self.name:
            return self._answer(421)
        if body.get('fencingToken', 0) < self.fence:
            return self._answer(409, reason='fence')
        self.fence = body.get('fencingToken', 0)
        name = request.path.removeprefix('/').replace('-', '_')
        self.calls_count += 1
        answer = await getattr(self, f'_{name}')(body)
        is_start = request.path == '/run-start'
        if is_start and body['task'][:16] == self.loses_answer_of:
            self.loses_answer_of = ''
            self.record.write(
                'answer_lost',
                executor=self.name,
                task=body['task'],
                attempt=body['attempt'],
            )
            await asyncio.sleep(SILENT_S)
        return answer

    async def _run_start(self, body):
        task, attempt = body['task'], body['attempt']
        if attempt <= self.barred.get(task, 0):
            self._extend(body['untilMs'])
            return self._answer(409, reason='old')
        if body['untilMs'] <= self.clock_ms():
            return self._answer(409, reason='late')
        valid_until_s = self.tickets.get(body.get('ticket', ''), 0)
        if self.ticket_for(task) and valid_until_s < time.monotonic():
            return self._answer(409, reason='ticket')
        self._extend(body['untilMs'])
        if task not in self.running:
            run_s = int(body['spec']) / 1000
            how = 'done'
            if self.is_grey:
                run_s, how = run_s / 2, 'failed'
            self.running[task] = attempt, time.monotonic() + run_s, how
            run = Run(task, attempt, self.name, time.monotonic())
            self.runs.append(run)
            self.record.write(
                'task_start', executor=self.name, task=task, attempt=attempt
            )
        return self._answer(200)

    async def _run_stop(self, body):
        task, attempt = body['task'], body['attempt']
        self.barred[task] = max(attempt, self.barred.get(task, 0))
        found = self.running.get(task)
        if found is not None and found[0] <= attempt:
            end_s = min(found[1], time.monotonic() + STOP_S)
            self.running[task] = found[0], end_s, 'stopped'
        return self._answer(200)

    async def _hold(self, body):
        # An end counts as noted only if the lease has not lapsed since.
        is_lapsed = self.clock_ms() > self.until_ms
        if 'untilMs' in body:
            self._extend(body['untilMs'])
        cursor = body['ackCursor']
        for number, task, attempt, *_ in self.ended:
            if number <= cursor and not (is_lapsed or self._has_lapsed):
                self._note(task, attempt)
        self.ended = [end for end in self.ended if end[0] > cursor]
        if not self.ended and body.get('waitMs'):
            try:
                async with asyncio.timeout(body['waitMs'] / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        rows = [
            [task, attempt, self.checkpoint, 100]
            for task, (attempt, *_) in self.running.items()
        ]
        return self._answer(
            200,
            born=self.born_ms,
            running=rows,
            finished=self.ended[:PAGE_ENDS],
        )

    def _extend(self, until_ms):
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self.until_ms = max(self.until_ms, min(until_ms, longest_ms))

    def _end(self, task, how):
        attempt, *_ = self.running.pop(task)
        self.barred[task] = max(attempt, self.barred.get(task, 0))
        self.number += 1
        saved = '' if how == 'done' else self.checkpoint
        self.ended.append([self.number, task, attempt, how, saved])
        for run in self.runs:
            is_it = (run.task, run.attempt) == (task, attempt)
            if is_it and run.executor == self.name and run.ended_s is None:
                run.ended_s, run.how = time.monotonic(), how
        self.record.write(
            'task_end',
            executor=self.name,
            task=task,
            attempt=attempt,
            how=how,
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _note(self, task, attempt):
        for run in self.runs:
            if (run.task, run.attempt) == (task, attempt):
                run.is_noted = True

    def _answer(self, status, **fields):
        body = {'clockMs': self.clock_ms(), **fields}
        return web.json_response(body, status=status)


def _reset_connections(runner):
    for connection in tuple(runner.server.connections):
        if connection.transport is not None:
            connection.transport.abort()


def _needs_none(_):
    return False
