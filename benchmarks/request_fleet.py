"""Starts stand-ins and router nodes as processes for a benchmark."""

import json
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final
from urllib.request import Request, urlopen

from tests.standins.request_checks import Execution

NODES_COUNT: Final = 7
EXECUTORS_COUNT: Final = 24
SLOTS_COUNT: Final = 8
_EXECUTOR_PROCESSES: Final = 3
_START_TIMEOUT_S: Final = 20


@dataclass(frozen=True, slots=True)
class Mix:
    """Request classes of a service with their parts and mean run times.

    `keyed_ratio` is the part of the requests that carry a key.
    """

    service: str
    base_port: int
    parts: dict[str, float]
    service_ms: dict[str, int]
    urgent_classes: tuple[str, ...]
    keyed_ratio: float

    @property
    def mean_ms(self) -> float:
        """Returns the mean run time of the requests of this mix."""
        return sum(
            part * self.service_ms[name] for name, part in self.parts.items()
        )

    @property
    def capacity_per_s(self) -> float:
        """Returns the requests per second that all slots can run."""
        return EXECUTORS_COUNT * SLOTS_COUNT * 1000 / self.mean_ms


class RequestFleet:
    """7 routers, 24 executors and the platform on loopback."""

    def __init__(self, mix: Mix) -> None:
        self.mix = mix
        self._platform = f'127.0.0.1:{mix.base_port}'
        self._started: list[subprocess.Popen[str]] = []
        self._nodes: list[subprocess.Popen[str]] = []
        first = mix.base_port + 10
        self.executors = [
            f'127.0.0.1:{first + index}' for index in range(EXECUTORS_COUNT)
        ]

    def __enter__(self) -> 'RequestFleet':
        self._start_executors()
        hosts = [
            {
                'address': address,
                'state': 'live',
                'role': 'executor',
                'rack': '',
                'data_centre': 'umlazi',
                'service': self.mix.service,
            }
            for address in self.executors
        ]
        self._start(
            'tests.standins.platform',
            '--listen',
            self._platform,
            '--hosts',
            json.dumps(hosts),
        )
        self._wait_for(f'http://{self._platform}/hosts')
        first = self.mix.base_port + 50
        peers = {
            f'n{index}': f'127.0.0.1:{first + index}'
            for index in range(NODES_COUNT)
        }
        for name in peers:
            options = {
                'daemon_id': name,
                'service': self.mix.service,
                'platform': self._platform,
                'peers': peers,
                'urgent_classes': self.mix.urgent_classes,
            }
            node = self._start('benchmarks.request_node', json.dumps(options))
            self._nodes.append(node)
        self.wait_for_slots()
        return self

    def __exit__(self, *_error: object) -> None:
        for process in self._started:
            process.kill()
            process.wait()

    def command_all(self, **command: Any) -> list[dict[str, Any]]:
        """Sends a command to all nodes and collects their replies."""
        return self.command_each([command for _ in range(NODES_COUNT)])

    def command_each(
        self, commands: list[dict[str, Any]]
    ) -> list[dict[str, Any]]:
        """Sends each node its own command and collects the replies."""
        self.send_commands(commands)
        return self.read_replies()

    def send_commands(self, commands: list[dict[str, Any]]) -> None:
        """Sends each node its own command."""
        for node, command in zip(self._nodes, commands, strict=True):
            node.stdin.write(f'{json.dumps(command)}\n')
            node.stdin.flush()

    def read_replies(self) -> list[dict[str, Any]]:
        """Reads the reply of each node."""
        return [json.loads(node.stdout.readline()) for node in self._nodes]

    def command_first(self, **command: Any) -> dict[str, Any]:
        """Sends a command to the first node and reads its reply."""
        self._nodes[0].stdin.write(f'{json.dumps(command)}\n')
        self._nodes[0].stdin.flush()
        return json.loads(self._nodes[0].stdout.readline())

    def wait_for_slots(self) -> None:
        """Waits until all slots are allotted."""
        until = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < until:
            held = sum(reply['held'] for reply in self.command_all(do='held'))
            if held == EXECUTORS_COUNT * SLOTS_COUNT:
                return
            time.sleep(0.2)
        raise TimeoutError(f'only {held} slots are allotted')

    def write_count(self) -> int:
        """Returns the writes to `slots` rows by all nodes."""
        return sum(reply['writes'] for reply in self.command_all(do='held'))

    def journal_rows(self) -> int:
        """Returns the journal rows that all nodes have written."""
        return sum(
            reply['journal_rows'] for reply in self.command_all(do='held')
        )

    def set_platform(self, mode: str) -> None:
        """Sets the fault mode of the platform."""
        body = json.dumps({'mode': mode}).encode()
        url = f'http://{self._platform}/admin/faults'
        headers = {'Content-Type': 'application/json'}
        urlopen(Request(url, body, headers)).close()

    def read_executions(self) -> list[Execution]:
        """Returns the executions that the executors recorded."""
        return [
            Execution(**execution)
            for plain in self._read_records()
            for execution in plain['executions']
        ]

    def peak_connections(self) -> int:
        """Returns the most connections that any executor had at a time."""
        return max(plain['peak_connections'] for plain in self._read_records())

    def _read_records(self) -> Iterator[dict[str, Any]]:
        for address in self.executors:
            with urlopen(f'http://{address}/admin/record') as answer:
                yield json.load(answer)

    def _start_executors(self) -> None:
        each_count = EXECUTORS_COUNT // _EXECUTOR_PROCESSES
        pairs = self.mix.service_ms | {'': 100, 'probe': 0}
        times = ','.join(f'{name}={ms}' for name, ms in pairs.items())
        for first in self.executors[::each_count]:
            self._start(
                'tests.standins.executor',
                '--listen-base',
                first,
                '--count',
                str(each_count),
                '--service-ms',
                times,
            )
        for address in self.executors[each_count - 1 :: each_count]:
            self._wait_for(f'http://{address}/admin/record')

    def _start(self, module: str, *args: str) -> 'subprocess.Popen[str]':
        process = subprocess.Popen(
            [sys.executable, '-m', module, *args],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._started.append(process)
        return process

    def _wait_for(self, url: str) -> None:
        until = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < until:
            try:
                urlopen(url).close()
            except OSError:
                time.sleep(0.05)
            else:
                return
        raise TimeoutError(url)


__all__ = (
    'EXECUTORS_COUNT',
    'NODES_COUNT',
    'SLOTS_COUNT',
    'Mix',
    'RequestFleet',
)
