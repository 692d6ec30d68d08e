"""HTTP client with JSON bodies for the platform's services and targets."""

import asyncio
import json
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from radishlift.core.errors import ErrorKind, Failure, TimedOut
from radishlift.core.ids import Address
from radishlift.platform.json_bodies import describe, read_json

# Targets accept 64 connections from all daemons together.
_MAX_CONNECTIONS: Final = 60
# Below the 15 s after which the platform closes idle connections.
_KEEP_ALIVE_S: Final = 10
# Longest pause within an answer; a lost packet is sent again after 1 s.
_MAX_PAUSE_MS: Final = 1500
# Share of the link that a body may need while other calls use it.
_BODY_LINK_SHARE: Final = 0.5
_BITS_PER_BYTE: Final = 8
_BITS_PER_MEGABIT: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Status and body of an answer.

    `fields` is empty if the body is empty or not a JSON object.
    """

    status: int
    fields: Mapping[str, Any]
    size_bytes: int = 0


class JsonClient:
    """Sends calls; shared by the clients of all services.

    Each address has its own connection pool. A call without an answer may have
    used a connection that no longer works, and the idle connections to the
    same address may be equally affected, so the whole pool is replaced.

    `link_mbps` is the rate of the host's link, 0 if it is not limited.
    """

    def __init__(self, link_mbps: float = 0) -> None:
        self._pools: dict[Address, _Pool] = {}
        self._retired: set[_Pool] = set()
        self._closing: set[asyncio.Task[None]] = set()
        self._is_closed = False
        self._on_received: dict[Address, Callable[[], None]] = {}
        self.link_bytes_per_s = link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE

    async def call(
        self,
        method: str,
        address: Address,
        path: str,
        timeout_ms: int,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> JsonAnswer | Failure:
        """Sends one call and reads the whole answer.

        `timeout_ms` limits the time until the answer begins, besides the time
        that the link needs for a long body, and each pause within the answer.
        A long answer on a slow link has no other limit. Fails with
        `peer_unavailable` if no connection was established, so the call had no
        effect, else with `peer_outcome_unknown`.
        """
        if self._is_closed:
            return Failure(ErrorKind.peer_unavailable, 'client is closed')
        data = None if body is None else json.dumps(body).encode()
        with self._use_pool(address) as pool:
            try:
                async with (
                    self._limit_time(timeout_ms, data) as limit,
                    pool.session.request(
                        method,
                        f'http://{address}{path}',
                        data=data,
                        headers=headers,
                        # A redirected call would be sent twice, and a failure
                        # of its second connection would look like one that was
                        # not sent.
                        allow_redirects=False,
                    ) as response,
                ):
                    content = await self._read(
                        address, response, limit, timeout_ms
                    )
                    return _decode(response.status, content)
            except ClientConnectorError as error:
                return Failure(ErrorKind.peer_unavailable, str(error))
            except TimeoutError:
                failure: Failure = TimedOut(
                    ErrorKind.peer_outcome_unknown,
                    f'no answer within {timeout_ms} ms',
                )
            except (ClientError, OSError, ValueError) as error:
                failure = Failure(
                    ErrorKind.peer_outcome_unknown, describe(error)
                )
            self._retire(address, pool)
        return failure

    def notify_received(
        self, address: Address, callback: Callable[[], None]
    ) -> None:
        """Lets a callback run whenever a part of a success arrives."""
        self._on_received[address] = callback

    def renew(self, address: Address) -> None:
        """Opens new connections for later calls to an address."""
        pool = self._pools.get(address)
        if pool is not None:
            self._retire(address, pool)

    async def close(self) -> None:
        """Closes all connections; ends calls that wait for an answer."""
        # Calls that fail meanwhile replace pools, so the table must not change
        # while its pools are closed.
        self._is_closed = True
        pools = (*self._pools.values(), *self._retired)
        self._pools.clear()
        await asyncio.gather(
            *(pool.session.close() for pool in pools),
            *self._closing,
            return_exceptions=True,
        )

    def _limit_time(
        self, timeout_ms: int, data: bytes | None
    ) -> asyncio.Timeout:
        body_s: float = 0
        if data and self.link_bytes_per_s:
            body_s = len(data) / (self.link_bytes_per_s * _BODY_LINK_SHARE)
        return asyncio.timeout(timeout_ms / 1000 + body_s)

    async def _read(
        self,
        address: Address,
        response: ClientResponse,
        limit: asyncio.Timeout,
        timeout_ms: int,
    ) -> bytes:
        """Reads a body, however long it takes while it makes progress."""
        now_s = asyncio.get_running_loop().time
        pause_s = min(timeout_ms, _MAX_PAUSE_MS) / 1000
        on_received = _ignore_bytes
        if response.status == HTTPStatus.OK:
            # A service that refuses calls is not in contact.
            on_received = self._on_received.get(address, _ignore_bytes)
        on_received()
        pieces = []
        async for piece in response.content.iter_any():
            limit.reschedule(now_s() + pause_s)
            on_received()
            pieces.append(piece)
        return b''.join(pieces)

    @contextmanager
    def _use_pool(self, address: Address) -> Iterator['_Pool']:
        pool = self._pools.get(address)
        if pool is None:
            pool = _Pool(_open_session())
            self._pools[address] = pool
        pool.calls_count += 1
        try:
            yield pool
        finally:
            pool.calls_count -= 1
            self._close_if_unused(pool)

    def _retire(self, address: Address, pool: '_Pool') -> None:
        if self._pools.get(address) is pool:
            del self._pools[address]
            self._retired.add(pool)
            self._close_if_unused(pool)

    def _close_if_unused(self, pool: '_Pool') -> None:
        # Calls in progress end before their connections are closed.
        if pool.calls_count or pool not in self._retired:
            return
        self._retired.discard(pool)
        task = asyncio.create_task(pool.session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


@dataclass(slots=True, eq=False)
class _Pool:
    """Connections to one address, and how many calls use them."""

    session: ClientSession
    calls_count: int = 0


def _open_session() -> ClientSession:
    connector = TCPConnector(
        limit=_MAX_CONNECTIONS,
        keepalive_timeout=_KEEP_ALIVE_S,
        use_dns_cache=False,
    )
    return ClientSession(
        connector=connector,
        headers={'Content-Type': 'application/json'},
        timeout=ClientTimeout(total=None),
    )


def _ignore_bytes() -> None:
    """Ignores that a part of an answer has arrived."""


def _decode(status: int, body: bytes) -> JsonAnswer:
    if not body:
        return JsonAnswer(status, {})
    fields = read_json(body)
    return JsonAnswer(
        status, fields if isinstance(fields, dict) else {}, len(body)
    )


__all__ = ('JsonAnswer', 'JsonClient')
