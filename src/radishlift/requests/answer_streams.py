"""Transfer of answers that are too long for one frame.

The daemon that ran a forwarded request holds its long answer, and the daemon
that forwarded it fetches the chunks one after another. The limit of chunks
that one daemon fetches at a time bounds what the connection buffers.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from secrets import token_hex
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId
from radishlift.requests.settings import RequestSettings
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork

# Answers up to this size are sent in the reply to the forwarded request.
INLINE_BYTES: Final = 64 * 1024
CHUNK_BYTES: Final = 256 * 1024
# At most 2 MiB are requested from one peer at a time; its connection refuses to
# buffer more than 4 MiB.
_MAX_CONCURRENT_CHUNKS: Final = 8


@message('answer_chunk_request')
@dataclass(frozen=True, slots=True)
class AnswerChunkRequest:
    """Requests the chunk of a held answer that starts at an offset."""

    stream_id: str
    offset: int


@message('answer_chunk')
@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """A part of a held answer."""

    stream_id: str
    offset: int
    chunk: bytes


@dataclass(frozen=True, slots=True)
class _HeldAnswer:
    requester: DaemonId
    body: bytes
    expiry: asyncio.TimerHandle


class AnswerStreams:
    """Holds long answers for peers and fetches those that peers hold.

    An answer is held until its last chunk is sent or the deadline of its
    request passes. All held answers together take at most
    `max_held_answer_bytes`.
    """

    def __init__(
        self,
        network: PeerNetwork,
        settings: RequestSettings,
    ) -> None:
        self._network = network
        self._settings = settings
        self._held: dict[str, _HeldAnswer] = {}
        self._permits: defaultdict[DaemonId, asyncio.Semaphore]
        self._permits = defaultdict(_new_permits)
        network.register(AnswerChunkRequest, self._serve)

    @property
    def held_bytes(self) -> int:
        """Returns the total size of all held answers."""
        return sum(len(held.body) for held in self._held.values())

    def hold(
        self,
        requester: DaemonId,
        body: bytes,
        remaining_ms: int,
    ) -> str | Failure:
        """Holds an answer for a peer; returns the id to fetch it by."""
        limit = self._settings.max_held_answer_bytes
        if self.held_bytes + len(body) > limit:
            reason = f'answers held for peers would exceed {limit} bytes'
            return Failure(ErrorKind.target_failed, reason)
        stream_id = token_hex(8)
        loop = asyncio.get_running_loop()
        expiry = loop.call_later(
            max(0, remaining_ms) / 1000, self._drop, stream_id
        )
        self._held[stream_id] = _HeldAnswer(requester, body, expiry)
        return stream_id

    async def fetch(
        self,
        peer: DaemonId,
        stream_id: str,
        size_bytes: int,
        remaining_ms: Callable[[], int],
    ) -> bytes | Failure:
        """Fetches a whole answer; every failure means an unknown outcome."""
        limit = self._settings.max_answer_bytes
        if not 0 < size_bytes <= limit:
            reason = f'answer has {size_bytes} bytes; the limit is {limit}'
            return Failure(ErrorKind.bad_frame, reason)
        body = bytearray()
        while len(body) < size_bytes:
            request = AnswerChunkRequest(stream_id, len(body))
            async with self._permits[peer]:
                timeout_ms = max(1, remaining_ms())
                reply = await self._network.call(peer, request, timeout_ms)
            failure = _check_chunk(request, reply, size_bytes)
            if failure is not None:
                return failure
            body += reply.chunk
        return bytes(body)

    async def _serve(
        self,
        sender: DaemonId,
        request: AnswerChunkRequest,
    ) -> AnswerChunk | Failure:
        held = self._held.get(request.stream_id)
        if held is None or held.requester != sender:
            return Failure(
                ErrorKind.not_found, 'no answer is held under this stream id'
            )
        if not 0 <= request.offset < len(held.body):
            return Failure(
                ErrorKind.invalid_input,
                'offset is beyond the end of the answer',
            )
        end = request.offset + CHUNK_BYTES
        if end >= len(held.body):
            self._drop(request.stream_id)
        chunk = held.body[request.offset : end]
        return AnswerChunk(request.stream_id, request.offset, chunk)

    def _drop(self, stream_id: str) -> None:
        held = self._held.pop(stream_id, None)
        if held is not None:
            held.expiry.cancel()


def _check_chunk(
    request: AnswerChunkRequest,
    reply: Any,
    size_bytes: int,
) -> Failure | None:
    if isinstance(reply, Failure):
        # The request ran: a failure to reach the peer must not count as
        # "not run".
        reason = f'answer ended after {request.offset} bytes: {reply.reason}'
        return Failure(ErrorKind.peer_outcome_unknown, reason)
    if not isinstance(reply, AnswerChunk):
        return Failure(ErrorKind.bad_frame, 'reply is not a chunk of an answer')
    is_next = (reply.stream_id, reply.offset) == (
        request.stream_id,
        request.offset,
    )
    expected = min(CHUNK_BYTES, size_bytes - request.offset)
    if not is_next or len(reply.chunk) != expected:
        reason = f'unexpected chunk at offset {request.offset}'
        return Failure(ErrorKind.bad_frame, reason)
    return None


def _new_permits() -> asyncio.Semaphore:
    return asyncio.Semaphore(_MAX_CONCURRENT_CHUNKS)


__all__ = (
    'CHUNK_BYTES',
    'INLINE_BYTES',
    'AnswerChunk',
    'AnswerChunkRequest',
    'AnswerStreams',
)
