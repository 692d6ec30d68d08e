"""A small deployment on loopback addresses: store, executors and daemons.

The store is the project's stand-in `tests.standins.process store`. Daemons are
started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import time
from contextlib import ExitStack, suppress
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

ROOT = Path(__file__).parents[2]
SETTINGS = """
node = "{name}"
role = "daemon"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z1"
region = "r"
portRange = [{port}, {last}]
heartbeatMs = 1500
advice = "127.0.0.1:{unused}"
orders = "invoke"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
linkMbps = 1000.0
[bounds]
contactMs = 3000
holdMaxMs = 6000
stopMs = 200
graceS = 6
drainMs = 2000
configMs = 2000
cancel_ms = 3000
[platform]
address = "{store}"
rowBytes = 65536
"""
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'h.example',
            'pathPrefix': '/q/',
            'timeoutMs': 3000,
            'targetDurationMs': 1000,
            'priority': 1,
            'service': 's',
            'attempts': 4,
            'stretch': 2.2,
        }
    ],
    'services': [{'name': 's'}],
    'limits': {'maxBodyBytes': 262144},
}
PORTS = range(12_000, 30_000)


def free_ports(count):
    """Finds consecutive free ports below those of outgoing connections."""
    while True:
        first = random.choice(PORTS)
        with ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    one = stack.enter_context(socket.socket())
                    one.bind(('127.0.0.1', port))
            except OSError:
                continue
        return range(first, first + count)


class Cell:
    """Starts the processes of a deployment and ends all of them."""

    def __init__(self, folder, record) -> None:
        self.folder = Path(folder)
        # Open until the process ends.
        self._record = Path(record).open('w', buffering=1)  # noqa: SIM115
        self._began_s = time.monotonic()
        self._processes = []
        self._logs = []
        self.daemons = {}
        self.executors = {}
        self._ports = {}
        self.addresses = {}
        self.store = ''
        self.session = None
        self.key = ''

    def write(self, text):
        """Adds a line with the time since the start to the record."""
        passed_s = time.monotonic() - self._began_s
        self._record.write(f'{passed_s:8.3f} {text}\n')

    async def open(self, daemons, executors, cpu=16_000, config=None):
        """Starts the store, then executors, then daemons."""
        self.session = ClientSession(timeout=ClientTimeout(total=3))
        record = self.folder / 'store.jsonl'
        await self._spawn('-m', 'tests.standins.process', 'store', str(record))
        await self.until(lambda: record.exists() and record.read_text())
        port = json.loads(record.read_text().splitlines()[0])['port']
        self.store = f'127.0.0.1:{port}'
        await self.configure(config or CONFIG)
        for number in range(executors):
            await self.start_executor(f'i-{number + 1:04}', cpu)
        for number in range(daemons):
            await self.start_daemon(f'd{number + 1}')
        for name in tuple(self.daemons):
            await self.until_ready(name)
        await self.until_leader()

    def executor_port(self, executor_id):
        """Returns the port on which an executor listens."""
        if executor_id not in self._ports:
            self._ports[executor_id] = free_ports(1)
        return self._ports[executor_id][0]

    async def start_executor(self, executor_id, cpu=16_000):
        """Starts an executor; a later life keeps its address."""
        port = self.executor_port(executor_id)
        address = self.addresses.get(executor_id, f'127.0.0.1:{port}')
        self.executors[executor_id] = await self._spawn(
            '-m',
            'review.harness_2.executor',
            f'--id={executor_id}',
            f'--port={port}',
            f'--address={address}',
            f'--store={self.store}',
            f'--record={self.folder / executor_id}.jsonl',
            f'--cpu={cpu}',
        )

    async def start_daemon(self, name):
        """Starts a daemon with the command of the deploy file."""
        if name not in self._ports:
            self._ports[name] = free_ports(5)
        port, last, front, ready, unused = self._ports[name]
        path = self.folder / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name,
                port=port,
                last=last,
                front=front,
                ready=ready,
                unused=unused,
                store=self.store,
            )
        )
        self.daemons[name] = await self._spawn(
            '-m',
            'radishlift.platform.main',
            log=f'{name}.log',
            RADISHLIFT_CONFIG=str(path),
        )

    async def configure(self, config):
        """Writes a configuration as the operator does."""
        body = {'table': 'op', 'key': 'config', 'value': config}
        async with self.session.post(self._url('operator-put'), json=body):
            self.write(f'operator: version {config["version"]} acknowledged')

    async def send(self, name, method, path, body=None):
        """Sends a caller's request; returns status 0 without an answer."""
        url = f'http://127.0.0.1:{self._ports[name][2]}{path}'
        headers = {'Host': 'h.example', 'Deadline-Ms': '3000'}
        if self.key:
            headers['Authorization'] = f'Bearer {self.key}'
        data = None if body is None else json.dumps(body)
        try:
            async with self.session.request(
                method, url, data=data, headers=headers
            ) as answer:
                return answer.status, await answer.text()
        except (ClientError, OSError, TimeoutError):
            return 0, ''

    async def submit(self, name, job_id, body):
        """Hands a job in and records the answer."""
        status, _ = await self.send(name, 'POST', f'/q/{job_id}', body)
        self.write(f'client: POST {job_id} at {name} -> {status}')
        return status

    async def state(self, name, job_id):
        """Returns the state that a daemon shows, or the status."""
        status, text = await self.send(name, 'GET', f'/q/{job_id}')
        return json.loads(text)['state'] if status == 200 else status

    async def until_ready(self, name):
        """Waits until a daemon is ready."""
        url = f'http://127.0.0.1:{self._ports[name][3]}/ready'
        for _ in range(300):
            with suppress(ClientError, OSError, TimeoutError):
                async with self.session.get(url) as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{name} is not ready')

    async def leader(self):
        """Returns the daemon that the store's row names as leader."""
        query = {'table': 'cell', 'part': 'leader', 'from': 'leader'}
        async with self.session.get(
            self._url('rows-get'), params=query
        ) as answer:
            rows = (await answer.json())['rows']
        for row in rows:
            if row['key'] == 'leader':
                return json.loads(base64.b64decode(row['value']))['daemon']
        return ''

    async def until_leader(self):
        """Waits until a daemon leads."""
        for _ in range(300):
            if await self.leader():
                return await self.leader()
            await asyncio.sleep(0.05)
        raise RuntimeError('no leader')

    async def until(self, check, within_s=15):
        """Waits until a check holds; returns whether it did in time."""
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            if check():
                return True
            await asyncio.sleep(0.02)
        return False

    async def kill(self, process):
        """Kills a process and waits for its end."""
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGKILL)
        await process.wait()

    def events(self, executor_id):
        """Returns what an executor has recorded so far."""
        path = self.folder / f'{executor_id}.jsonl'
        if not path.exists():
            return []
        lines = path.read_text().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith('\n')]

    def starts(self):
        """Returns all starts: executor, time, task, attempt and token."""
        return sorted(
            (event['at_s'], executor_id, event['task'], event['attempt'])
            for executor_id in self.executors
            for event in self.events(executor_id)
            if event['event'] == 'start'
        )

    async def close(self):
        """Adds the executors' records and ends all processes."""
        try:
            self._write_events()
        finally:
            for process in self._processes:
                if process.returncode is None:
                    await self.kill(process)
            if self.session is not None:
                await self.session.close()
            for log in self._logs:
                log.close()

    def _write_events(self):
        for executor_id in sorted(self.executors):
            for event in self.events(executor_id):
                if event['event'] != 'reported':
                    at_s = event.pop('at_s') - self._began_s
                    self._record.write(
                        f'{at_s:8.3f} {executor_id}: {json.dumps(event)}\n'
                    )

    def _url(self, call):
        return f'http://{self.store}/{call}'

    async def _spawn(self, *arguments, log='stand-ins.log', **variables):
        stream = (self.folder / log).open('a')
        self._logs.append(stream)
        process = await asyncio.create_subprocess_exec(
            'python3',
            *arguments,
            env={**os.environ, **variables},
            cwd=ROOT,
            stdout=stream,
            stderr=stream,
        )
        self._processes.append(process)
        return process
