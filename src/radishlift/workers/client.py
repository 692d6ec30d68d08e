"""HTTP client of the worker protocol; each daemon has one."""

from types import SimpleNamespace
from typing import Any, Final, TypeVar

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
    TraceConfig,
)

from radishlift.core.clock import BootClock, Clock
from radishlift.core.codec import dump_plain, parse_json
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, WorkerId
from radishlift.placement.orders import OrderKind
from radishlift.services.host_knowledge import (
    HostKnowledge,
    SendNotAllowedError,
    SendVerdict,
)
from radishlift.workers.messages import (
    AttemptKey,
    ClockReply,
    ForgetMessage,
    Refusal,
    RenewMessage,
    StartMessage,
    StateReply,
    WorkerDescription,
    WorkerReport,
)
from radishlift.workers.poll_rate import PollRateLimiter
from radishlift.workers.settings import WorkerSettings

Reply = TypeVar('Reply')

_OK: Final = 200
_CONFLICT: Final = 409
_KEEP_ALIVE_S: Final = 30


class WorkerClient:
    """Sends typed messages to workers over a bounded connection pool.

    Calls return the reply, a `Refusal` (no effect), or a `Failure`:
    `peer_unavailable` when the message was certainly not sent and
    `target_outcome_unknown` when it may have taken effect. A start is not sent
    to a worker that may not get new work at that moment. `poll_rate_limiter`
    limits the polls of all partitions of the daemon together.
    """

    def __init__(
        self,
        settings: WorkerSettings,
        host_knowledge: HostKnowledge,
        clock: Clock | None = None,
    ) -> None:
        self.poll_rate_limiter = PollRateLimiter(settings, clock or BootClock())
        self._host_knowledge = host_knowledge
        trace = TraceConfig()
        # A start may wait for a free connection up to its timeout, so the
        # host list is checked again when the request is sent.
        trace.on_request_headers_sent.append(self._check_start)
        self._timeout = ClientTimeout(total=settings.timeout_ms / 1000)
        self._session = ClientSession(
            connector=TCPConnector(
                limit=settings.connections_count,
                keepalive_timeout=_KEEP_ALIVE_S,
            ),
            cookie_jar=DummyCookieJar(),
            trace_configs=[trace],
        )
        self.call_count = 0
        self.body_bytes = 0

    async def close(self) -> None:
        """Closes the session and all its connections."""
        await self._session.close()

    def check_new_work(self, worker_id: WorkerId) -> SendVerdict:
        """Returns whether a worker may get new work now, or why not."""
        return self._host_knowledge.check(Address(worker_id))

    @property
    def listed_at_ms(self) -> int | None:
        """Returns when the last read of the whole host list was sent."""
        return self._host_knowledge.listed_at_ms

    async def describe(
        self,
        worker_id: WorkerId,
    ) -> WorkerDescription | Refusal | Failure:
        """Requests the worker's incarnation, clock and capacity."""
        return await self._call(worker_id, '/worker', None, WorkerDescription)

    async def start(
        self,
        worker_id: WorkerId,
        message: StartMessage,
    ) -> StateReply | Refusal | Failure:
        """Starts an attempt; may be repeated."""
        return await self._call(worker_id, '/tasks/start', message, StateReply)

    async def renew(
        self,
        worker_id: WorkerId,
        message: RenewMessage,
    ) -> ClockReply | Refusal | Failure:
        """Renews the leases of attempts; may be repeated."""
        return await self._call(worker_id, '/tasks/renew', message, ClockReply)

    async def send_order(
        self,
        worker_id: WorkerId,
        kind: OrderKind,
        key: AttemptKey,
    ) -> StateReply | Refusal | Failure:
        """Sends an order to stop, throttle or checkpoint; may be repeated."""
        path = f'/tasks/{kind.value}'
        return await self._call(worker_id, path, key, StateReply)

    async def report(
        self,
        worker_id: WorkerId,
    ) -> WorkerReport | Refusal | Failure:
        """Requests the worker's attempts and their lagged usage."""
        return await self._call(worker_id, '/report', None, WorkerReport)

    async def forget(
        self,
        worker_id: WorkerId,
        message: ForgetMessage,
    ) -> ClockReply | Refusal | Failure:
        """Lets the worker drop ended attempts; may be repeated."""
        return await self._call(worker_id, '/tasks/forget', message, ClockReply)

    async def _call(
        self,
        worker_id: WorkerId,
        path: str,
        message: object | None,
        reply_type: type[Reply],
    ) -> Reply | Refusal | Failure:
        url = f'http://{worker_id}{path}'
        method = 'GET' if message is None else 'POST'
        body_fields = None if message is None else dump_plain(message)
        self.call_count += 1
        is_new_work = isinstance(message, StartMessage)
        try:
            async with self._session.request(
                method,
                url,
                json=body_fields,
                timeout=self._timeout,
                # A redirected start would be sent twice, and a failure of its
                # second connection would look like a start that was not sent.
                allow_redirects=False,
                trace_request_ctx=worker_id if is_new_work else None,
            ) as response:
                body = await response.read()
        except (ClientConnectorError, SendNotAllowedError) as error:
            return Failure(ErrorKind.peer_unavailable, str(error))
        except TimeoutError:
            return _unknown_outcome(worker_id, 'request timed out')
        except ClientError as error:
            return _unknown_outcome(worker_id, repr(error))
        self.body_bytes += len(body)
        return _parse_reply(worker_id, response.status, body, reply_type)

    async def _check_start(
        self,
        _session: ClientSession,
        context: SimpleNamespace,
        _event: Any,
    ) -> None:
        worker_id: WorkerId | None = context.trace_request_ctx
        if worker_id is None:
            return
        verdict = self.check_new_work(worker_id)
        if verdict is not SendVerdict.allowed:
            raise SendNotAllowedError(verdict)


def _parse_reply(
    worker_id: WorkerId,
    status: int,
    body: bytes,
    reply_type: type[Any],
) -> Any:
    if status not in {_OK, _CONFLICT}:
        return _unknown_outcome(worker_id, f'unexpected HTTP status {status}')
    expected = reply_type if status == _OK else Refusal
    reply = parse_json(body, expected)
    if isinstance(reply, Failure):
        return _unknown_outcome(worker_id, reply.reason)
    return reply


def _unknown_outcome(worker_id: WorkerId, reason: str) -> Failure:
    return Failure(ErrorKind.target_outcome_unknown, f'{worker_id}: {reason}')


__all__ = ('WorkerClient',)
