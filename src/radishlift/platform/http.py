"""HTTP client with JSON bodies for the platform's services and targets."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from radishlift.core.errors import ErrorKind, Failure, TimedOut
from radishlift.core.ids import Address
from radishlift.platform.json_bodies import describe, read_json

# Targets accept 64 connections from all daemons together.
_MAX_CONNECTIONS = 60
# Below the 15 s after which the platform closes idle connections.
_KEEP_ALIVE_S = 10
# Longer than the longest timeout of a call.
_RETIRED_CLOSE_DELAY_S = 10


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Status and body of an answer.

    `fields` is empty if the body is empty or not a JSON object.
    """

    status: int
    fields: Mapping[str, Any]


class JsonClient:
    """Sends calls; shared by the clients of all services.

    Each address has its own connection pool. A call without an answer may have
    used a connection that no longer works, and the idle connections to the
    same address may be equally affected, so the whole pool is replaced.
    """

    def __init__(self) -> None:
        self._sessions: dict[Address, ClientSession] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._is_closed = False

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

        Fails with `peer_unavailable` if no connection was established, so the
        call had no effect, else with `peer_outcome_unknown`.
        """
        if self._is_closed:
            return Failure(ErrorKind.peer_unavailable, 'client is closed')
        data = None if body is None else json.dumps(body).encode()
        session = self._session(address)
        try:
            async with session.request(
                method,
                f'http://{address}{path}',
                data=data,
                headers=headers,
                timeout=ClientTimeout(total=timeout_ms / 1000),
                # A redirected call would be sent twice, and a failure of its
                # second connection would look like one that was not sent.
                allow_redirects=False,
            ) as response:
                return _decode(response.status, await response.read())
        except ClientConnectorError as error:
            return Failure(ErrorKind.peer_unavailable, str(error))
        except TimeoutError:
            failure: Failure = TimedOut(
                ErrorKind.peer_outcome_unknown,
                f'no answer within {timeout_ms} ms',
            )
        except (ClientError, OSError, ValueError) as error:
            failure = Failure(ErrorKind.peer_outcome_unknown, describe(error))
        self._retire(address, session)
        return failure

    def renew(self, address: Address) -> None:
        """Opens new connections for later calls to an address."""
        session = self._sessions.get(address)
        if session is not None:
            self._retire(address, session)

    async def close(self) -> None:
        """Closes all connections; ends calls that wait for an answer."""
        # Calls that fail meanwhile replace sessions, so the table must not
        # change while its sessions are closed.
        self._is_closed = True
        sessions = tuple(self._sessions.values())
        self._sessions.clear()
        closing = tuple(self._closing)
        for task in closing:
            task.cancel()
        await asyncio.gather(
            *(session.close() for session in sessions),
            *closing,
            return_exceptions=True,
        )

    def _session(self, address: Address) -> ClientSession:
        session = self._sessions.get(address)
        if session is None:
            connector = TCPConnector(
                limit=_MAX_CONNECTIONS,
                keepalive_timeout=_KEEP_ALIVE_S,
                use_dns_cache=False,
            )
            session = ClientSession(
                connector=connector,
                headers={'Content-Type': 'application/json'},
            )
            self._sessions[address] = session
        return session

    def _retire(self, address: Address, session: ClientSession) -> None:
        if self._sessions.get(address) is not session:
            return
        del self._sessions[address]
        task = asyncio.create_task(_close_later(session))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _close_later(session: ClientSession) -> None:
    try:
        # Calls in progress on the session end before it is closed.
        await asyncio.sleep(_RETIRED_CLOSE_DELAY_S)
    finally:
        await session.close()


def _decode(status: int, body: bytes) -> JsonAnswer:
    if not body:
        return JsonAnswer(status, {})
    fields = read_json(body)
    return JsonAnswer(status, fields if isinstance(fields, dict) else {})


__all__ = ('JsonAnswer', 'JsonClient')
