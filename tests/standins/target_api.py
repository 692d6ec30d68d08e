"""Stand-ins of a target and of the advice service over HTTP."""

import asyncio
import time

from aiohttp import web

PAGE_ENDS = 500


class TargetApi:
    """A target whose tasks end after `task_s` seconds.

    A stop takes `stop_s`. `stopped_attempts` has the highest attempt of each
    task that must not start any more, because it ended or was stopped. Calls
    for another id than `target_id` are rejected.
    """

    def __init__(
        self, task_s=0.05, needs_ticket=True, stop_s=0.0, target_id=None
    ):
        self.task_s = task_s
        self.needs_ticket = needs_ticket
        self.stop_s = stop_s
        self.target_id = target_id
        self.started = []
        self._timers = []
        self.begin_life()

    def begin_life(self):
        """Starts the process anew, without anything of its earlier life."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        self.is_down = False
        self.born_ms = time.time_ns() // 1_000_000
        self._life_began_s = time.monotonic()
        self.fence = 0
        self.running = {}
        self.ended = []
        self.stopped_attempts = {}
        self.number = 0

    def crash(self):
        """Ends the process; calls that it still receives have no effect."""
        for timer in self._timers:
            timer.cancel()
        self.is_down = True

    def clock_ms(self):
        """Returns the time since the start of the process."""
        return int((time.monotonic() - self._life_began_s) * 1000)

    def update_time(self):
        """Ends what is due; here, timers end the tasks."""

    async def handle(self, request):
        body = await request.json()
        if self.is_down:
            return self._answer(503)
        expected_id = request.headers.get('Expect-Instance', self.target_id)
        if self.target_id is not None and expected_id != self.target_id:
            return self._answer(421)
        if body.get('fencingToken', 0) < self.fence:
            return self._answer(409, reason='fence')
        self.fence = body['fencingToken']
        name = request.path.removeprefix('/').replace('-', '_')
        return await getattr(self, name)(body)

    async def run_start(self, body):
        task, attempt = body['task'], body['attempt']
        if attempt <= self.stopped_attempts.get(task, 0):
            return self._answer(409, reason='old')
        if body['untilMs'] < self.clock_ms():
            return self._answer(409, reason='late')
        if self.needs_ticket and body.get('ticket') != f'ticket-{task[:16]}':
            return self._answer(409, reason='ticket')
        if self.running.get(task) != attempt:
            self.running[task] = attempt
            self.started.append((task, attempt))
            self._end_later(self.task_s, task, attempt, 'done')
        return self._answer(200)

    async def run_stop(self, body):
        task, attempt = body['task'], body['attempt']
        self.stopped_attempts[task] = max(
            attempt, self.stopped_attempts.get(task, 0)
        )
        if self.stop_s:
            self._end_later(self.stop_s, task, attempt, 'stopped')
        else:
            self._end(task, attempt, 'stopped')
        return self._answer(200)

    async def hold(self, body):
        cursor = body['ackCursor']
        self.ended = [row for row in self.ended if row[0] > cursor]
        for _ in range(body.get('waitMs', 0) // 10):
            if self.ended:
                break
            await asyncio.sleep(0.01)
            self.update_time()
        rows = [[task, run, '', 0] for task, run in self.running.items()]
        return self._answer(
            200,
            born=self.born_ms,
            running=rows,
            finished=self.ended[:PAGE_ENDS],
        )

    def _end_later(self, delay_s, task, attempt, outcome):
        loop = asyncio.get_running_loop()
        self._timers.append(
            loop.call_later(delay_s, self._end, task, attempt, outcome)
        )

    def _end(self, task, attempt, outcome):
        if self.running.get(task) == attempt:
            del self.running[task]
            self.number += 1
            self.stopped_attempts[task] = attempt
            self.ended.append([self.number, task, attempt, outcome, ''])

    def _answer(self, status, **fields):
        body = {'clockMs': self.clock_ms(), **fields}
        return web.json_response(body, status=status)


async def advise(request):
    """Allows all targets, with a ticket for each job."""
    body = await request.json()
    ticket = f'ticket-{body["step"][:16]}'
    allowed = [[target, ticket] for target in body['workers']]
    return web.json_response({'allowed': allowed, 'validMs': 2000})
