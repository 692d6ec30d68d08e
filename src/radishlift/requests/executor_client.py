"""HTTP client that sends requests to executors.

docs/requests.md lists, for each exception of aiohttp, whether bytes may have
reached the executor. `SendProgress` tracks this: nothing can have been sent
before the request has a connection.
"""

import asyncio
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any, Final

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
    TraceConfig,
)

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, ExecutorId
from radishlift.requests.api import ServiceAnswer
from radishlift.services.host_knowledge import (
    HostKnowledge,
    SendNotAllowedError,
    SendVerdict,
)

REQUEST_ID_HEADER: Final = 'X-Request-Id'
DEADLINE_HEADER: Final = 'X-Deadline-Ms'

# `TimeoutError` is an `OSError`; a closed session raises `RuntimeError`.
_SEND_ERRORS: Final = (
    ClientError,
    OSError,
    ValueError,
    RuntimeError,
    SendNotAllowedError,
)
_MIN_SERVER_ERROR_STATUS: Final = 500
_CONNECT_TIMEOUT_S: Final = 1.0
# An executor allows about 60 connections in all. Idle ones are closed soon, so
# that daemons that get its slots can connect.
_IDLE_CONNECTION_S: Final = 5.0


@dataclass(slots=True)
class SendProgress:
    """State of an exchange.

    `verdict` says whether the host list allowed new work for the target right
    before the send.
    """

    is_connected: bool = False
    target: Address = Address('')
    verdict: SendVerdict = SendVerdict.allowed


@dataclass(frozen=True, slots=True)
class Exchange:
    """Outcome of an exchange.

    `has_ended` is true when the executor is confirmed not to run the request:
    it was never sent, or its complete answer has arrived.
    """

    answer: ServiceAnswer | Failure
    has_ended: bool


class ExecutorClient:
    """Sends requests to executors, each at most once.

    aiohttp closes a connection whose request has no complete answer, and does
    not repeat a POST. Redirects are not followed, since that would send the
    request again.
    """

    def __init__(
        self,
        connections_per_executor: int,
        max_answer_bytes: int,
        knowledge: HostKnowledge,
    ) -> None:
        self._knowledge = knowledge
        self._connections_per_executor = connections_per_executor
        self._max_answer_bytes = max_answer_bytes
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Creates the connection pool."""
        trace = TraceConfig()
        trace.on_connection_create_end.append(_mark_connected)
        trace.on_connection_reuseconn.append(_mark_connected)
        # Checks the host list in the last step before a byte is written, since
        # waiting for a connection takes time and the process may be paused.
        trace.on_request_headers_sent.append(self._check_target)
        self._session = ClientSession(
            connector=TCPConnector(
                limit=0,
                limit_per_host=self._connections_per_executor,
                keepalive_timeout=_IDLE_CONNECTION_S,
            ),
            timeout=ClientTimeout(sock_connect=_CONNECT_TIMEOUT_S),
            trace_configs=[trace],
            auto_decompress=False,
        )

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def exchange(
        self,
        executor_id: ExecutorId,
        headers: dict[str, str],
        body: bytes,
        progress: SendProgress,
        timeout_ms: int,
    ) -> Exchange:
        """Sends a request and reads its whole answer.

        It is not sent if the host list allows no new work for the executor at
        that moment.
        """
        progress.target = Address(executor_id)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._exchange(
                    executor_id,
                    headers,
                    body,
                    progress,
                )
        except _SEND_ERRORS as error:
            return _failed_exchange(progress, f'{executor_id}: {error!r}')
        except asyncio.CancelledError:
            # Cancelled at the deadline of the caller or when the process stops.
            return _failed_exchange(progress, f'{executor_id}: cancelled')

    async def _exchange(
        self,
        executor_id: ExecutorId,
        headers: dict[str, str],
        body: bytes,
        progress: SendProgress,
    ) -> Exchange:
        if self._session is None:
            return _failed_exchange(
                progress, 'the executor client is not started'
            )
        async with self._session.post(
            f'http://{executor_id}/run',
            data=body,
            headers=headers,
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response:
            return await self._read(response, headers[REQUEST_ID_HEADER])

    async def _check_target(
        self,
        _session: ClientSession,
        context: SimpleNamespace,
        _event: Any,
    ) -> None:
        progress: SendProgress = context.trace_request_ctx
        progress.verdict = self._knowledge.check(progress.target)
        if progress.verdict is not SendVerdict.allowed:
            # The connection is closed before a byte of this request is sent.
            progress.is_connected = False
            raise SendNotAllowedError(progress.verdict)

    async def _read(
        self,
        response: ClientResponse,
        request_id: str,
    ) -> Exchange:
        body = await self._read_body(response)
        problem = _find_problem(response, request_id)
        if body is None:
            problem = f'answer exceeds {self._max_answer_bytes} bytes'
        if problem:
            response.close()
            failure = Failure(ErrorKind.target_outcome_unknown, problem)
            return Exchange(failure, has_ended=False)
        if response.status >= _MIN_SERVER_ERROR_STATUS:
            reason = f'executor answered {response.status}'
            failure = Failure(ErrorKind.target_failed, reason)
            return Exchange(failure, has_ended=True)
        answer = ServiceAnswer(
            response.status,
            body or b'',
            response.headers.get('Content-Type', ''),
        )
        return Exchange(answer, has_ended=True)

    async def _read_body(self, response: ClientResponse) -> bytes | None:
        chunks: list[bytes] = []
        size_bytes = 0
        async for chunk in response.content.iter_any():
            size_bytes += len(chunk)
            if size_bytes > self._max_answer_bytes:
                return None
            chunks.append(chunk)
        return b''.join(chunks)


def _find_problem(response: ClientResponse, request_id: str) -> str:
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if echoed != request_id:
        return f'answer has the request id {echoed!r:.80}'
    # Without a length or chunks a truncated body looks like a complete one.
    has_length = 'Content-Length' in response.headers
    if has_length or 'Transfer-Encoding' in response.headers:
        return ''
    return 'the end of the answer is not marked'


def _failed_exchange(progress: SendProgress, reason: str) -> Exchange:
    if progress.is_connected:
        failure = Failure(ErrorKind.target_outcome_unknown, reason)
        return Exchange(failure, has_ended=False)
    return Exchange(Failure(ErrorKind.no_target, reason), has_ended=True)


async def _mark_connected(
    _session: ClientSession,
    context: SimpleNamespace,
    _event: Any,
) -> None:
    context.trace_request_ctx.is_connected = True


__all__ = (
    'DEADLINE_HEADER',
    'REQUEST_ID_HEADER',
    'Exchange',
    'ExecutorClient',
    'SendProgress',
)
