"""Process with a request router and an open-loop load generator.

`benchmarks.request_fleet` starts it. Each line of standard input is a command
in JSON; the reply is a line of JSON on standard output.
"""

import asyncio
import json
import random
import sys
import time
from collections import Counter
from typing import Any, Final

from aiohttp import ClientSession

from benchmarks.request_homes import CountingStore, HomeParts, NodeHomes
from benchmarks.request_node_parts import (
    DEADLINE_MS,
    NodeOptions,
    NoEstimates,
    StaticConfig,
    StaticMembers,
)
from benchmarks.request_tally import Tally
from radishlift.core.clock import BootClock
from radishlift.core.errors import Failure
from radishlift.core.ids import (
    Address,
    DaemonId,
    IdempotencyKey,
    Incarnation,
    RequestId,
    ServiceName,
)
from radishlift.core.logs import setup_logs
from radishlift.daemon.hosts import HostFeed
from radishlift.requests.api import ServiceRequest
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.router import RequestRouter, RouterParts
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_rows import SlotOwner
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.requests.targets import TargetList
from radishlift.services.http import (
    HttpHostList,
    HttpObjectStore,
    PlatformClient,
)
from radishlift.settings.daemon import PlatformSettings
from radishlift.wire.network import PeerNetwork

PROBE_CLASS: Final = 'probe'
STORE_TIMEOUT_MS: Final = 500


class Node:
    """A request router with the commands of the benchmark."""

    def __init__(self, options: NodeOptions, session: ClientSession) -> None:
        self._service = ServiceName(options.service)
        self._session = session
        self._clock = BootClock()
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
        # The interval is below that of the target list, so that each refresh
        # reads the host list.
        feed = HostFeed(
            HttpHostList(client),
            PlatformSettings('', '', '', host_list_interval_ms=400),
            self._clock,
        )
        self.targets = TargetList(feed, feed.knowledge, settings)
        limits = ServiceLimits(self._config)
        self._store = CountingStore(client)
        parts = SlotParts(
            self._store,
            StaticMembers(),
            self.targets,
            limits,
            self._clock,
        )
        owner = SlotOwner(daemon_id, Incarnation('1'))
        self.slots = SlotAllotments(owner, parts, settings)
        self._homes = NodeHomes(
            HomeParts(
                self._store,
                HttpObjectStore(client),
                self._clock,
                parts.members,
                self._network,
                self._config,
            ),
            options.peers,
        )
        self.router = RequestRouter(
            RouterParts(
                self.slots, parts, self._network, self._homes, self._homes
            ),
            settings,
        )
        self._answers: dict[str, bytes] = {}
        self._forwards = 0
        self._forward = self.router._forwarder.forward
        self.router._forwarder.forward = self._count_forward

    async def start(self) -> None:
        """Starts the network and the router."""
        await self._network.start(self._listen)
        await self._homes.start()
        await self.router.start()

    async def held(self) -> dict[str, Any]:
        """Returns the slots held and the writes to the tables so far."""
        return {
            'held': self.slots.held_count(self._service),
            'writes': self.slots.writer.write_count,
            'journal_rows': self._store.rows_count,
        }

    async def baseline(self) -> dict[str, Any]:
        """Disables load shedding."""
        self.router.scheduler.service_times = NoEstimates()
        self._config.lift_queue_bound()
        return {}

    async def one_owner(self, hop_ratio: float) -> dict[str, Any]:
        """Forwards a share `hop_ratio` of the requests to a peer.

        This emulates executors whose slots all belong to one daemon.
        """
        find = self.router.scheduler.find_destination
        load_table = self.router.load_exchange.load_table

        async def find_owner(call: Any) -> Any:
            if self._random.random() < hop_ratio and not call.forwards_count:
                peer = load_table.choose_peer(self._service)
                if peer is not None:
                    return peer
            return await find(call)

        self.router.scheduler.find_destination = find_owner
        return {}

    async def idle(self, count: int) -> dict[str, Any]:
        """Measures direct, routed and keyed requests in turn, one at a time."""
        times: dict[str, list[float]] = {
            'direct': [],
            'routed': [],
            'keyed': [],
        }
        targets = sorted(self.targets.usable_executors(self._service))
        self._forwards = 0
        for number in range(count):
            target = targets[number % len(targets)]
            started = time.perf_counter()
            await self._send_direct(target, number)
            times['direct'].append((time.perf_counter() - started) * 1000)
            for kind in ('routed', 'keyed'):
                request = self._request(PROBE_CLASS, keyed=kind == 'keyed')
                started = time.perf_counter()
                answer = await self.router.handle(request)
                if isinstance(answer, Failure):
                    raise RuntimeError(answer.reason)
                times[kind].append((time.perf_counter() - started) * 1000)
        return {**times, 'forwards': self._forwards}

    async def load(
        self,
        rate: float,
        seconds: float,
        mix: dict[str, float],
        idempotent: bool = False,
        keyed_ratio: float = 0,
        probe_interval_s: float = 0,
    ) -> dict[str, Any]:
        """Sends requests with Poisson arrivals and counts their outcomes.

        `keyed_ratio` of them carry a key. If there is a probe interval, keyed
        probes that take no time at the executor are sent as well.
        """
        self._forwards = 0
        plain = Tally()
        keyed = Tally()
        tasks = []
        loop = asyncio.get_running_loop()
        due = loop.time()
        until = due + seconds
        probes = Tally()
        if probe_interval_s:
            probing = self._send_probes(probes, until, probe_interval_s)
            tasks.append(asyncio.create_task(probing))
        while due < until:
            await asyncio.sleep(max(0, due - loop.time()))
            chosen = self._random.choices(list(mix), list(mix.values()))[0]
            is_keyed = self._random.random() < keyed_ratio
            request = self._request(
                chosen, idempotent and not is_keyed, is_keyed
            )
            sending = self._send_request(
                request, due, keyed if is_keyed else plain
            )
            tasks.append(asyncio.create_task(sending))
            due += self._random.expovariate(rate)
        await asyncio.gather(*tasks)
        self._answers = keyed.answers
        return {
            **plain.to_plain(),
            'keyed': keyed.to_plain(),
            'probes': probes.to_plain(),
            'forwards': self._forwards,
        }

    async def repeat(self) -> dict[str, Any]:
        """Repeats the answered keyed requests of the last load."""
        counts = Counter[str]()
        for key, body in self._answers.items():
            request = self._request('', keyed=True, key=key)
            answer = await self.router.handle(request)
            if isinstance(answer, Failure):
                counts[answer.kind.value] += 1
            else:
                counts['same' if answer.body == body else 'other'] += 1
        return dict(counts)

    async def _send_probes(
        self, tally: Tally, until: float, interval_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            request = self._request(PROBE_CLASS, keyed=True)
            await self._send_request(request, loop.time(), tally)
            await asyncio.sleep(interval_s)

    async def _send_request(
        self, request: ServiceRequest, due: float, tally: Tally
    ) -> None:
        tally.offered += 1
        answer = await self.router.handle(request)
        elapsed_s = asyncio.get_running_loop().time() - due
        tally.add(request, answer, elapsed_s * 1000)

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
        self,
        request_class: str,
        is_idempotent: bool = False,
        keyed: bool = False,
        key: str = '',
    ) -> ServiceRequest:
        request_id = f'{self._random.getrandbits(64):x}'
        if keyed:
            key = key or f'k{request_id}'
        return ServiceRequest(
            self._service,
            RequestId(request_id),
            b'b',
            request_class=request_class,
            idempotency_key=IdempotencyKey(key),
            is_idempotent=is_idempotent,
        )


async def run(options: NodeOptions) -> None:
    """Runs commands until the end of standard input."""
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
