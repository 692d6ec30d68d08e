"""JSON over HTTP to the services and targets of the platform."""

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

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address

# Above the 64 connections that a target accepts, and the calls that wait.
_MAX_CONNECTIONS = 1000
# Below the 15 s after which the platform closes idle connections.
_KEEP_ALIVE_S = 10


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Status and body of an answer; an unreadable body is empty."""

    status: int
    fields: Mapping[str, Any]


class JsonClient:
    """Sends calls; shared by the clients of all services."""

    def __init__(self) -> None:
        self._session: ClientSession | None = None
        self.calls_count = 0

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

        Fails with `peer_unavailable` when no connection was made, so that
        nothing was done, else with `peer_outcome_unknown`.
        """
        self.calls_count += 1
        sent = None if body is None else json.dumps(body).encode()
        try:
            async with self._open().request(
                method,
                f'http://{address}{path}',
                data=sent,
                headers=headers,
                timeout=ClientTimeout(total=timeout_ms / 1000),
            ) as response:
                return _decode(response.status, await response.read())
        except ClientConnectorError as refused:
            return Failure(ErrorKind.peer_unavailable, str(refused))
        except TimeoutError:
            reason = f'no answer in {timeout_ms} ms'
            return Failure(ErrorKind.peer_outcome_unknown, reason)
        except (ClientError, OSError, ValueError) as error:
            return Failure(ErrorKind.peer_outcome_unknown, repr(error))

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    def _open(self) -> ClientSession:
        # aiohttp's session must be created inside the running loop.
        if self._session is None:
            connector = TCPConnector(
                limit=_MAX_CONNECTIONS,
                keepalive_timeout=_KEEP_ALIVE_S,
                use_dns_cache=False,
            )
            self._session = ClientSession(
                connector=connector,
                headers={'Content-Type': 'application/json'},
            )
        return self._session


def _decode(status: int, body: bytes) -> JsonAnswer:
    if not body:
        return JsonAnswer(status, {})
    plain = json.loads(body)
    return JsonAnswer(status, plain if isinstance(plain, dict) else {})


__all__ = ('JsonAnswer', 'JsonClient')
