import asyncio
from dataclasses import dataclass

import pytest
from msgpack import Unpacker, packb

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork
from tests.platform.slow_link import run_slow_link
from tests.standins.proxy import ConnectionFault, Proxy

A = DaemonId('a')
B = DaemonId('b')


@message('test_echo')
@dataclass(frozen=True, slots=True)
class Echo:
    number: int
    delay_ms: int = 0


@message('test_echo_of_level_2', 2)
@dataclass(frozen=True, slots=True)
class NewerEcho:
    number: int


@message('test_tell')
@dataclass(frozen=True, slots=True)
class Tell:
    chars_count: int


@message('test_told')
@dataclass(frozen=True, slots=True)
class Told:
    text: str


async def _echo(sender: DaemonId, echo: Echo) -> Echo:
    await asyncio.sleep(echo.delay_ms / 1000)
    return echo


@pytest.fixture
async def pair(unused_tcp_port_factory):
    addresses = {
        name: Address(f'127.0.0.1:{unused_tcp_port_factory()}')
        for name in (A, B)
    }
    networks = {name: PeerNetwork(name) for name in (A, B)}
    for name, network in networks.items():
        network.set_peers(addresses)
        network.register(Echo, _echo)
        await network.start(addresses[name])
    yield networks[A], networks[B], addresses
    for network in networks.values():
        await network.stop()


async def test_crossed_replies_reach_their_own_calls(pair):
    """Guards against a reply that completes another call."""
    delays_ms = [30, 0, 20, 10]
    calls = [
        pair[0].call(B, Echo(number, delay_ms), 2000)
        for number, delay_ms in enumerate(delays_ms)
    ]
    replies = await asyncio.gather(*calls)
    assert [reply.number for reply in replies] == [0, 1, 2, 3]


async def test_late_reply_is_an_unknown_outcome(pair):
    """Guards against a timed out call that is reported as not run."""
    late = await pair[0].call(B, Echo(1, 100), 10)
    following = await pair[0].call(B, Echo(2), 2000)
    assert isinstance(late, Failure)
    assert late.kind is ErrorKind.peer_outcome_unknown
    assert following == Echo(2)


@pytest.fixture
async def proxied(pair):
    """The first daemon reaches the second one through a proxy."""
    proxy = Proxy(pair[2][B])
    await proxy.start()
    pair[0].set_peers({**pair[2], B: Address(proxy.address)})
    yield proxy
    await proxy.close()


@pytest.mark.parametrize(
    'fault', [ConnectionFault.silence, ConnectionFault.lose_answers]
)
async def test_silent_stream_is_not_used_again(pair, proxied, fault):
    """Guards against calls that all fail until a process ends."""
    assert await pair[0].call(B, Echo(1), 2000) == Echo(1)
    proxied.fault = fault
    failure = await pair[0].call(B, Echo(2), 50)
    assert failure.kind is ErrorKind.peer_outcome_unknown
    # The proxy forwards nothing on a connection that has gone silent.
    proxied.fault = ConnectionFault.none
    assert await pair[0].call(B, Echo(3), 2000) == Echo(3)


async def test_silent_stream_is_replaced_after_a_cancelled_call(pair, proxied):
    """Guards against callers whose own time-out ends before the call's."""
    assert await pair[0].call(B, Echo(1), 2000) == Echo(1)
    proxied.fault = ConnectionFault.silence
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.6):
            await pair[0].call(B, Echo(2), 600)
    proxied.fault = ConnectionFault.none
    assert await pair[0].call(B, Echo(3), 2000) == Echo(3)


async def test_pending_call_keeps_a_silent_stream_open(pair):
    """Guards against long calls that fail because a short one was late."""
    long_call = asyncio.create_task(pair[0].call(B, Echo(1, 200), 2000))
    await asyncio.sleep(0.05)
    late = await pair[0].call(B, Echo(2, 500), 50)
    assert isinstance(late, Failure)
    assert await long_call == Echo(1, 200)


async def test_slow_handler_does_not_replace_a_stream_in_use(pair):
    """Guards against a new stream for each call that takes long."""
    assert await pair[0].call(B, Echo(1), 2000) == Echo(1)
    number = pair[0].stream_number(B)
    late = asyncio.create_task(pair[0].call(B, Echo(2, 500), 100))
    assert await pair[0].call(B, Echo(3, 50), 2000) == Echo(3, 50)
    assert isinstance(await late, Failure)
    assert pair[0].stream_number(B) == number


async def test_long_reply_arrives_over_a_link_that_is_slow(pair):
    """Guards against a configuration that peers never pass on in time."""

    async def tell(_sender: DaemonId, request: Tell) -> Told:
        return Told('x' * request.chars_count)

    pair[1].register(Tell, tell)
    async with run_slow_link(pair[2][B], 1) as link:
        pair[0].set_peers({**pair[2], B: Address(link)})
        # The link needs 0.8 s.
        reply = await pair[0].call(B, Tell(100_000), 300, 3000)
        assert len(reply.text) == 100_000
        too_long = await pair[0].call(B, Tell(100_000), 300, 400)
        assert too_long.kind is ErrorKind.peer_outcome_unknown


async def test_long_reply_that_stops_arriving_fails_early(pair, proxied):
    """Guards against calls that wait for the rest of a reply."""
    assert await pair[0].call(B, Echo(1), 2000) == Echo(1)
    proxied.fault = ConnectionFault.silence
    async with asyncio.timeout(1):
        failure = await pair[0].call(B, Echo(2), 100, 5000)
    assert failure.kind is ErrorKind.peer_outcome_unknown


async def test_call_to_a_stopped_peer_fails(pair):
    """Guards against a call that succeeds when its peer has stopped."""
    await pair[1].stop()
    answer = await pair[0].call(B, Echo(1), 500)
    assert isinstance(answer, Failure)
    assert answer.kind in {
        ErrorKind.peer_unavailable,
        ErrorKind.peer_outcome_unknown,
    }


@pytest.mark.parametrize(
    'sent',
    [
        b'\xc1 not msgpack',
        b'\x95\x02\x00\x00\xa1a\xa0',
        b'\x93\x01\x02\x03',
        b'\x95\x01\x00\x00\xa8stranger\xa0',
    ],
)
async def test_bad_first_frame_closes_only_that_stream(pair, sent):
    """Guards against invalid input that stops a daemon."""
    host, _, port = pair[2][B].rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    assert await asyncio.wait_for(reader.read(), 5) == b''
    writer.close()
    assert await pair[0].call(B, Echo(5), 2000) == Echo(5)


async def _open_stream(pair, *frames):
    """Opens a stream to the second daemon and sends frames on it."""
    host, _, port = pair[2][B].rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b''.join(packb(frame) for frame in frames))
    return reader, writer


async def _read_frame(reader):
    unpacker = Unpacker()
    frames = []
    while not frames:
        received = await asyncio.wait_for(reader.read(4096), 5)
        assert received
        unpacker.feed(received)
        frames.extend(unpacker)
    return frames[0]


@pytest.mark.parametrize(
    ('fields', 'level'),
    [
        ('', 1),
        ({'secret': ''}, 1),
        ({'secret': '', 'format_level': 3}, 3),
        ({'secret': '', 'format_level': 3, 'added': [1]}, 3),
    ],
)
async def test_hello_of_any_version_is_accepted(pair, fields, level):
    """Guards against daemons of two versions that reject each other."""
    hello = [1, 0, 0, A, fields, 'added']
    call = [1, 2, 9, 'test_echo', {'number': 4, 'added': 1}, 'added']
    reader, writer = await _open_stream(pair, hello, call)
    frame = await _read_frame(reader)
    assert frame[:4] == [1, 3, 9, 'test_echo']
    assert pair[1].levels.level_of(A) == level
    writer.close()


@pytest.mark.parametrize(
    'fields',
    ['wrong', {'secret': 'wrong'}, {'format_level': 1}, 7],
)
async def test_hello_with_a_wrong_or_missing_secret_is_rejected(pair, fields):
    """Guards against tolerant parsing that accepts a hello without a secret."""
    reader, writer = await _open_stream(pair, [1, 0, 0, A, fields])
    assert await asyncio.wait_for(reader.read(), 5) == b''
    writer.close()


async def test_unknown_message_is_refused_and_the_stream_stays_open(pair):
    """Guards against an unknown message that closes the stream.

    The other calls of a newer peer on the stream would then be lost.
    """
    reader, writer = await _open_stream(
        pair,
        [1, 0, 0, A, ''],
        [1, 1, 0, 'test_unknown', {}],
        [1, 2, 5, 'test_unknown', {}],
    )
    refused = await _read_frame(reader)
    assert refused[1:4] == [4, 5, ErrorKind.peer_unavailable.value]
    writer.write(packb([1, 2, 6, 'test_echo', {'number': 1}]))
    answered = await _read_frame(reader)
    assert answered[1:3] == [3, 6]
    writer.close()


async def test_newer_message_is_sent_only_to_peers_of_its_level(pair):
    """Guards against a message that a rolled back peer can't read."""
    pair[1].register(NewerEcho, _echo_newer)
    refused = await pair[0].call(B, NewerEcho(1), 2000)
    assert refused.kind is ErrorKind.peer_unavailable
    pair[0].levels.set_level(B, 2)
    assert await pair[0].call(B, NewerEcho(2), 2000) == NewerEcho(2)
    pair[0].levels.forget(B)
    refused = await pair[0].send(B, NewerEcho(3))
    assert refused.kind is ErrorKind.peer_unavailable


async def _echo_newer(_sender: DaemonId, echo: NewerEcho) -> NewerEcho:
    return echo
