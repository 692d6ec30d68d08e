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

UNREACHABLE = Failure(ErrorKind.peer_unavailable, 'cut')


class Network:
    """A fake network whose peers give the replies that a test sets."""

    def __init__(self, clock) -> None:
        self.answers = dict.fromkeys('abcd', UNREACHABLE)
        self.requested_peers = []
        self.handlers = {}
        self.delay_ms = 0
        self._clock = clock

    @property
    def peers(self):
        return tuple(self.answers)

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    async def call(self, peer, message, timeout_ms):
        self.requested_peers.append(peer)
        self._clock.advance(self.delay_ms)
        return self.answers[peer]


@pytest.fixture
async def overdue():
    """A daemon whose own read of the host list is overdue."""
    clock = ManualClock(1)
    source, network = Source(), Network(clock)
    feed = HostFeed(source, SETTINGS, clock)
    exchange = LeavingHostsExchange(feed, network, clock, SETTINGS)
    await feed.refresh()
    clock.advance(feed.peer_request_due_in_ms)
    return clock, feed, network, exchange


async def run_requests(exchange):
    exchange.send_due_requests()
    await asyncio.gather(*exchange._requests)


async def test_requests_go_to_all_peers_in_turn(overdue):
    """Guards against requests that only go to peers without a current list."""
    clock, feed, network, exchange = overdue
    await run_requests(exchange)
    await run_requests(exchange)
    assert network.requested_peers == ['a', 'b', 'c', 'd']
    network.answers['b'] = LeavingHosts((ADDRESS,), 100)
    await run_requests(exchange)
    assert feed.knowledge.age_ms == 100
    assert feed.leaving_addresses() == (ADDRESS,)
    # No request is sent before the data is overdue again.
    await run_requests(exchange)
    assert network.requested_peers[4:] == ['a', 'b']
    clock.advance(feed.peer_request_due_in_ms)
    await run_requests(exchange)
    assert network.requested_peers[6:] == ['c', 'b']
    assert feed.knowledge.age_ms == 100


@pytest.mark.parametrize('age_ms', [None, 1600])
async def test_older_peer_data_is_ignored(overdue, age_ms):
    """Guards against a region that treats its own old data as new."""
    clock, feed, network, exchange = overdue
    before_ms = feed.knowledge.age_ms
    network.answers = dict.fromkeys('ab', LeavingHosts((), age_ms))
    await run_requests(exchange)
    assert feed.knowledge.age_ms == before_ms
    clock.advance(1701 - before_ms)
    await run_requests(exchange)
    assert feed.knowledge.is_outdated is (age_ms is None)


async def test_age_counts_from_the_request(overdue):
    """Guards against a wrong age if this process pauses before the reply."""
    _, feed, network, exchange = overdue
    network.answers = {'a': LeavingHosts((), 50)}
    network.delay_ms = 400
    await run_requests(exchange)
    assert feed.knowledge.age_ms == 450


async def test_reply_has_the_age(overdue):
    """Guards against data whose age is lost when daemons pass it on."""
    _, feed, network, _ = overdue
    feed.apply_peer_report((ADDRESS,), 200)
    answer = await network.handlers[GetLeavingHosts]('b', GetLeavingHosts())
    assert answer == LeavingHosts((ADDRESS,), feed.knowledge.age_ms)
