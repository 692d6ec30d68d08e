"""HTTP clients of the platform's services."""

import json
from dataclasses import dataclass
from typing import Any, Final

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
)

from radishlift.core.codec import dump_plain, parse_json, parse_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address
from radishlift.services.api import (
    Committed,
    Conflict,
    Host,
    Row,
    Transaction,
)

_OK: Final = 200
_NOT_MODIFIED: Final = 304
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_REFUSED_STATUSES: Final = frozenset((429, 503))


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Status, body and entity tag of an answer of the platform."""

    status: int
    body: bytes
    tag: str


class PlatformClient:
    """Sends requests to one address; used by the clients of the services."""

    def __init__(
        self,
        session: ClientSession,
        address: Address,
        timeout_ms: int,
    ) -> None:
        self._session = session
        self._base_url = f'http://{address}'
        self._timeout = ClientTimeout(total=timeout_ms / 1000)

    async def call(
        self,
        method: str,
        path: str,
        **options: Any,
    ) -> PlatformAnswer | Failure:
        """Sends a request and reads the whole answer.

        Fails with `store_unavailable` if the request was certainly not
        executed, otherwise with `store_outcome_unknown`.
        """
        url = self._base_url + path
        try:
            async with self._session.request(
                method,
                url,
                timeout=self._timeout,
                **options,
            ) as response:
                body = await response.read()
        except ClientConnectorError as refused:
            return Failure(ErrorKind.store_unavailable, str(refused))
        except TimeoutError:
            return Failure(ErrorKind.store_outcome_unknown, 'request timed out')
        except ClientError as error:
            return Failure(ErrorKind.store_outcome_unknown, repr(error))
        if response.status in _REFUSED_STATUSES:
            reason = f'platform answered {response.status}'
            return Failure(ErrorKind.store_unavailable, reason)
        if response.status >= 500:
            reason = f'platform answered {response.status}'
            return Failure(ErrorKind.store_outcome_unknown, reason)
        tag = response.headers.get('ETag', '')
        return PlatformAnswer(response.status, body, tag)

    async def call_json(
        self,
        method: str,
        path: str,
        **options: Any,
    ) -> tuple[int, Any] | Failure:
        """Sends a request; returns the status and the JSON body."""
        answer = await self.call(method, path, **options)
        if isinstance(answer, Failure):
            return answer
        try:
            return answer.status, json.loads(answer.body)
        except ValueError:
            reason = f'platform answered {answer.status} without JSON'
            return Failure(ErrorKind.store_outcome_unknown, reason)


class HttpTableStore:
    """Client of the table service."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""
        answer = await self._client.call_json(
            'GET',
            '/table/row',
            params={'table': table, 'key': key},
        )
        if isinstance(answer, Failure):
            return answer
        return parse_plain(answer[1], Row)

    async def scan(
        self,
        table: str,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
    ) -> tuple[Row, ...] | Failure:
        """Reads up to `limit` rows with keys after `after`, in key order."""
        answer = await self._client.call_json(
            'GET',
            '/table/scan',
            params={
                'table': table,
                'prefix': prefix,
                'after': after,
                'limit': str(limit),
            },
        )
        if isinstance(answer, Failure):
            return answer
        return parse_plain(answer[1]['rows'], tuple[Row, ...])

    async def commit(
        self,
        transaction: Transaction,
    ) -> Committed | Conflict | Failure:
        """Applies a transaction."""
        answer = await self._client.call_json(
            'POST',
            '/table/commit',
            json=dump_plain(transaction),
        )
        if isinstance(answer, Failure):
            return answer
        status, plain = answer
        if status == _OK:
            return parse_plain(plain, Committed)
        if status == _CONFLICT:
            return parse_plain(plain, Conflict)
        return Failure(ErrorKind.invalid_input, f'commit answered {status}')


class HttpObjectStore:
    """Client of the object store."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def put(self, name: str, content: bytes) -> Failure | None:
        """Stores an object; replaces an existing object of the name."""
        answer = await self._client.call(
            'PUT', _object_path(name), data=content
        )
        return answer if isinstance(answer, Failure) else None

    async def get(self, name: str) -> bytes | Failure:
        """Reads an object; fails with `not_found` if it does not exist."""
        answer = await self._client.call('GET', _object_path(name))
        if isinstance(answer, Failure):
            return answer
        if answer.status == _NOT_FOUND:
            return Failure(ErrorKind.not_found, f'no object {name}')
        return answer.body

    async def delete(self, name: str) -> Failure | None:
        """Deletes an object if it exists."""
        answer = await self._client.call('DELETE', _object_path(name))
        return answer if isinstance(answer, Failure) else None


class HttpHostList:
    """Client of the host list.

    The list is large and rarely changes, so each request has the entity tag
    of the last list, and the platform sends the list only if it differs.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client
        self._tag = ''
        self._hosts: tuple[Host, ...] = ()

    async def fetch(self) -> tuple[Host, ...] | Failure:
        """Reads the list; returns the same object while it is unchanged."""
        # Reads may overlap: a 304 refers to the list whose tag was sent.
        cached_hosts = self._hosts
        headers = {'If-None-Match': self._tag} if self._tag else {}
        answer = await self._client.call('GET', '/hosts', headers=headers)
        if isinstance(answer, Failure):
            return answer
        if answer.status == _NOT_MODIFIED:
            return cached_hosts
        listed = parse_json(answer.body, _HostListBody)
        if isinstance(listed, Failure):
            return Failure(ErrorKind.store_unavailable, listed.reason)
        self._tag = answer.tag
        self._hosts = listed.hosts
        return self._hosts


@dataclass(frozen=True, slots=True)
class _HostListBody:
    hosts: tuple[Host, ...]


def _object_path(name: str) -> str:
    return f'/objects/{name}'


__all__ = (
    'HttpHostList',
    'HttpObjectStore',
    'HttpTableStore',
    'PlatformClient',
)
