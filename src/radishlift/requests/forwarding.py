"""The one hop to a peer that has an idle slot."""

from collections import Counter
from dataclasses import dataclass

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, ExecutorId, ServiceName
from radishlift.requests.admission import Admission
from radishlift.requests.answer_streams import INLINE_BYTES, AnswerStreams
from radishlift.requests.api import ServiceAnswer, ServiceRequest
from radishlift.requests.attempts import Attempts
from radishlift.requests.calls import Call
from radishlift.requests.key_reports import KeyReports
from radishlift.requests.loads import LoadBoard
from radishlift.requests.places import Places
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork


@message('forward_request')
@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Asks a peer to run a request on a slot that is idle now.

    `nonce` is that of the grant of a keyed request.
    """

    request: ServiceRequest
    excluded: tuple[ExecutorId, ...] = ()
    nonce: str = ''


@message('forward_answer')
@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """The answer, and the idle slots that the peer has left.

    A long answer has an empty body and is fetched by its `stream_id`.
    """

    status: int
    body: bytes
    content_type: str
    idle_count: int
    size_bytes: int
    stream_id: str = ''


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
        streams: AnswerStreams,
        reports: KeyReports,
    ) -> None:
        self._network = network
        self._streams = streams
        self._reports = reports
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
            call.nonce,
        )
        self.out_counts[request.service] += 1
        try:
            reply = await self._network.call(peer, asked, limit_ms)
            if isinstance(reply, ForwardAnswer):
                self._board.set_idle(peer, request.service, reply.idle_count)
                return await self._complete(peer, call, reply)
        finally:
            self.out_counts[request.service] -= 1
        if isinstance(reply, Failure):
            self._board.set_idle(peer, request.service, 0)
            return reply
        return Failure(ErrorKind.bad_frame, f'{peer} sent another reply')

    async def _complete(
        self,
        peer: DaemonId,
        call: Call,
        reply: ForwardAnswer,
    ) -> ServiceAnswer | Failure:
        body: bytes | Failure = reply.body
        if reply.stream_id:
            body = await self._streams.fetch(
                peer,
                reply.stream_id,
                reply.size_bytes,
                lambda: call.left_ms,
            )
        if isinstance(body, Failure):
            return body
        if len(body) != reply.size_bytes:
            reason = f'{peer} sent {len(body)} of {reply.size_bytes} bytes'
            return Failure(ErrorKind.bad_frame, reason)
        return ServiceAnswer(reply.status, body, reply.content_type)

    async def _serve(
        self,
        sender: DaemonId,
        asked: ForwardRequest,
    ) -> ForwardAnswer | Failure:
        call = self._admission.admit(asked.request)
        if isinstance(call, Failure):
            return call
        try:
            return await self._run(sender, call, asked)
        finally:
            self._admission.end(call)

    async def _run(
        self,
        sender: DaemonId,
        call: Call,
        asked: ForwardRequest,
    ) -> ForwardAnswer | Failure:
        call.excluded.update(asked.excluded)
        view = self._places.take(call)
        if view is None:
            return Failure(ErrorKind.overloaded, 'no idle slot')
        answer = await self._attempts.run(view, call, call.left_ms)
        if asked.nonce:
            # The asker may have stopped waiting, or the stream may break.
            call.nonce = asked.nonce
            self._reports.follow(call, answer)
        if isinstance(answer, Failure):
            return answer
        stream_id: str | Failure = ''
        if len(answer.body) > INLINE_BYTES:
            stream_id = self._streams.hold(sender, answer.body, call.left_ms)
        if isinstance(stream_id, Failure):
            return stream_id
        return ForwardAnswer(
            answer.status,
            b'' if stream_id else answer.body,
            answer.content_type,
            self._places.idle_count(asked.request.service),
            len(answer.body),
            stream_id,
        )


__all__ = ('ForwardAnswer', 'ForwardRequest', 'Forwarder')
