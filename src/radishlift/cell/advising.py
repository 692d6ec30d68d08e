"""Spreads the calls of the advice service over the daemons.

The service serves one call of a host at a time, so that the leader alone
would wait for its own calls. Each daemon gets one question at a time; what
waits stays with the leader, which puts urgent questions first.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from radishlift.cell.messages import AdviseCall, AdviseReply
from radishlift.cell.ports import AdviceAnswer, AdviceCalls
from radishlift.cell.questions import Questions
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
        answer = await self._calls.command_all(key, target_ids, call.timeout_ms)
        if isinstance(answer, Failure):
            return answer
        return AdviseReply(answer.tickets, answer.valid_ms)


class Adviser:
    """Answers a leader's questions through all daemons."""

    def __init__(
        self,
        network: PeerNetwork,
        questions: Questions,
        daemons: Callable[[], list[DaemonId]],
        clock: Clock,
    ) -> None:
        self._network = network
        self._questions = questions
        self._daemons = daemons
        self._clock = clock
        self._asked: dict[DaemonId, AdviceRequest] = {}
        self._asked_at_ms: dict[DaemonId, int] = {}
        self._avoided_until_ms: dict[DaemonId, int] = {}
        self._failures_count: dict[DaemonId, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Puts questions to daemons that are free until it is cancelled."""
        wake = self._questions.changed
        while True:
            await wake.wait()
            wake.clear()
            self._ask_free()

    def close(self) -> None:
        """Gives up open questions."""
        for task in self._tasks:
            task.cancel()

    def _ask_free(self) -> None:
        daemons = self._daemons()
        now_ms = self._clock.monotonic_ms()
        free = [one for one in daemons if one not in self._asked]
        free.sort(key=lambda one: self._turn(one, now_ms))
        for daemon_id in free:
            long_count = sum(map(self._questions.is_long, self._asked.values()))
            request = self._questions.take(len(daemons), long_count)
            if request is None:
                return
            self._asked[daemon_id] = request
            self._asked_at_ms[daemon_id] = now_ms
            task = asyncio.create_task(self._ask(daemon_id, request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _turn(self, daemon_id: DaemonId, now_ms: int) -> tuple[int, bool, int]:
        # Daemons that failed come last, and the leader before only those:
        # its processor is the one that binds.
        avoided_ms = self._avoided_until_ms.get(daemon_id, 0) - now_ms
        is_leader = daemon_id == self._network.daemon_id
        asked_at_ms = self._asked_at_ms.get(daemon_id, 0)
        return max(0, avoided_ms), is_leader, asked_at_ms

    async def _ask(self, daemon_id: DaemonId, request: AdviceRequest) -> None:
        call = AdviseCall(
            *request.key,
            target_ids=request.target_ids,
            timeout_ms=int(request.duration_ms) + _SLACK_MS,
        )
        answer = await self._call(daemon_id, call)
        del self._asked[daemon_id]
        if isinstance(answer, AdviseReply):
            self._failures_count.pop(daemon_id, None)
            self._questions.learn(request, _decode(answer))
            return
        self._avoid(daemon_id)
        log_event(
            'advice_failed',
            step=request.key,
            daemon=daemon_id,
            reason=answer.reason,
        )
        self._questions.fail(request)

    def _avoid(self, daemon_id: DaemonId) -> None:
        failures_count = self._failures_count.get(daemon_id, 0) + 1
        self._failures_count[daemon_id] = failures_count
        avoid_ms = _AVOID_MS * min(failures_count, _MAX_AVOIDED)
        now_ms = self._clock.monotonic_ms()
        self._avoided_until_ms[daemon_id] = now_ms + avoid_ms

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


def _decode(reply: AdviseReply) -> AdviceAnswer:
    return AdviceAnswer(
        tuple((TargetId(one), text) for one, text in reply.tickets),
        reply.valid_ms,
    )


__all__ = ('AdviceHelper', 'Adviser')
