"""The one hop to a peer that has an idle slot."""

from collections import Counter
from dataclasses import dataclass
from typing import Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, ExecutorId, ServiceName
from radishlift.requests.admission import Admission
from radishlift.requests.api import ServiceAnswer, ServiceRequest
from radishlift.requests.attempts import Attempts
from radishlift.requests.calls import Call
from radishlift.requests.loads import LoadBoard
from radishlift.requests.places import Places
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork

_MAX_FORWARDED_BYTES: Final = 1_000_000


@message('forward_request')
@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Asks a peer to run a request on a slot that is idle now."""

    request: ServiceRequest
    excluded: tuple[ExecutorId, ...] = ()


@message('forward_answer')
@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """The answer, and the idle slots that the peer has left."""

    status: int
    body: bytes
    content_type: str
    idle_count: int


class Forwarder:
    """Sends calls to peers and runs those of peers.

    A forwarded call neither waits nor is forwarded again: it runs on an idle
    slot or is refused, so that there are never two hops.
    """

    def __init__(
        self,
        network: PeerNetwork,
        board: LoadBoard,
        places: Places,
        attempts: Attempts,
        admission: Admission,
    ) -> None:
        self._network = network
        self._board = board
        self._places = places
        self._attempts = attempts
        self._admission = admission
        self.out_counts: Counter[ServiceName] = Counter()
        network.register(ForwardRequest, self._serve)

    async def forward(
        self,
        peer: DaemonId,
        call: Call,
        limit_ms: int,
    ) -> ServiceAnswer | Failure:
        """Sends a call to a peer and waits for its answer."""
        call.forwards_count += 1
        request = call.request
        asked = ForwardRequest(
            ServiceRequest(
                request.service,
                request.request_id,
                request.body,
                request.headers,
                request.request_class,
                limit_ms,
                request.idempotency_key,
                request.is_idempotent,
            ),
            tuple(sorted(call.excluded)),
        )
        self.out_counts[request.service] += 1
        try:
            reply = await self._network.call(peer, asked, limit_ms)
        finally:
            self.out_counts[request.service] -= 1
        if isinstance(reply, ForwardAnswer):
            self._board.set_idle(peer, request.service, reply.idle_count)
            return ServiceAnswer(reply.status, reply.body, reply.content_type)
        if isinstance(reply, Failure):
            self._board.set_idle(peer, request.service, 0)
            return reply
        return Failure(ErrorKind.bad_frame, f'{peer} sent another reply')

    async def _serve(
        self,
        _sender: DaemonId,
        asked: ForwardRequest,
    ) -> ForwardAnswer | Failure:
        call = self._admission.admit(asked.request)
        if isinstance(call, Failure):
            return call
        try:
            return await self._run(call, asked)
        finally:
            self._admission.end(call)

    async def _run(
        self,
        call: Call,
        asked: ForwardRequest,
    ) -> ForwardAnswer | Failure:
        call.excluded.update(asked.excluded)
        view = self._places.take(call)
        if view is None:
            return Failure(ErrorKind.overloaded, 'no idle slot')
        answer = await self._attempts.run(view, call, call.left_ms)
        if isinstance(answer, Failure):
            return answer
        if len(answer.body) > _MAX_FORWARDED_BYTES:
            reason = f'answer of {len(answer.body)} bytes exceeds a frame'
            return Failure(ErrorKind.target_failed, reason)
        return ForwardAnswer(
            answer.status,
            answer.body,
            answer.content_type,
            self._places.idle_count(asked.request.service),
        )


__all__ = ('ForwardAnswer', 'ForwardRequest', 'Forwarder')
