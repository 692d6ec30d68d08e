"""Spreads the calls of the advice service over the daemons.

The service serves one call of a host at a time, so that the leader alone
would wait for its own calls. Each question goes to the daemon whose earlier
questions will be answered first.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from radishlift.cell.messages import AdviseCall, AdviseReply
from radishlift.cell.ports import AdviceAnswer, AdviceCalls
from radishlift.cell.scheduler import Scheduler
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, JobId
from radishlift.core.logs import log_event
from radishlift.steps.asking import AdviceRequest
from radishlift.steps.ids import StepKey, TargetId
from radishlift.wire.network import PeerNetwork

# Time for the network and for a busy host, besides the service's own.
_SLACK_MS: Final = 600
# A daemon that did not answer is left out for so long.
_AVOID_MS: Final = 3000
# Repeated failures prolong that up to so many times.
_MAX_AVOIDED: Final = 10


class AdviceHelper:
    """Calls the advice service for a leader; runs in every daemon."""

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
        answer = await self._calls.ask(key, target_ids, call.timeout_ms)
        if isinstance(answer, Failure):
            return answer
        return AdviseReply(answer.tickets, answer.valid_ms)


class Adviser:
    """Answers a scheduler's questions through all daemons."""

    def __init__(
        self,
        network: PeerNetwork,
        scheduler: Scheduler,
        daemons: Callable[[], list[DaemonId]],
        clock: Clock,
    ) -> None:
        self._network = network
        self._scheduler = scheduler
        self._daemons = daemons
        self._clock = clock
        self._busy_until_ms: dict[DaemonId, float] = {}
        self._failures_count: dict[DaemonId, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Takes questions until it is cancelled."""
        while True:
            request = await self._scheduler.questions.get()
            task = asyncio.create_task(self._ask(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Gives up open questions."""
        for task in self._tasks:
            task.cancel()

    async def _ask(self, request: AdviceRequest) -> None:
        now_ms = self._clock.monotonic_ms()
        daemon_id = min(self._daemons(), key=self._free_at_ms)
        free_at_ms = max(now_ms, self._free_at_ms(daemon_id))
        done_at_ms = free_at_ms + request.duration_ms
        self._busy_until_ms[daemon_id] = done_at_ms
        timeout_ms = int(done_at_ms - now_ms) + _SLACK_MS
        call = AdviseCall(
            *request.key,
            target_ids=request.target_ids,
            timeout_ms=timeout_ms,
        )
        sent_at_ms = self._clock.monotonic_ms()
        answer = await self._call(daemon_id, call)
        if isinstance(answer, AdviseReply):
            self._failures_count.pop(daemon_id, None)
            received_at_ms = self._clock.monotonic_ms()
            self._scheduler.learn_advice(
                request,
                _decode(answer),
                received_at_ms,
            )
            return
        failures_count = self._failures_count.get(daemon_id, 0) + 1
        self._failures_count[daemon_id] = failures_count
        avoid_ms = _AVOID_MS * min(failures_count, _MAX_AVOIDED)
        self._busy_until_ms[daemon_id] = sent_at_ms + avoid_ms
        log_event(
            'advice_failed',
            step=request.key,
            daemon=daemon_id,
            reason=answer.reason,
        )
        self._scheduler.fail_advice(request)

    async def _call(
        self,
        daemon_id: DaemonId,
        call: AdviseCall,
    ) -> AdviseReply | Failure:
        try:
            # The limit includes the time to connect.
            async with asyncio.timeout(call.timeout_ms / 1000):
                reply: AdviseReply | Failure = await self._network.call(
                    daemon_id,
                    call,
                    call.timeout_ms,
                )
        except TimeoutError:
            return Failure(ErrorKind.peer_unavailable, 'no answer in time')
        return reply

    def _free_at_ms(self, daemon_id: DaemonId) -> float:
        return self._busy_until_ms.get(daemon_id, 0)


def _decode(reply: AdviseReply) -> AdviceAnswer:
    return AdviceAnswer(
        tuple((TargetId(one), text) for one, text in reply.tickets),
        reply.valid_ms,
    )


__all__ = ('AdviceHelper', 'Adviser')
