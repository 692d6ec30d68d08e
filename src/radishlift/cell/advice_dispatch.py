"""Distributes calls to the advice service over the daemons.

The service handles one call per host at a time: if only the leader called it,
its requests would wait for each other. Each daemon gets one request at a time.
Waiting requests stay with the leader, which sends urgent ones first.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final

from radishlift.cell.messages import AdviseCall, AdviseReply
from radishlift.cell.pending_advice import PendingAdvice
from radishlift.cell.ports import AdviceAnswer, AdviceCalls
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, JobId
from radishlift.core.logs import log_event
from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.ids import StepKey, TargetId
from radishlift.wire.network import PeerNetwork

# Time for the network and a busy host, in addition to that of the service.
_TIMEOUT_MARGIN_MS: Final = 600
# Daemons without an answer get no requests for this long.
_AVOID_MS: Final = 3000
# Consecutive failures multiply that time up to this factor. A daemon that
# works again stays unused until the time has passed.
_MAX_AVOID_FACTOR: Final = 2

_CallTask = asyncio.Task[AdviseReply | Failure]


class AdviceProxy:
    """Calls the advice service on behalf of the leader, in every daemon."""

    def __init__(self, network: PeerNetwork, calls: AdviceCalls) -> None:
        self._calls = calls
        network.register(AdviseCall, self._serve)

    async def _serve(
        self,
        _: DaemonId,
        call: AdviseCall,
    ) -> AdviseReply | Failure:
        key = StepKey(JobId(call.job_id), call.occurrence, call.step)
        target_ids = tuple(map(TargetId, call.target_ids))
        answer = await self._calls.request(key, target_ids, call.timeout_ms)
        if isinstance(answer, Failure):
            return answer
        return AdviseReply(answer.tickets, answer.valid_ms)


class AdviceDispatcher:
    """Sends a leader's advice requests through all daemons."""

    def __init__(
        self,
        network: PeerNetwork,
        pending_advice: PendingAdvice,
        list_daemons: Callable[[], list[DaemonId]],
        clock: Clock,
    ) -> None:
        self._network = network
        self._pending_advice = pending_advice
        self._list_daemons = list_daemons
        self._clock = clock
        self._open_requests: dict[DaemonId, AdviceRequest] = {}
        self._requested_at_ms: dict[DaemonId, int] = {}
        self._avoided_until_ms: dict[DaemonId, int] = {}
        self._failures_count: dict[DaemonId, int] = {}
        self._tasks: set[_CallTask] = set()

    async def run(self) -> None:
        """Sends requests to free daemons until it is cancelled."""
        changed = self._pending_advice.changed
        while True:
            await changed.wait()
            changed.clear()
            self._dispatch()

    def close(self) -> None:
        """Cancels open requests."""
        for task in self._tasks:
            task.cancel()

    def _dispatch(self) -> None:
        now_ms = self._clock.monotonic_ms()
        daemons = self._list_usable(now_ms)
        free = [
            daemon_id
            for daemon_id in daemons
            if daemon_id not in self._open_requests
        ]
        free.sort(key=self._preference)
        for daemon_id in free:
            long_count = sum(
                map(self._pending_advice.is_long, self._open_requests.values())
            )
            request = self._pending_advice.pop(len(daemons), long_count)
            if request is None:
                return
            self._open_requests[daemon_id] = request
            self._requested_at_ms[daemon_id] = now_ms
            task = asyncio.create_task(self._call(daemon_id, request))
            self._tasks.add(task)
            task.add_done_callback(
                partial(self._finish_request, daemon_id, request)
            )

    def _list_usable(self, now_ms: int) -> list[DaemonId]:
        """Lists the daemons that may get requests, also busy ones.

        If all of them failed recently, the cause is probably common, as an
        outage of the service is, and none is avoided any more.
        """
        daemons = self._list_daemons()
        usable = [
            daemon_id
            for daemon_id in daemons
            if self._avoided_until_ms.get(daemon_id, 0) <= now_ms
        ]
        if usable:
            return usable
        self._avoided_until_ms.clear()
        self._failures_count.clear()
        return daemons

    def _preference(self, daemon_id: DaemonId) -> tuple[bool, bool, int]:
        # Daemons that failed last time come last. The leader comes before them
        # and after all others, because its processor is the bottleneck.
        has_failed = daemon_id in self._failures_count
        is_leader = daemon_id == self._network.daemon_id
        requested_at_ms = self._requested_at_ms.get(daemon_id, 0)
        return has_failed, is_leader, requested_at_ms

    def _finish_request(
        self,
        daemon_id: DaemonId,
        request: AdviceRequest,
        task: _CallTask,
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        del self._open_requests[daemon_id]
        error = task.exception()
        answer = (
            task.result()
            if error is None
            else Failure(ErrorKind.peer_outcome_unknown, repr(error))
        )
        if isinstance(answer, AdviseReply):
            self._failures_count.pop(daemon_id, None)
            self._pending_advice.store_answer(request, _decode(answer))
            return
        self._avoid(daemon_id)
        log_event(
            'advice_failed',
            step=request.key,
            daemon=daemon_id,
            reason=answer.reason,
        )
        self._pending_advice.retry_later(request)

    def _avoid(self, daemon_id: DaemonId) -> None:
        failures_count = self._failures_count.get(daemon_id, 0) + 1
        self._failures_count[daemon_id] = failures_count
        avoid_ms = _AVOID_MS * min(failures_count, _MAX_AVOID_FACTOR)
        now_ms = self._clock.monotonic_ms()
        self._avoided_until_ms[daemon_id] = now_ms + avoid_ms

    async def _call(
        self,
        daemon_id: DaemonId,
        request: AdviceRequest,
    ) -> AdviseReply | Failure:
        call = AdviseCall(
            *request.key,
            target_ids=request.target_ids,
            timeout_ms=int(request.duration_ms) + _TIMEOUT_MARGIN_MS,
        )
        try:
            # The timeout includes the time to connect.
            async with asyncio.timeout(call.timeout_ms / 1000):
                reply: AdviseReply | Failure = await self._network.call(
                    daemon_id,
                    call,
                    call.timeout_ms,
                )
        except TimeoutError:
            return Failure(ErrorKind.peer_unavailable, 'no answer in time')
        return reply


def _decode(reply: AdviseReply) -> AdviceAnswer:
    return AdviceAnswer(
        tuple((TargetId(target_id), text) for target_id, text in reply.tickets),
        reply.valid_ms,
    )


__all__ = ('AdviceProxy', 'AdviceDispatcher')
