"""Process with one request router and its own open-loop load.

Reads one JSON command a line from standard input and answers each with one
JSON line; started by `benchmarks.request_fleet`.
"""

import asyncio
import json
import random
import sys
import time
from collections import Counter
from typing import Any, Final

from aiohttp import ClientSession

from benchmarks.request_node_parts import (
    DEADLINE_MS,
    NodeOptions,
    NoEstimates,
    NoPartitions,
    StaticConfig,
    StaticMembers,
)
from radishlift.core.clock import SystemClock
from radishlift.core.errors import Failure
from radishlift.core.ids import (
    Address,
    DaemonId,
    Incarnation,
    RequestId,
    ServiceName,
)
from radishlift.core.logs import setup_logs
from radishlift.platform.http import (
    HttpHostList,
    HttpTableStore,
    PlatformClient,
)
from radishlift.requests.api import ServiceRequest
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.router import RequestRouter, RouterParts
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_rows import SlotOwner
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.requests.targets import TargetList
from radishlift.wire.network import PeerNetwork

PROBE_CLASS: Final = 'probe'
STORE_TIMEOUT_MS: Final = 500


class Node:
    """One router and the commands of the benchmark."""

    def __init__(self, options: NodeOptions, session: ClientSession) -> None:
        self._service = ServiceName(options.service)
        self._session = session
        self._clock = SystemClock()
        self._config = StaticConfig(options)
        self._random = random.Random(options.daemon_id)
        settings = RequestSettings(max_department_count=100_000)
        daemon_id = DaemonId(options.daemon_id)
        self._network = PeerNetwork(daemon_id)
        self._network.set_peers(
            {DaemonId(n): Address(a) for n, a in options.peers.items()}
        )
        self._listen = Address(options.peers[options.daemon_id])
        address = Address(options.platform)
        client = PlatformClient(session, address, STORE_TIMEOUT_MS)
        self.targets = TargetList(HttpHostList(client), self._clock, settings)
        limits = ServiceLimits(self._config)
        parts = SlotParts(
            HttpTableStore(client),
            StaticMembers(),
            self.targets,
            limits,
            self._clock,
        )
        owner = SlotOwner(daemon_id, Incarnation('1'))
        self.slots = SlotAllotments(owner, parts, settings)
        self.router = RequestRouter(
            RouterParts(
                self.slots, parts, self._network, NoPartitions(), NoPartitions()
            ),
            settings,
        )
        self._forwards = 0
        self._forward = self.router._forwarder.forward
        self.router._forwarder.forward = self._count_forward

    async def start(self) -> None:
        """Starts to listen and to hold slots."""
        await self._network.start(self._listen)
        await self.router.start()

    async def held(self) -> dict[str, Any]:
        """Tells the slots held and the writes to the tables so far."""
        return {
            'held': self.slots.held_count(self._service),
            'writes': self.slots.writer.write_count,
        }

    async def baseline(self) -> dict[str, Any]:
        """Switches shedding off."""
        self.router.places.times = NoEstimates()
        self._config.lift_queue_bound()
        return {}

    async def one_owner(self, hop_ratio: float) -> dict[str, Any]:
        """Emulates one owner per executor: most requests take a hop."""
        find = self.router.places.find
        board = self.router.exchange.board

        async def find_owner(call: Any) -> Any:
            if self._random.random() < hop_ratio and not call.forwards_count:
                peer = board.choose(self._service)
                if peer is not None:
                    return peer
            return await find(call)

        self.router.places.find = find_owner
        return {}

    async def idle(self, count: int) -> dict[str, Any]:
        """Times direct and routed requests in turns, one at a time."""
        direct: list[float] = []
        routed: list[float] = []
        targets = sorted(self.targets.live(self._service))
        self._forwards = 0
        for number in range(count):
            started = time.perf_counter()
            await self._send_direct(targets[number % len(targets)], number)
            direct.append((time.perf_counter() - started) * 1000)
            started = time.perf_counter()
            answer = await self.router.handle(self._request(PROBE_CLASS))
            if isinstance(answer, Failure):
                raise RuntimeError(answer.reason)
            routed.append((time.perf_counter() - started) * 1000)
        return {'direct': direct, 'routed': routed, 'forwards': self._forwards}

    async def load(
        self,
        rate: float,
        seconds: float,
        mix: dict[str, float],
        idempotent: bool = False,
    ) -> dict[str, Any]:
        """Offers Poisson arrivals and counts how they ended."""
        self._forwards = 0
        ended: Counter[str] = Counter()
        latencies: list[float] = []
        tasks = []
        loop = asyncio.get_running_loop()
        due = loop.time()
        until = due + seconds
        while due < until:
            await asyncio.sleep(max(0, due - loop.time()))
            chosen = self._random.choices(list(mix), list(mix.values()))[0]
            request = self._request(chosen, idempotent)
            one = self._one(request, due, ended, latencies)
            tasks.append(asyncio.create_task(one))
            due += self._random.expovariate(rate)
        await asyncio.gather(*tasks)
        return {
            'offered': len(tasks),
            'ended': ended,
            'latencies': latencies,
            'forwards': self._forwards,
        }

    async def _one(
        self,
        request: ServiceRequest,
        due: float,
        ended: Counter[str],
        latencies: list[float],
    ) -> None:
        answer = await self.router.handle(request)
        if isinstance(answer, Failure):
            ended[answer.kind.value] += 1
            return
        ended['answered'] += 1
        elapsed_s = asyncio.get_running_loop().time() - due
        latencies.append(elapsed_s * 1000)

    async def _send_direct(self, target: str, number: int) -> None:
        headers = {
            'X-Request-Id': f'd{number}',
            'X-Deadline-Ms': str(DEADLINE_MS),
            'Radishlift-Class': PROBE_CLASS,
        }
        url = f'http://{target}/run'
        async with self._session.post(url, data=b'b', headers=headers) as got:
            await got.read()

    async def _count_forward(self, *args: Any) -> Any:
        self._forwards += 1
        return await self._forward(*args)

    def _request(
        self, request_class: str, is_idempotent: bool = False
    ) -> ServiceRequest:
        return ServiceRequest(
            self._service,
            RequestId(f'{self._random.getrandbits(64):x}'),
            b'b',
            request_class=request_class,
            is_idempotent=is_idempotent,
        )


async def run(options: NodeOptions) -> None:
    """Serves commands until standard input ends."""
    setup_logs('WARNING')
    loop = asyncio.get_running_loop()
    async with ClientSession() as session:
        node = Node(options, session)
        await node.start()
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            command = json.loads(line)
            reply = await getattr(node, command.pop('do'))(**command)
            print(json.dumps(reply), flush=True)
        await node.router.stop()


if __name__ == '__main__':
    plain = json.loads(sys.argv[1])
    plain['urgent_classes'] = tuple(plain['urgent_classes'])
    asyncio.run(run(NodeOptions(**plain)))
