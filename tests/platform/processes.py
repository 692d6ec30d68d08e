"""Runs daemons, targets and the store as processes that can be paused."""

import asyncio
import base64
import json
import random
import signal
import sys
import time
from collections import defaultdict
from contextlib import suppress
from itertools import count

from aiohttp import ClientError, ClientSession, ClientTimeout

from tests.platform.deployment import ROOT, Deployment, free_ports, listen
from tests.platform.test_documents import CONFIG
from tests.standins.proxy import Proxy
from tests.standins.target_api import advise

# Apart from the ports of daemons, which are free while they restart.
TARGET_PORTS = range(10_000, 15_000)
CLOCK_RATES = (1.0, 0.98)
DRAIN_S = (1.0, 8.0)
STORE_TIMEOUT_S = 0.5


class StandIn:
    """A stand-in process with its record of events."""

    def __init__(self, record_path) -> None:
        self._record_path = record_path
        self.process = None
        self.is_leaving = False

    async def start(self, kind, *options):
        """Starts the process; returns the address at which it listens."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.standins.process',
            kind,
            str(self._record_path),
            *options,
            cwd=ROOT,
        )
        while not self.events():
            if self.process.returncode is not None:
                raise RuntimeError(f'{kind} has ended')
            await asyncio.sleep(0.02)
        return f'127.0.0.1:{self.events()[0]["port"]}'

    def events(self):
        """Returns the complete events recorded so far."""
        if not self._record_path.exists():
            return []
        lines = self._record_path.read_text().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith('\n')]


def send_signal(process, number):
    """Sends a signal to a process unless it has ended."""
    if process.returncode is None:
        process.send_signal(number)


async def pause(process, pause_s):
    """Pauses a process for some time."""
    send_signal(process, signal.SIGSTOP)
    try:
        await asyncio.sleep(pause_s)
    finally:
        send_signal(process, signal.SIGCONT)


class ProcessDeployment(Deployment):
    """A deployment whose targets and store are processes of their own.

    There is a proxy between each daemon or target and the store, and one in
    front of each target. `leader` is the latest leader that the store showed.
    """

    def __init__(self, folder, seed) -> None:
        super().__init__(folder)
        self.random = random.Random(seed)
        self.targets = {}
        self.target_proxies = {}
        self.store_proxies = {}
        self.report_proxies = {}
        self.leader = ''
        self._target_numbers = count(1)
        self._store = StandIn(folder / 'store.jsonl')

    @property
    def store_process(self):
        """Returns the process of the store."""
        return self._store.process

    async def open(self, stack, names, targets_count):
        """Starts all processes; `stack` ends them."""
        self.stack = stack
        stack.push_async_callback(self.stop)
        self.session = await stack.enter_async_context(ClientSession())
        self.store_address = await self._store.start('store')
        self.advice_address = await listen(stack, advise)
        await self.call_store(
            'operator-put', table='op', key='config', value=CONFIG
        )
        for _ in range(targets_count):
            await self.add_target()
        for name in names:
            self.store_proxies[name] = await self._open_proxy(
                self.store_address
            )
            await self.start_daemon(name)
        for name in names:
            await self.until_ready(name)
        following = asyncio.create_task(self._follow_leader())
        stack.callback(following.cancel)

    def store_for(self, name):
        return self.store_proxies[name].address

    async def call_store(self, call, **body):
        """Repeats a call of the operator or platform until it is answered."""
        timeout = ClientTimeout(total=STORE_TIMEOUT_S)
        url = f'http://{self.store_address}/{call}'
        while True:
            with suppress(ClientError, TimeoutError):
                async with self.session.post(
                    url, json=body, timeout=timeout
                ) as answer:
                    answer.raise_for_status()
                    return
            await asyncio.sleep(0.1)

    async def add_target(self):
        """Starts a target with a new id."""
        target_id = f'i-{next(self._target_numbers)}'
        port = free_ports(1, TARGET_PORTS)[0]
        report_proxy = await self._open_proxy(self.store_address)
        target = StandIn(self.folder / f'{target_id}.jsonl')
        self.targets[target_id] = target
        address = await target.start(
            'target',
            f'--id={target_id}',
            f'--store={report_proxy.address}',
            f'--address=127.0.0.1:{port}',
            f'--clock-rate={self.random.choice(CLOCK_RATES)}',
            f'--drain-s={self.random.uniform(*DRAIN_S)}',
            *self.target_options(),
        )
        self.target_proxies[target_id] = await self._open_proxy(address, port)
        self.report_proxies[target_id] = report_proxy

    def target_options(self):
        """Returns further options of each target."""
        return ()

    async def remove_target(self, target_id):
        """Waits until a draining target has left; starts another."""
        target = self.targets[target_id]
        await target.process.wait()
        self.report_proxies.pop(target_id)
        await self.target_proxies.pop(target_id).close()
        await self.call_store('entry-drop', id=target_id)
        await self.add_target()

    def runs(self):
        """Returns the runs of each task."""
        by_task = defaultdict(list)
        for target_id, target in self.targets.items():
            open_runs = {}
            for event in target.events()[1:]:
                run_id = event['task'], event['attempt']
                if event['event'] == 'start':
                    run = Run(target_id, event['attempt'], event['at_s'])
                    open_runs[run_id] = run
                    by_task[event['task']].append(run)
                elif event['event'] == 'end':
                    open_runs[run_id].end(event['at_s'], event['how'])
                else:
                    open_runs[run_id].is_noted = True
        return by_task

    async def stop(self):
        stand_ins = (self._store, *self.targets.values())
        processes = [one.process for one in stand_ins if one.process]
        for process in processes:
            send_signal(process, signal.SIGKILL)
            await process.wait()
        await super().stop()

    async def _open_proxy(self, address, port=0):
        proxy = Proxy(address)
        await proxy.start(port)
        self.stack.push_async_callback(proxy.close)
        return proxy

    async def _follow_leader(self):
        url = f'http://{self.store_address}/rows-get'
        query = {'table': 'cell', 'part': 'leader', 'from': 'leader'}
        timeout = ClientTimeout(total=STORE_TIMEOUT_S)
        while True:
            with suppress(ClientError, TimeoutError):
                async with self.session.get(
                    url, params=query, timeout=timeout
                ) as answer:
                    self._read_leader((await answer.json())['rows'])
            await asyncio.sleep(0.1)

    def _read_leader(self, rows):
        for row in rows:
            if row['key'] == 'leader':
                fields = json.loads(base64.b64decode(row['value']))
                self.leader = fields['daemon']


class Run:
    """One run of a task as recorded by its target."""

    def __init__(self, target_id, attempt, started_s) -> None:
        self.target_id = target_id
        self.attempt = attempt
        self.started_s = started_s
        self.ended_s = float('inf')
        self.how = 'running'
        self.is_noted = False

    def __str__(self) -> str:
        return (
            f'run {self.attempt} on {self.target_id} from '
            f'{self.started_s:.3f} to {self.ended_s:.3f} {self.how} '
            f'noted={self.is_noted}'
        )

    def end(self, at_s, how):
        self.ended_s = at_s
        self.how = how


def find_repeated(by_task):
    """Yields tasks that ran twice at a time, or again after their end."""
    for task, runs in sorted(by_task.items()):
        runs.sort(key=lambda run: run.started_s)
        for number, later in enumerate(runs):
            for earlier in runs[:number]:
                if later.started_s < earlier.ended_s:
                    yield f'{task} ran twice at a time: {earlier}; {later}'
                elif earlier.how == 'done' and earlier.is_noted:
                    yield f'{task} ran again: {earlier}; {later}'


def seconds_until(at_s):
    """Returns the time until a moment of the steady clock."""
    return max(0.0, at_s - time.monotonic())
