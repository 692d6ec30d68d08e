"""Runs daemons as processes beside stand-ins of a small deployment."""

import asyncio
import json
import os
import random
import signal
import socket
import time
from contextlib import ExitStack
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from review.harness_3.executor import Executor
from review.harness_3.link import Link
from review.harness_3.store import Store

ROOT = Path(__file__).parents[2]
HOST = 'jobs.example'
PREFIX = '/q/'
PORTS = range(15_000, 30_000)
VALID_MS = 1500
SETTINGS = """
node = "{name}"
role = "daemon"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "z1"
region = "r"
portRange = [{port}, {last}]
seeds = []
bootstrap = true
heartbeatMs = 1500
orders = "invoke"
advice = "{advice}"
[zones]
z1 = "r"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = {cpu_share}
cores = {cores}
memoryMb = {memory_mb}
linkMbps = {link_mbps}
[bounds]
contactMs = 3000
ackMs = 4000
configMs = 2000
graceS = 6
drainMs = 2000
lossSlackMs = 200
holdMaxMs = 6000
stopMs = 200
[platform]
address = "{store}"
writesPerS = 600
readsPerS = 2000
txMs = 5.0
rowBytes = 65536
"""
# The machines of a small site.
LIMITS = {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 300, 'link_mbps': 1000.0}


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path) -> None:
        self._file = path.open('w')
        self._began_s = time.monotonic()

    def write(self, event, **fields):
        """Writes one event with its time."""
        at_s = time.monotonic() - self._began_s
        text = ' '.join(f'{name}={field}' for name, field in fields.items())
        self._file.write(f'{at_s:8.3f} {event} {text}\n')
        self._file.flush()


class Cell:
    """Daemons, executors, the store, the advice service and a client.

    `allowed` are the names of the executors that the policy of the queue
    allows; None for all. `limits` are those of daemons whose machines are not
    the usual ones; the links of these to the store have their rate.
    """

    def __init__(self, folder, record, route=None, other_routes=()) -> None:
        self.folder = folder
        self.record = record
        self.store = Store()
        self.runs = []
        self.executors = {}
        self.daemons = {}
        self.fronts = {}
        self.ready_ports = {}
        self.settings_paths = {}
        self.limits = {}
        self.allowed = None
        self.free_jobs = set()
        self.advice_ms = 0, 0
        self._runners = []
        self._tasks = []
        self._links = []
        self._ticket_number = 0
        self.route = {
            'name': 'q-1',
            'host': HOST,
            'pathPrefix': PREFIX,
            'timeoutMs': 3000,
            'priority': 1,
            'service': 's',
            'attempts': 3,
            'stretch': 2.2,
            'targetDurationMs': 1000,
            **(route or {}),
        }
        self.config = {
            'version': 7,
            'routes': [self.route, *other_routes],
            'services': [{'name': 's', 'admissionCheck': False}],
            'limits': {'maxBodyBytes': 262_144},
        }

    async def start(self, daemons_count, executors_count):
        """Starts everything and waits until the daemons are ready."""
        self.session = ClientSession(timeout=ClientTimeout(total=4))
        self.store.put('op', 'config', self.config)
        self._tasks.append(asyncio.create_task(self.store.expire_entries()))
        advice = self.route.get('advice')
        if advice is not None:
            self.advice_ms = advice['decideMs'], advice['periodMs']
        for number in range(1, executors_count + 1):
            name = f'i{number:011d}'
            self.executors[name] = Executor(
                name, self.store, self.record, self.runs
            )
            self.executors[name].ticket_for = self.needs_ticket
            await self.executors[name].start()
        for number in range(1, daemons_count + 1):
            await self.add_daemon(f'd{number}')
        for name in self.daemons:
            await self.until_ready(name)

    def needs_ticket(self, task):
        """Returns whether a task of a queue with advice needs a ticket."""
        return task[:16] not in self.free_jobs and 'advice' in self.route

    async def add_daemon(self, name):
        """Starts a daemon with addresses of its own."""
        port, last, front, ready = free_ports(4)
        store = await self._listen(self.store.handle)
        limits = self.limits.get(name)
        if limits is not None:
            self._links.append(Link(store, limits['link_mbps']))
            store = await self._links[-1].start()
        text = SETTINGS.format(
            name=name,
            port=port,
            last=last,
            front=front,
            ready=ready,
            advice=await self._listen(self._make_advice()),
            store=store,
            **(limits or LIMITS),
        )
        path = self.folder / f'{name}.toml'
        path.write_text(text)
        self.settings_paths[name] = path
        self.fronts[name], self.ready_ports[name] = front, ready
        await self.start_process(name)

    async def start_process(self, name):
        """Starts a daemon with the command of the deploy file."""
        kept = ('PATH', 'HOME', 'LANG')
        log_path = self.folder / f'{name}.log'
        with log_path.open('a') as log:
            self.daemons[name] = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'radishlift.platform.main',
                cwd=ROOT,
                env={
                    **{
                        key: os.environ[key]
                        for key in kept
                        if key in os.environ
                    },
                    'PYTHONPATH': 'src:target/deps',
                    'RADISHLIFT_CONFIG': str(self.settings_paths[name]),
                },
                stdout=log,
                stderr=log,
            )
        self.record.write('daemon_start', daemon=name)

    def signal(self, name, number):
        """Sends a signal to a daemon that runs."""
        self.record.write('signal', daemon=name, signal=number)
        self.daemons[name].send_signal(number)

    async def until_ready(self, name):
        """Waits until a daemon is ready for callers."""
        url = f'http://127.0.0.1:{self.ready_ports[name]}/ready'
        async with asyncio.timeout(20):
            while await self._status(url) != 200:
                await asyncio.sleep(0.05)

    def leader(self):
        """Returns the daemon that the row of the cell names."""
        row = self.store.value('cell', 'leader', 'leader') or {}
        return row.get('daemon', '')

    async def until_leader(self):
        """Waits until a daemon leads."""
        async with asyncio.timeout(20):
            while not self.leader():
                await asyncio.sleep(0.05)
        return self.leader()

    async def send(
        self, name, method, job, body=None, prefix=PREFIX, deadline_ms=3000
    ):
        """Sends one call of a client; returns status and text."""
        url = f'http://127.0.0.1:{self.fronts[name]}{prefix}{job}'
        headers = {
            'Host': HOST,
            'Deadline-Ms': str(deadline_ms),
            'Content-Type': 'application/json',
        }
        data = None if body is None else json.dumps(body)
        status, text = 0, ''
        try:
            async with self.session.request(
                method,
                url,
                data=data,
                headers=headers,
                timeout=ClientTimeout(total=deadline_ms / 1000),
            ) as answer:
                status, text = answer.status, await answer.text()
        except (ClientError, OSError, TimeoutError) as error:
            text = type(error).__name__
        self.record.write(
            'call',
            daemon=name,
            method=method,
            job=job,
            status=status,
            text=text,
        )
        return status, text

    async def state(self, name, job):
        """Returns the state of a job that a daemon tells, '' without one."""
        status, text = await self.send(name, 'GET', job)
        return json.loads(text)['state'] if status == 200 else ''

    async def until_state(self, name, job, states, within_s):
        """Waits until a job has one of some states; returns the last one."""
        end_s = time.monotonic() + within_s
        while True:
            state = await self.state(name, job)
            if state in states or time.monotonic() > end_s:
                return state
            await asyncio.sleep(0.1)

    async def stop(self):
        """Ends all processes and stand-ins."""
        for process in self.daemons.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for task in self._tasks:
            task.cancel()
        for executor in self.executors.values():
            if executor.is_up:
                await executor.crash()
        await self.session.close()
        for link in self._links:
            link.stop()
        for runner in self._runners:
            await runner.cleanup()

    async def _status(self, url):
        try:
            async with self.session.get(url) as answer:
                return answer.status
        except (ClientError, OSError, TimeoutError):
            return 0

    def _make_advice(self):
        # The service handles one call of a machine at a time.
        lock = asyncio.Lock()

        async def advise(request):
            body = await request.json()
            decide_ms, period_ms = self.advice_ms
            async with lock:
                wait_ms = decide_ms + period_ms * len(body['workers'])
                await asyncio.sleep(wait_ms / 1000)
            allowed = []
            for name in body['workers']:
                if self.allowed is None or name in self.allowed:
                    self._ticket_number += 1
                    ticket = f't{self._ticket_number}'
                    self.executors[name].tickets[ticket] = (
                        time.monotonic() + VALID_MS / 1000
                    )
                    allowed.append([name, ticket])
            self.record.write(
                'advice', step=body['step'], allowed=[row[0] for row in allowed]
            )
            return web.json_response({'allowed': allowed, 'validMs': VALID_MS})

        return advise

    async def _listen(self, handler):
        runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        return f'127.0.0.1:{runner.addresses[0][1]}'


def free_ports(count):
    """Finds consecutive free ports."""
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


def job_id():
    """Returns a new id of a job."""
    return f'{random.getrandbits(64):016x}'
