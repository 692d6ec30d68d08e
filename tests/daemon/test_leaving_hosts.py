import asyncio

import pytest

from radishlift.core.clock import ManualClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.daemon.hosts import HostFeed
from radishlift.daemon.leaving_hosts import (
    GetLeavingHosts,
    LeavingHosts,
    LeavingHostsExchange,
)
from tests.daemon.test_hosts import ADDRESS, SETTINGS, Source

CUT = Failure(ErrorKind.peer_unavailable, 'cut')


class Network:
    """Peers with the answers that a test sets."""

    def __init__(self, clock) -> None:
        self.answers = dict.fromkeys('abcd', CUT)
        self.asked = []
        self.handlers = {}
        self.delay_ms = 0
        self._clock = clock

    @property
    def peers(self):
        return tuple(self.answers)

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    async def call(self, peer, message, timeout_ms):
        self.asked.append(peer)
        self._clock.advance(self.delay_ms)
        return self.answers[peer]


@pytest.fixture
async def cut():
    """A daemon whose own read is overdue."""
    clock = ManualClock(1)
    source, network = Source(), Network(clock)
    feed = HostFeed(source, SETTINGS, clock)
    exchange = LeavingHostsExchange(feed, network, clock, SETTINGS)
    await feed.refresh()
    clock.advance(feed.peer_request_due_in_ms)
    return clock, feed, network, exchange


async def ask(exchange):
    exchange.send_due_requests()
    await asyncio.gather(*exchange._requests)


async def test_all_peers_are_asked_in_turn(cut):
    """Guards against questions that only go to peers which are cut too."""
    clock, feed, network, exchange = cut
    await ask(exchange)
    await ask(exchange)
    assert network.asked == ['a', 'b', 'c', 'd']
    network.answers['b'] = LeavingHosts((ADDRESS,), 100)
    await ask(exchange)
    assert feed.knowledge.age_ms == 100
    assert feed.leaving_addresses() == (ADDRESS,)
    # Nothing is asked before that is overdue again.
    await ask(exchange)
    assert network.asked[4:] == ['a', 'b']
    clock.advance(feed.peer_request_due_in_ms)
    await ask(exchange)
    assert network.asked[6:] == ['c', 'b']
    assert feed.knowledge.age_ms == 100


@pytest.mark.parametrize('age_ms', [None, 1600])
async def test_peer_with_outdated_knowledge_does_not_help(cut, age_ms):
    """Guards against a region that takes its own old knowledge for new."""
    clock, feed, network, exchange = cut
    before_ms = feed.knowledge.age_ms
    network.answers = dict.fromkeys('ab', LeavingHosts((), age_ms))
    await ask(exchange)
    assert feed.knowledge.age_ms == before_ms
    clock.advance(1701 - before_ms)
    await ask(exchange)
    assert feed.knowledge.is_outdated is (age_ms is None)


async def test_age_counts_from_the_question(cut):
    """Guards against an answer taken after a pause of this process."""
    _, feed, network, exchange = cut
    network.answers = {'a': LeavingHosts((), 50)}
    network.delay_ms = 400
    await ask(exchange)
    assert feed.knowledge.age_ms == 450


async def test_answer_tells_the_age(cut):
    """Guards against ages that get lost over several daemons."""
    _, feed, network, _ = cut
    feed.apply_peer_report((ADDRESS,), 200)
    answer = await network.handlers[GetLeavingHosts]('b', GetLeavingHosts())
    assert answer == LeavingHosts((ADDRESS,), feed.knowledge.age_ms)
