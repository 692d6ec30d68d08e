"""A cell of separate processes on loopback: daemons and stand-ins."""

import asyncio
import json
import signal
import time
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Mapping,
    Sequence,
)
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from radishlift.config.bodies import CHANGE_TOKEN_HEADER
from tests.system.hosts import SETTINGS, list_hosts
from tests.system.processes import Processes, free_ports
from tests.system.relay import Relay
from tests.system.shapes import Shape, config_text

TOKEN_HEADERS = {CHANGE_TOKEN_HEADER: 'test'}


class Cell:
    """Runs daemons, 7 by default, and the stand-ins of some shapes.

    Each daemon reaches the platform, and is reached by its peers, through
    relays that a test can cut.
    """

    def __init__(
        self,
        folder: Path,
        shapes: tuple[Shape, ...],
        daemons_count: int = 7,
        extra_settings: str = '',
        daemon_module: tuple[str, ...] = ('radishlift.daemon.main',),
    ) -> None:
        self.folder = folder
        self.shapes = shapes
        self.extra_settings = extra_settings
        self.daemon_module = daemon_module
        self.daemon_modules: dict[str, tuple[str, ...]] = {}
        self.processes = Processes(folder / 'logs')
        self.session = ClientSession(timeout=ClientTimeout(total=10))
        hosts_count = sum(
            shape.workers_count + shape.executors_count for shape in shapes
        )
        ports = free_ports(1 + 4 * daemons_count + hosts_count)
        addresses = iter(f'127.0.0.1:{port}' for port in ports)
        self.platform = next(addresses)
        self.names = [f'd{index + 1}' for index in range(daemons_count)]
        self.listen = {name: next(addresses) for name in self.names}
        self.peer_listen = {name: next(addresses) for name in self.names}
        self.store_relays = {
            name: Relay(next(addresses), self.platform) for name in self.names
        }
        self.peer_relays = {
            name: Relay(next(addresses), self.peer_listen[name])
            for name in self.names
        }
        self.workers: dict[str, list[str]] = {}
        self.executors: dict[str, list[str]] = {}
        for shape in shapes:
            self.workers[shape.department] = [
                next(addresses) for _ in range(shape.workers_count)
            ]
            self.executors[shape.department] = [
                next(addresses) for _ in range(shape.executors_count)
            ]
        self.hosts: list[dict[str, str]] = []

    async def start(self) -> None:
        """Starts all processes and waits until the daemons are ready."""
        self.processes.start(
            'platform',
            'tests.standins.platform',
            '--listen',
            self.platform,
        )
        for shape in self.shapes:
            self._start_standins(shape)
        await self.wait_for(self._platform_answers, 20)
        self.hosts = list_hosts(self)
        await self.set_hosts()
        for relay in (*self.store_relays.values(), *self.peer_relays.values()):
            await relay.start()
        for name in self.names:
            await self.start_daemon(name)
        await self.wait_for(self._accepts_configuration, 30)
        await self.wait_ready(self.names)

    async def stop(self) -> None:
        """Kills all processes."""
        self.processes.stop_all()
        for relay in (*self.store_relays.values(), *self.peer_relays.values()):
            await relay.stop()
        await self.session.close()

    async def kill_daemon(self, name: str) -> None:
        """Kills a daemon; its peer address then refuses connections."""
        self.processes.kill(name)
        await self.peer_relays[name].stop()

    async def terminate_daemons(self, names: Sequence[str]) -> None:
        """Sends SIGTERM to daemons and waits until all have exited."""
        for name in names:
            self.processes.signal(name, signal.SIGTERM)

        async def have_ended() -> bool:
            return not any(self.processes.is_running(name) for name in names)

        await self.wait_for(have_ended, 40)

    async def start_daemon(self, name: str) -> None:
        """Starts a daemon, also one that was killed."""
        await self.peer_relays[name].start()
        index = self.names.index(name)
        centres = self.shapes[0].data_centres
        path = self.folder / f'{name}.ini'
        seeds = ','.join(
            f'{peer}={self.peer_relays[peer].listen}'
            for peer in self.names
            if peer != name
        )
        path.write_text(
            SETTINGS.format(
                name=name,
                data_centre=centres[index % len(centres)],
                listen=self.listen[name],
                peer_listen=self.peer_listen[name],
                peer_advertise=self.peer_relays[name].listen,
                seed_peers=seeds,
                platform=self.store_relays[name].listen,
            )
            + self.extra_settings.replace('{name}', name),
            encoding='utf-8',
        )
        self.processes.start(
            name,
            *self.daemon_modules.get(name, self.daemon_module),
            '--settings',
            str(path),
        )

    @property
    def partitions(self) -> set[str]:
        """Names of all partitions."""
        return {rack for shape in self.shapes for rack in shape.racks}

    async def wait_ready(self, names: list[str], timeout_s: float = 30) -> None:
        """Waits until daemons are ready and every partition has an owner."""

        async def is_ready() -> bool:
            running: set[str] = set()
            for name in names:
                status, _ = await self.get(name, '/ready')
                _, state = await self.get(name, '/v1/status')
                if status != 200 or state is None:
                    return False
                running.update(state['running'])
            return running >= self.partitions

        await self.wait_for(is_ready, timeout_s)

    async def get(self, name: str, path: str) -> tuple[int, Any]:
        """Sends a GET request to a daemon; status 0 when there is no answer."""
        return await self.call('GET', self.listen[name], path)

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Sends a request; status 0 when there is no answer."""
        url = f'http://{address}{path}'
        try:
            async with self.session.request(
                method,
                url,
                json=body,
                headers={**TOKEN_HEADERS, **(headers or {})},
            ) as reply:
                text = await reply.text()
                return reply.status, json.loads(text) if text else None
        except (ClientError, TimeoutError, ValueError):
            return 0, None

    async def set_host_list_faults(self, mode: str, delay_ms: int = 0) -> None:
        """Sets the faults of the host list."""
        body = {'mode': mode, 'delay_ms': delay_ms}
        path = '/admin/host_list_faults'
        await self.call('POST', self.platform, path, body)

    async def set_faults(self, mode: str, delay_ms: int = 0) -> None:
        """Sets the faults of the table service and object store."""
        body = {'mode': mode, 'delay_ms': delay_ms}
        await self.call('POST', self.platform, '/admin/faults', body)

    async def set_hosts(self) -> None:
        """Publishes the host list."""
        body = {'hosts': self.hosts}
        await self.call('PUT', self.platform, '/admin/hosts', body)

    async def records(self, addresses: list[str]) -> list[Any]:
        """Reads the records of workers or executors."""
        answers = await asyncio.gather(
            *(
                self.call('GET', address, '/admin/record')
                for address in addresses
            )
        )
        return [record for _, record in answers if record is not None]

    async def wait_for_tasks(
        self,
        tasks: Collection[str],
        timeout_s: float = 10,
    ) -> dict[str, str]:
        """Waits until tasks run; returns the worker of each."""
        workers = [
            worker for group in self.workers.values() for worker in group
        ]
        running: dict[str, str] = {}

        async def run_all() -> bool:
            running.clear()
            running.update(
                (execution['task_id'], execution['worker_id'])
                for record in await self.records(workers)
                for execution in record['executions']
                if execution['end_ms'] is None
            )
            return running.keys() >= set(tasks)

        await self.wait_for(run_all, timeout_s)
        return {task: running[task] for task in tasks}

    async def wait_for(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout_s: float,
    ) -> None:
        """Waits for a condition; raises AssertionError at the timeout."""
        deadline_s = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > deadline_s:
                raise AssertionError(
                    f'condition not met within {timeout_s} s: {condition}'
                )
            await asyncio.sleep(0.05)

    def _start_standins(self, shape: Shape) -> None:
        if not shape.workers_count:
            return
        department = shape.department
        self.processes.start(
            f'workers-{department}',
            'tests.standins.worker',
            *('--listen-base', self.workers[department][0]),
            *('--count', str(shape.workers_count)),
            *('--rack-prefix', shape.rack_prefix),
            *('--data-centre', shape.data_centres[0]),
            *('--cpu-milli', str(shape.worker_cpu_milli)),
            *('--memory-mb', str(shape.worker_memory_mb)),
        )
        self.processes.start(
            f'executors-{department}',
            'tests.standins.executor',
            *('--listen-base', self.executors[department][0]),
            *('--count', str(shape.executors_count)),
            *('--service', shape.service),
            *('--service-ms', shape.service_ms),
        )

    async def _platform_answers(self) -> bool:
        status, _ = await self.call('GET', self.platform, '/hosts')
        return status == 200

    async def _accepts_configuration(self) -> bool:
        body = {
            'base': 0,
            'text': config_text(self.shapes),
            'who': 'test',
            'why': 'start of the cell',
        }
        address = self.listen[self.names[0]]
        status, _ = await self.call('PUT', address, '/v1/config', body)
        return status == 200
