"""Runs daemons as processes with stand-ins of the platform's services."""

import asyncio
import base64
import json
import os
import random
import socket
import sys
from contextlib import ExitStack
from pathlib import Path

from aiohttp import ClientError, ClientSession, web

from tests.platform.test_documents import CONFIG, ENTRY
from tests.standins.store_api import StoreApi
from tests.standins.target_api import TargetApi, advise

ROOT = Path(__file__).parents[2]
SETTINGS = """
node = "{name}"
ip = "127.0.0.1"
zone = "z1"
portRange = [{port}, {last}]
heartbeatMs = 1500
advice = "{advice}"
unknown = {{ later = true }}
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.5
cores = 2
linkMbps = 100.0
[bounds]
holdMaxMs = 6000
stopMs = 200
graceS = 3
drainMs = 2000
[platform]
address = "{store}"
rowBytes = 65536
"""


async def listen(stack, handler):
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    return f'127.0.0.1:{site._server.sockets[0].getsockname()[1]}'


# Below the ports of outgoing connections.
DAEMON_PORTS = range(15_000, 30_000)


def free_ports(count, within=DAEMON_PORTS):
    """Finds consecutive free ports."""
    while True:
        first = random.choice(within)
        with ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    one = stack.enter_context(socket.socket())
                    one.bind(('127.0.0.1', port))
            except OSError:
                continue
        return range(first, first + count)


class Deployment:
    """Runs stand-ins of the platform's services and daemons as processes."""

    def __init__(self, folder):
        self.folder = folder
        self.config = CONFIG
        self.bounds = ''
        self.key = ''
        self.store = StoreApi()
        self.target = TargetApi()
        self.daemons = {}
        self.ports = {}
        self.own_ports = {}

    async def start(self, stack, names):
        self.session = await stack.enter_async_context(ClientSession())
        self.store_address = await listen(stack, self.store.handle)
        self.advice_address = await listen(stack, self.advise)
        await self.start_targets(stack)
        self.store.put('op', '', 'config', self.config)
        for name in names:
            await self.start_daemon(name)

    async def advise(self, request):
        return await advise(request)

    async def start_targets(self, stack):
        address = await listen(stack, self.target.handle)
        self.put_entry('i-1', address, self.target)

    def put_entry(self, target_id, address, target, **fields):
        """Writes the entry of a target, as the target would."""
        entry = {
            **ENTRY,
            'state': 'ready',
            'address': address,
            'born': target.born_ms,
            **fields,
        }
        self.store.put('servers', '', target_id, entry)

    async def start_daemon(self, name):
        if name not in self.own_ports:
            self.own_ports[name] = free_ports(4)
        port, last, front, ready = self.own_ports[name]
        self.ports[name] = front, ready, port + 1
        path = self.folder / f'{name}.toml'
        text = SETTINGS.format(
            name=name,
            port=port,
            last=last,
            front=front,
            ready=ready,
            advice=self.advice_address,
            store=self.store_for(name),
        )
        path.write_text(text.replace('[bounds]', f'[bounds]\n{self.bounds}'))
        self.daemons[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'radishlift.platform.main',
            env={**os.environ, 'RADISHLIFT_CONFIG': str(path)},
            cwd=ROOT / 'src',
            stdout=(self.folder / f'{name}.log').open('a'),
        )

    def store_for(self, name):
        """Returns the address at which a daemon calls the store."""
        return self.store_address

    async def send(self, name, method, path, body=None, at=0, key=''):
        url = f'http://127.0.0.1:{self.ports[name][at]}{path}'
        headers = {'Host': 'h.example'}
        if key or self.key:
            headers['Authorization'] = f'Bearer {key or self.key}'
        try:
            async with self.session.request(
                method, url, data=body, headers=headers
            ) as answer:
                return answer.status, await answer.text()
        except ClientError:
            return 0, ''

    async def until(self, check, within_s=15):
        async with asyncio.timeout(within_s):
            while not await check():
                await asyncio.sleep(0.05)

    async def until_ready(self, name):
        async def is_ready():
            return (await self.send(name, 'GET', '/ready', at=1))[0] == 200

        await self.until(is_ready)

    async def until_state(self, name, job_id, state):
        async def has_state():
            answer = await self.send(name, 'GET', f'/q/{job_id}')
            return answer == (
                200,
                json.dumps({'state': state}, separators=(',', ':')),
            )

        await self.until(has_state)

    def stored_leader(self):
        """Returns the leader according to the store's row, '' without one."""
        row = self.store.rows.get(('cell', 'leader', 'leader'))
        if row is None:
            return ''
        return json.loads(base64.b64decode(row['value']))['daemon']

    async def wait_for_leader(self):
        async def has_leader():
            return bool(self.stored_leader())

        await self.until(has_leader)
        return self.stored_leader()

    async def stop(self):
        for process in self.daemons.values():
            if process.returncode is None:
                process.kill()
            await process.wait()


def make_job_body(count, cpu=100, *, is_gang=False):
    """Makes the body of a job with one step."""
    step = {'count': count, 'cpu': cpu, 'gang': is_gang}
    return json.dumps({'spec': 's', 'steps': [step]})
