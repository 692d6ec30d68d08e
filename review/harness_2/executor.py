"""An executor as a process of its own, as the pages describe it.

The spec of a task is its run time in milliseconds. Each event is appended to
a record as a line of JSON, with a time of CLOCK_MONOTONIC.
"""

import argparse
import asyncio
import json
import time
from contextlib import suppress
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout, web

MAX_LEASE_MS = 6000
PAGE_ENDS = 500
HEARTBEAT_S = 1.5
STOP_S = 0.1
TICK_S = 0.005


class Executor:
    """One life of an executor: its runs, ends, lease and fence."""

    def __init__(self, options) -> None:
        self._options = options
        self._record = options.record.open('a', buffering=1)
        self._began_s = time.monotonic()
        self.born_ms = time.time_ns() // 1_000_000
        self._until_ms = 0
        self._fence = 0
        self._running = {}
        self._ended = []
        self._highest = {}
        self._number = 0
        self.write('born', born=self.born_ms)

    def write(self, event, **fields):
        """Appends an event to the record."""
        line = {'at_s': round(time.monotonic(), 3), 'event': event, **fields}
        self._record.write(json.dumps(line) + '\n')

    async def handle(self, request):
        """Answers one call of a daemon."""
        body = await request.json()
        expected = request.headers.get('Expect-Instance', self._options.id)
        if expected != self._options.id:
            return self._answer(421)
        self.settle()
        token = body.get('fencingToken', 0)
        if token < self._fence:
            return self._answer(409, reason='fence')
        self._fence = token
        handlers = {
            '/run-start': self._start,
            '/run-stop': self._stop,
            '/hold': self._hold,
        }
        return await handlers[request.path](body)

    def settle(self):
        """Ends what is due."""
        now_s = time.monotonic()
        for task, (attempt, due_s, how) in tuple(self._running.items()):
            if due_s <= now_s:
                self._end(task, attempt, how)
        if self._running and self._clock_ms() > self._until_ms:
            for task, (attempt, *_) in tuple(self._running.items()):
                self._end(task, attempt, 'lapsed')

    async def _start(self, body):
        task, attempt = body['task'], body['attempt']
        if attempt <= self._highest.get(task, 0):
            self._extend(body['untilMs'])
            return self._answer(409, reason='old')
        if body['untilMs'] < self._clock_ms():
            return self._answer(409, reason='late')
        self._extend(body['untilMs'])
        if self._running.get(task, (0,))[0] != attempt:
            due_s = time.monotonic() + int(body['spec']) / 1000
            self._running[task] = attempt, due_s, 'done'
            self.write(
                'start', task=task, attempt=attempt, token=body['fencingToken']
            )
        return self._answer(200)

    async def _stop(self, body):
        task, attempt = body['task'], body['attempt']
        self._highest[task] = max(attempt, self._highest.get(task, 0))
        current, due_s, _ = self._running.get(task, (0, 0, ''))
        if current and current <= attempt:
            due_s = min(due_s, time.monotonic() + STOP_S)
            self._running[task] = current, due_s, 'stopped'
        return self._answer(200)

    async def _hold(self, body):
        cursor = body['ackCursor']
        for number, task, attempt, how, _ in self._ended:
            if number <= cursor:
                self.write('noted', task=task, attempt=attempt, how=how)
        self._ended = [row for row in self._ended if row[0] > cursor]
        self._extend(body.get('untilMs', 0))
        until_s = time.monotonic() + body.get('waitMs', 0) / 1000
        while not self._ended and time.monotonic() < until_s:
            await asyncio.sleep(TICK_S)
        running = [
            [task, attempt, '', 0, 0]
            for task, (attempt, *_) in self._running.items()
        ]
        return self._answer(
            200,
            born=self.born_ms,
            running=running,
            finished=self._ended[:PAGE_ENDS],
        )

    def _clock_ms(self):
        return int((time.monotonic() - self._began_s) * 1000)

    def _extend(self, until_ms):
        longest_ms = self._clock_ms() + MAX_LEASE_MS
        self._until_ms = max(self._until_ms, min(until_ms, longest_ms))

    def _end(self, task, attempt, how):
        del self._running[task]
        self._highest[task] = max(attempt, self._highest.get(task, 0))
        self._number += 1
        self._ended.append([self._number, task, attempt, how, ''])
        self.write('end', task=task, attempt=attempt, how=how)

    def _answer(self, status, **fields):
        body = {'clockMs': self._clock_ms(), **fields}
        return web.json_response(body, status=status)


async def report(options, executor):
    """Writes the executor's entry to the store at each heartbeat."""
    timeout = ClientTimeout(total=1)
    sequence = 0
    async with ClientSession(timeout=timeout) as session:
        while True:
            sequence += 1
            entry = {
                'service': 's',
                'address': options.address or f'127.0.0.1:{options.port}',
                'zone': 'z1',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldRemainingMs': 0,
                'seq': sequence,
                'born': executor.born_ms,
                'capacity': {'cpu': options.cpu, 'memMb': 32_768, 'gpu': 0},
                'labels': ['kind-a', 'r1-1'],
            }
            body = {'id': options.id, 'entry': entry}
            url = f'http://{options.store}/entry-put'
            with suppress(ClientError, OSError, TimeoutError):
                async with session.post(url, json=body):
                    executor.write('reported')
            await asyncio.sleep(HEARTBEAT_S)


async def run(options):
    """Serves calls until the process is killed."""
    executor = Executor(options)
    runner = web.ServerRunner(web.Server(executor.handle))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', options.port).start()
    reporting = asyncio.create_task(report(options, executor))
    while not reporting.done():
        await asyncio.sleep(TICK_S)
        executor.settle()


def main() -> None:
    """Reads the options and runs the executor."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--id', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--address', help='address in the entry')
    parser.add_argument('--store', required=True)
    parser.add_argument('--record', type=Path, required=True)
    parser.add_argument('--cpu', type=int, default=16_000)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
