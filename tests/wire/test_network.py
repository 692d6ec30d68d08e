import asyncio
from dataclasses import dataclass

import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork

A = DaemonId('a')
B = DaemonId('b')


@message('test_echo')
@dataclass(frozen=True, slots=True)
class Echo:
    number: int
    delay_ms: int = 0


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
    """Guards against a reply that is given to another call."""
    delays_ms = [30, 0, 20, 10]
    calls = [
        pair[0].call(B, Echo(number, delay_ms), 2000)
        for number, delay_ms in enumerate(delays_ms)
    ]
    replies = await asyncio.gather(*calls)
    assert [reply.number for reply in replies] == [0, 1, 2, 3]


async def test_late_reply_is_an_unknown_outcome(pair):
    """Guards against "not run" for a call that a peer may have run."""
    late = await pair[0].call(B, Echo(1, 100), 10)
    following = await pair[0].call(B, Echo(2), 2000)
    assert isinstance(late, Failure)
    assert late.kind is ErrorKind.peer_outcome_unknown
    assert following == Echo(2)


async def test_refused_connection_is_surely_not_sent(pair):
    """Guards against an unknown outcome when nothing was sent."""
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
    """Guards against a stranger or garbage that stops a daemon."""
    host, _, port = pair[2][B].rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent)
    assert await asyncio.wait_for(reader.read(), 5) == b''
    writer.close()
    assert await pair[0].call(B, Echo(5), 2000) == Echo(5)
