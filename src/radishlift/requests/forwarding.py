"""Forwarding of requests to peers that have idle slots."""

from collections import Counter
from dataclasses import dataclass

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, ExecutorId, ServiceName
from radishlift.requests.admission import Admission
from radishlift.requests.answer_streams import INLINE_BYTES, AnswerStreams
from radishlift.requests.api import ServiceAnswer, ServiceRequest
from radishlift.requests.attempts import AttemptRunner
from radishlift.requests.call_scheduler import CallScheduler
from radishlift.requests.calls import Call
from radishlift.requests.key_reports import KeyReporter
from radishlift.requests.loads import LoadTable
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork


@message('forward_request')
@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Requests a peer to run a request on a slot that is idle now.

    `nonce` is that of the grant of a keyed request.
    """

    request: ServiceRequest
    excluded: tuple[ExecutorId, ...] = ()
    nonce: str = ''


@message('forward_answer')
@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """The answer, and the number of idle slots that the peer still has.

    A long answer has an empty body and is fetched by its `stream_id`.
    """

    status: int
    body: bytes
    content_type: str
    idle_count: int
    size_bytes: int
    stream_id: str = ''


class Forwarder:
    """Forwards calls to peers and runs the calls that peers forward.

    A forwarded call runs on an idle slot or is refused. It neither waits nor
    is forwarded again, so that a request takes at most one hop.
    """

    def __init__(
        self,
        network: PeerNetwork,
        load_table: LoadTable,
        scheduler: CallScheduler,
        attempts: AttemptRunner,
        admission: Admission,
        streams: AnswerStreams,
        key_reporter: KeyReporter,
    ) -> None:
        self._network = network
        self._streams = streams
        self._key_reporter = key_reporter
        self._load_table = load_table
        self._scheduler = scheduler
        self._attempts = attempts
        self._admission = admission
        self.forwarded_counts: Counter[ServiceName] = Counter()
        network.register(ForwardRequest, self._serve)

    async def forward(
        self,
        peer: DaemonId,
        call: Call,
        timeout_ms: int,
    ) -> ServiceAnswer | Failure:
        """Forwards a call to a peer and waits for its answer."""
        call.forwards_count += 1
        request = call.request
        forward_request = ForwardRequest(
            ServiceRequest(
                request.service,
                request.request_id,
                request.body,
                request.headers,
                request.request_class,
                timeout_ms,
                request.idempotency_key,
                request.is_idempotent,
            ),
            tuple(sorted(call.excluded)),
            call.nonce,
        )
        self.forwarded_counts[request.service] += 1
        try:
            reply = await self._network.call(peer, forward_request, timeout_ms)
            if isinstance(reply, ForwardAnswer):
                self._load_table.set_idle_count(
                    peer, request.service, reply.idle_count
                )
                return await self._read_answer(peer, call, reply)
        finally:
            self.forwarded_counts[request.service] -= 1
        if isinstance(reply, Failure):
            self._load_table.set_idle_count(peer, request.service, 0)
            return reply
        return Failure(
            ErrorKind.bad_frame, f'{peer} sent an unexpected kind of reply'
        )

    async def _read_answer(
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
                lambda: call.remaining_ms,
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
        forward_request: ForwardRequest,
    ) -> ForwardAnswer | Failure:
        call = self._admission.admit(forward_request.request)
        if isinstance(call, Failure):
            return call
        try:
            return await self._run_forwarded(sender, call, forward_request)
        finally:
            self._admission.release(call)

    async def _run_forwarded(
        self,
        sender: DaemonId,
        call: Call,
        forward_request: ForwardRequest,
    ) -> ForwardAnswer | Failure:
        call.excluded.update(forward_request.excluded)
        view = self._scheduler.take_slot(call)
        if view is None:
            return Failure(ErrorKind.overloaded, 'no idle slot')
        answer = await self._attempts.run(view, call, call.remaining_ms)
        if forward_request.nonce:
            # The sender may have stopped waiting, or the connection may break.
            call.nonce = forward_request.nonce
            self._key_reporter.report_outcome(call, answer)
        if isinstance(answer, Failure):
            return answer
        stream_id: str | Failure = ''
        if len(answer.body) > INLINE_BYTES:
            stream_id = self._streams.hold(
                sender, answer.body, call.remaining_ms
            )
        if isinstance(stream_id, Failure):
            return stream_id
        return ForwardAnswer(
            answer.status,
            b'' if stream_id else answer.body,
            answer.content_type,
            self._scheduler.idle_count(forward_request.request.service),
            len(answer.body),
            stream_id,
        )


__all__ = ('ForwardAnswer', 'ForwardRequest', 'Forwarder')
