"""Sends requests on acquired slots and frees the slots afterwards."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from secrets import token_hex
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ServiceName
from radishlift.requests.api import ServiceAnswer, ServiceRequest
from radishlift.requests.calls import Call
from radishlift.requests.executor_client import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    Exchange,
    ExecutorClient,
    SendProgress,
)
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_views import SlotView
from radishlift.services.host_knowledge import SendVerdict

_RESERVED_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'idempotency-key',
        'keep-alive',
        'radishlift-class',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-deadline-ms',
        'x-request-id',
    )
)


@dataclass(frozen=True, slots=True)
class DispatchResult:
    """Outcome of an attempt and how long the caller waited for it.

    `late_exchange` completes when an exchange ends after the wait for it.
    `verdict` says what the host list allowed right before the send.
    """

    answer: ServiceAnswer | Failure
    elapsed_ms: int
    late_exchange: 'asyncio.Future[Exchange] | None' = None
    verdict: SendVerdict = SendVerdict.allowed


class Dispatcher:
    """Runs attempts; each occupies its slot until the executor has ended it.

    An attempt continues after its caller has stopped waiting, because a late
    answer proves that the executor has finished. Without an answer the slot
    stays occupied for the longest deadline after the connection is closed.
    """

    def __init__(
        self,
        client: ExecutorClient,
        limits: ServiceLimits,
        clock: Clock,
        settings: RequestSettings,
    ) -> None:
        self._client = client
        self._limits = limits
        self._clock = clock
        self._settings = settings
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_slot_freed: Callable[[ServiceName], None] = _ignore_freed_slot
        self.before_send: Callable[[], Awaitable[None]] | None = None

    async def dispatch(
        self,
        view: SlotView,
        call: Call,
        timeout_ms: int,
    ) -> DispatchResult:
        """Sends a request on an acquired slot and waits for its answer.

        When `timeout_ms` passes before there is a connection, nothing is sent.
        """
        started_at_ms = self._clock.monotonic_ms()
        progress = SendProgress()
        loop = asyncio.get_running_loop()
        done: asyncio.Future[Exchange] = loop.create_future()
        task = asyncio.create_task(self._attempt(view, call, progress, done))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait({done}, timeout=max(0, timeout_ms) / 1000)
        if not done.done() and not progress.is_connected:
            task.cancel()
            await asyncio.wait({done})
        elapsed_ms = self._clock.monotonic_ms() - started_at_ms
        if done.done():
            answer = done.result().answer
            verdict = progress.verdict
            return DispatchResult(answer, elapsed_ms, verdict=verdict)
        reason = f'{view.executor_id} did not answer within {elapsed_ms} ms'
        failure = Failure(ErrorKind.target_outcome_unknown, reason)
        return DispatchResult(failure, elapsed_ms, done)

    async def _attempt(
        self,
        view: SlotView,
        call: Call,
        progress: SendProgress,
        done: 'asyncio.Future[Exchange]',
    ) -> None:
        try:
            exchange = await self._exchange(view, call, progress)
        except asyncio.CancelledError:
            failure = Failure(ErrorKind.no_target, 'cancelled before the send')
            exchange = Exchange(failure, has_ended=True)
        done.set_result(exchange)
        if exchange.has_ended:
            self._free_slot(view)
            return
        # Unlike a task, a timer does not delay the exit of this process. After
        # an exit other daemons reclaim its slots after the same time.
        loop = asyncio.get_running_loop()
        loop.call_later(self._max_run_ms / 1000, self._free_slot, view)

    def _free_slot(self, view: SlotView) -> None:
        view.busy_count -= 1
        self.on_slot_freed(view.service)

    async def _exchange(
        self,
        view: SlotView,
        call: Call,
        progress: SendProgress,
    ) -> Exchange:
        if self.before_send is not None:
            await self.before_send()
        if call.remaining_ms <= 0:
            reason = 'the deadline passed before the send'
            failure = Failure(ErrorKind.deadline_passed, reason)
            return Exchange(failure, has_ended=True)
        headers = _make_headers(call.request)
        headers[DEADLINE_HEADER] = str(call.remaining_ms)
        return await self._client.exchange(
            view.executor_id,
            headers,
            call.request.body,
            progress,
            self._max_run_ms,
        )

    @property
    def _max_run_ms(self) -> int:
        return (
            self._limits.longest_deadline_ms + self._settings.settle_margin_ms
        )


def _make_headers(request: ServiceRequest) -> dict[str, str]:
    headers = {
        name: text
        for name, text in request.headers
        if name.lower() not in _RESERVED_HEADERS
    }
    # Each attempt has its own id, so that the answer to an earlier attempt of
    # the same request is not accepted for this one.
    headers[REQUEST_ID_HEADER] = f'{request.request_id}.{token_hex(4)}'
    if request.idempotency_key:
        headers['Idempotency-Key'] = request.idempotency_key
    if request.request_class:
        headers['Radishlift-Class'] = request.request_class
    return headers


def _ignore_freed_slot(_service: ServiceName) -> None:
    """Does nothing; the default of `Dispatcher.on_slot_freed`."""


__all__ = ('DispatchResult', 'Dispatcher')
