from dataclasses import replace

import pytest

from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.ids import DaemonId
from radishlift.requests.answer_streams import (
    CHUNK_BYTES,
    AnswerChunkRequest,
    AnswerStreams,
)
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.settings import RequestSettings
from radishlift.wire.network import PeerNetwork
from tests.requests.daemons import run_fleet, send_all, wait_until
from tests.standins.executor import lengthen

ANSWER_BYTES = 3_000_000
PEER = DaemonId('b')


@pytest.fixture
async def fleet(unused_tcp_port_factory):
    """Two daemons with the 8 slots of one executor that sends long answers."""
    async with run_fleet(
        unused_tcp_port_factory, executors_count=1, service_ms=100
    ) as started:
        started.executors[0].answer_bytes = ANSWER_BYTES
        yield started


def is_whole(answer):
    head = answer.body[: answer.body.index(b'}') + 1]
    return answer.body == lengthen(head, ANSWER_BYTES)


async def test_long_answers_return_whole_over_a_hop(fleet):
    """Answers longer than a frame must not fail or mix on the way."""
    offsets = []
    serve = fleet.daemons['b'].router.answer_streams._serve

    async def count(sender, chunk_request):
        offsets.append(chunk_request.offset)
        return await serve(sender, chunk_request)

    fleet.daemons['b'].network.register(AnswerChunkRequest, count)
    answers = await send_all([fleet.daemons['a']], range(8), deadline_ms=2_000)
    assert all(isinstance(answer, ServiceAnswer) for answer in answers), answers
    assert all(is_whole(answer) for answer in answers)
    for number, answer in enumerate(answers):
        assert f'"r{number}.'.encode() in answer.body[:100]
    chunks_count = -(-ANSWER_BYTES // CHUNK_BYTES)
    assert offsets
    assert not len(offsets) % chunks_count
    assert not fleet.daemons['b'].router.answer_streams.held_bytes


@pytest.mark.parametrize('fault', ['closed', 'short', 'offset', 'refused'])
async def test_broken_stream_is_an_error(fleet, fault):
    """A broken transfer must give neither a short answer nor "not run"."""
    daemon = fleet.daemons['b']
    serve = daemon.router.answer_streams._serve

    async def fail(sender, chunk_request):
        reply = await serve(sender, chunk_request)
        if chunk_request.offset < CHUNK_BYTES:
            return reply
        if fault == 'closed':
            for connection in daemon.network._incoming:
                connection.close()
        if fault == 'short':
            return replace(reply, chunk=reply.chunk[:-1])
        if fault == 'offset':
            return replace(reply, offset=0)
        return Failure(ErrorKind.peer_unavailable, 'refused')

    daemon.network.register(AnswerChunkRequest, fail)
    answers = await send_all([fleet.daemons['a']], range(8), deadline_ms=2_000)
    failures = [answer for answer in answers if isinstance(answer, Failure)]
    assert {answer.answer.outcome for answer in failures} == {Outcome.unknown}
    whole = [answer for answer in answers if isinstance(answer, ServiceAnswer)]
    assert all(is_whole(answer) for answer in whole)
    assert len(fleet.executions) == len(answers)


async def test_held_answers_are_bounded():
    """Answers that peers do not fetch must not fill the memory."""
    streams = AnswerStreams(
        PeerNetwork(DaemonId('a')), RequestSettings(max_held_answer_bytes=10)
    )
    first = streams.hold(PEER, b'x' * 8, 60_000)
    full = streams.hold(PEER, b'x' * 3, 60_000)
    assert full.kind is ErrorKind.target_failed
    other = await streams._serve(DaemonId('c'), AnswerChunkRequest(first, 0))
    assert other.kind is ErrorKind.not_found
    await streams._serve(PEER, AnswerChunkRequest(first, 0))
    assert not streams.held_bytes
    streams.hold(PEER, b'x' * 8, 1)
    await wait_until(lambda: not streams.held_bytes)


async def test_answer_above_the_maximum_is_not_fetched():
    """A peer that announces a huge answer must not fill the memory."""
    streams = AnswerStreams(
        PeerNetwork(DaemonId('a')), RequestSettings(max_answer_bytes=10)
    )
    refused = await streams.fetch(PEER, 's', 11, lambda: 1_000)
    assert refused.kind is ErrorKind.bad_frame
