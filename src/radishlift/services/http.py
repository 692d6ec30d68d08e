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
_MULTIPLE_CHOICES: Final = 300
_NOT_MODIFIED: Final = 304
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_REFUSED_STATUSES: Final = frozenset((429, 503))
_EXPECTED_STATUSES: Final = frozenset((_NOT_MODIFIED, _NOT_FOUND, _CONFLICT))
_COMMIT_ANSWERS: Final[dict[int, type[Committed | Conflict]]] = {
    _OK: Committed,
    _CONFLICT: Conflict,
}


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
                # A redirected commit would be sent twice, and a failure of its
                # second connection would look like one that was not sent.
                allow_redirects=False,
                **options,
            ) as response:
                body = await response.read()
        except ClientConnectorError as refused:
            return Failure(ErrorKind.store_unavailable, str(refused))
        except TimeoutError:
            return _unknown_outcome('request timed out')
        except ClientError as error:
            return _unknown_outcome(repr(error))
        if response.status in _REFUSED_STATUSES:
            reason = f'platform answered {response.status}'
            return Failure(ErrorKind.store_unavailable, reason)
        if not _is_expected(response.status):
            return _unknown_outcome(f'platform answered {response.status}')
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
            return _unknown_outcome(reason)


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
        expected = _COMMIT_ANSWERS.get(status)
        if expected is None:
            return _unknown_outcome(f'commit answered {status}')
        outcome = parse_plain(plain, expected)
        if isinstance(outcome, Failure):
            return _unknown_outcome(outcome.reason)
        return outcome


class HttpObjectStore:
    """Client of the object store."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def put(self, name: str, content: bytes) -> Failure | None:
        """Stores an object; replaces an existing object of the name."""
        answer = await self._client.call(
            'PUT', _object_path(name), data=content
        )
        if isinstance(answer, Failure):
            return answer
        if not _is_success(answer.status):
            return _unknown_outcome(f'platform answered {answer.status}')
        return None

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


def _is_success(status: int) -> bool:
    return _OK <= status < _MULTIPLE_CHOICES


def _is_expected(status: int) -> bool:
    return _is_success(status) or status in _EXPECTED_STATUSES


def _unknown_outcome(reason: str) -> Failure:
    return Failure(ErrorKind.store_outcome_unknown, reason)


def _object_path(name: str) -> str:
    return f'/objects/{name}'


__all__ = (
    'HttpHostList',
    'HttpObjectStore',
    'HttpTableStore',
    'PlatformClient',
)
