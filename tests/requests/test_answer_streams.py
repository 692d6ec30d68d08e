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
from tests.requests.daemons import ask_all, fleet, wait_until
from tests.standins.executor import lengthen

ANSWER_BYTES = 3_000_000
PEER = DaemonId('b')


@pytest.fixture
async def made(unused_tcp_port_factory):
    """Two daemons that share the 8 slots of an executor with long answers."""
    async with fleet(
        unused_tcp_port_factory, executors_count=1, service_ms=100
    ) as started:
        started.executors[0].answer_bytes = ANSWER_BYTES
        yield started


def is_whole(answer):
    head = answer.body[: answer.body.index(b'}') + 1]
    return answer.body == lengthen(head, ANSWER_BYTES)


async def test_long_answers_return_whole_over_a_hop(made):
    """Guards against answers that fail or mix when they exceed a frame."""
    asked = []
    serve = made.daemons['b'].router.answer_streams._serve

    async def count(sender, chunk):
        asked.append(chunk.offset)
        return await serve(sender, chunk)

    made.daemons['b'].network.register(AnswerChunkRequest, count)
    answers = await ask_all([made.daemons['a']], range(8), deadline_ms=2_000)
    assert all(isinstance(each, ServiceAnswer) for each in answers), answers
    assert all(is_whole(each) for each in answers)
    for number, answer in enumerate(answers):
        assert f'"r{number}.'.encode() in answer.body[:100]
    chunks_count = -(-ANSWER_BYTES // CHUNK_BYTES)
    assert asked
    assert not len(asked) % chunks_count
    assert not made.daemons['b'].router.answer_streams.held_bytes


@pytest.mark.parametrize('fault', ['closed', 'short', 'offset', 'refused'])
async def test_broken_stream_is_an_error(made, fault):
    """Guards against a short answer, and against a false "not run"."""
    daemon = made.daemons['b']
    serve = daemon.router.answer_streams._serve

    async def fail(sender, asked):
        reply = await serve(sender, asked)
        if asked.offset < CHUNK_BYTES:
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
    answers = await ask_all([made.daemons['a']], range(8), deadline_ms=2_000)
    failures = [each for each in answers if isinstance(each, Failure)]
    assert {each.answer.outcome for each in failures} == {Outcome.unknown}
    whole = [each for each in answers if isinstance(each, ServiceAnswer)]
    assert all(is_whole(each) for each in whole)
    assert len(made.executions) == len(answers)


async def test_held_answers_are_bounded():
    """Guards against peers that fill the memory with unfetched answers."""
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
    """Guards against a peer that announces an endless answer."""
    streams = AnswerStreams(
        PeerNetwork(DaemonId('a')), RequestSettings(max_answer_bytes=10)
    )
    refused = await streams.fetch(PEER, 's', 11, lambda: 1_000)
    assert refused.kind is ErrorKind.bad_frame
