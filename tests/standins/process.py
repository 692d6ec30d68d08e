"""Runs a stand-in as a process of its own, which can be paused and killed.

`python -m tests.standins.process store RECORD` runs the platform's store, and
`... target RECORD --help` shows the options of a target. The first event in
RECORD is the port. A target reports to the store, drains on SIGTERM and exits.
"""

import argparse
import asyncio
import os
import signal
import time
from contextlib import suppress
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from tests.standins.recorded_target import Record, RecordedTarget
from tests.standins.store_api import StoreApi

HEARTBEAT_S = 1.5
REPORT_TIMEOUT_S = 1.0
REPORT_RETRY_S = 0.3
ENTRY_EXPIRES_S = 3 * HEARTBEAT_S
SETTLE_EVERY_S = 0.01
LATE_EXPIRY_S = 0.1
CAPACITY = {'cpu': 16_000, 'memMb': 32_768, 'gpu': 0}


class PlatformStore(StoreApi):
    """A store with calls of the operator, of targets and of the platform."""

    def __init__(self) -> None:
        super().__init__()
        self.reported_s = {}

    async def operator_put(self, request):
        body = await request.json()
        self.put(body['table'], '', body['key'], body['value'])
        return web.Response()

    async def entry_put(self, request):
        body = await request.json()
        self.reported_s[body['id']] = time.monotonic()
        self.put('servers', '', body['id'], body['entry'])
        return web.Response()

    async def entry_drop(self, request):
        self._drop_entry((await request.json())['id'])
        return web.Response()

    async def expire_entries(self):
        """Removes the entries of targets that were silent for long."""
        while True:
            now_s = time.monotonic()
            for target_id, reported_s in tuple(self.reported_s.items()):
                if now_s - reported_s > ENTRY_EXPIRES_S:
                    self._drop_entry(target_id)
            await asyncio.sleep(0.05)

    def _drop_entry(self, target_id):
        self.reported_s.pop(target_id, None)
        self.remove('servers', '', target_id)


class TargetProcess:
    """Reports a target to the store until it has drained."""

    def __init__(self, options, target) -> None:
        self._options = options
        self._target = target
        self._state = 'ready'
        self._has_changed = asyncio.Event()

    async def settle(self):
        """Lets tasks and the lease end in time."""
        while True:
            asked_s = time.monotonic()
            await asyncio.sleep(SETTLE_EVERY_S)
            was_paused = time.monotonic() - asked_s > LATE_EXPIRY_S
            if self._target.is_expiry_late and was_paused:
                await asyncio.sleep(LATE_EXPIRY_S)
            self._target.settle()

    def drain(self):
        self._state = 'draining'
        self._has_changed.set()

    async def report(self):
        """Reports the state; ends once the target has drained."""
        async with ClientSession(
            timeout=ClientTimeout(total=REPORT_TIMEOUT_S)
        ) as session:
            left_s = None
            while left_s is None or time.monotonic() < left_s:
                state = self._state
                is_accepted = await self._send(session, state)
                if is_accepted and state == 'draining' and left_s is None:
                    left_s = time.monotonic() + self._options.drain_s
                pause_s = HEARTBEAT_S if is_accepted else REPORT_RETRY_S
                if left_s is not None:
                    pause_s = min(pause_s, max(0, left_s - time.monotonic()))
                with suppress(TimeoutError):
                    async with asyncio.timeout(pause_s):
                        await self._has_changed.wait()
                self._has_changed.clear()

    async def _send(self, session, state):
        entry = {
            'service': 's',
            'address': self._options.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'born': self._target.born_ms,
            'capacity': CAPACITY,
            'labels': [],
        }
        if state == 'draining':
            entry['remainingMs'] = 1000
        url = f'http://{self._options.store}/entry-put'
        body = {'id': self._options.id, 'entry': entry}
        try:
            async with session.post(url, json=body) as answer:
                return answer.status == 200
        except (ClientError, OSError, TimeoutError):
            return False


async def listen(handle, record):
    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    record.write('listens', time.monotonic(), port=port)


async def run_store(record):
    store = PlatformStore()
    await listen(store.handle, record)
    await store.expire_entries()


async def run_target(options, record):
    target = RecordedTarget(
        options.id,
        record,
        options.clock_rate,
        is_expiry_late=options.late_expiry,
    )
    process = TargetProcess(options, target)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, process.drain)
    await listen(target.handle, record)
    settling = asyncio.create_task(process.settle())
    await process.report()
    settling.cancel()
    target.leave()
    # Open connections last until the process is gone.
    os._exit(0)


def main() -> None:
    """Runs a stand-in until it is killed or has left."""
    parser = argparse.ArgumentParser()
    parser.add_argument('kind', choices=('store', 'target'))
    parser.add_argument('record', type=Path)
    parser.add_argument('--id')
    parser.add_argument('--store', help='address of the store')
    parser.add_argument('--address', help='address in the entry')
    parser.add_argument('--clock-rate', type=float, default=1)
    parser.add_argument('--drain-s', type=float, default=2)
    parser.add_argument('--late-expiry', action='store_true')
    options = parser.parse_args()
    record = Record(options.record)
    if options.kind == 'store':
        asyncio.run(run_store(record))
    else:
        asyncio.run(run_target(options, record))


if __name__ == '__main__':
    main()
