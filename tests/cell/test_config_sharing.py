"""Tests of the age of a configuration that peers send."""

import asyncio
from itertools import pairwise
from types import SimpleNamespace

import pytest

from radishlift.access.freshness import ConfigFreshness
from radishlift.cell.config_sharing import ConfigSharer
from radishlift.cell.messages import ConfigAsk, ConfigTold
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import CONFIG
from radishlift.core.clock import ManualClock
from radishlift.services.api import Row

NOW_MS = 50_000


class FakeNetwork:
    """Passes calls to the handler of the only peer, or answers them."""

    peers = ('peer',)

    def __init__(self) -> None:
        self.handlers = {}
        self.peer = None
        self.reply = None
        self.on_call = None

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    async def probe(self, peer):
        """Connects to the peer, which never fails."""

    async def call(self, peer, request, timeout_ms, longest_ms):
        if self.on_call is not None:
            self.on_call()
        if self.reply is not None:
            return self.reply
        return await self.peer.handlers[ConfigAsk]('asker', request)


class SharingDaemon:
    """The sharer of a daemon without the store, and what it learns."""

    def __init__(self, clock) -> None:
        self.network = FakeNetwork()
        self.freshness = ConfigFreshness(clock)
        self.sharer = ConfigSharer(
            self.network,
            SimpleNamespace(is_store_lost=True),
            CellSettings(share_config_ms=5),
            clock,
            self.freshness,
        )

    def learn(self, row_version, key='config'):
        self.sharer.update((Row(CONFIG, key, row_version, {'n': 1}),))

    async def ask_once(self):
        """Runs until the first answer has been used."""
        answered = asyncio.Event()
        self.sharer.on_answer = lambda peer: answered.set()
        loop = asyncio.create_task(self.sharer.run(self.sharer.update))
        async with asyncio.timeout(2):
            await answered.wait()
        loop.cancel()


@pytest.fixture
def clock():
    return ManualClock(NOW_MS)


@pytest.fixture
def daemons(clock):
    daemons = [SharingDaemon(clock) for _ in range(3)]
    for asker, peer in pairwise(daemons):
        asker.network.peer = peer.network
    return daemons


async def test_ages_add_up_along_a_chain_of_peers(daemons, clock):
    """Guards against a daemon that trusts a peer that is itself behind."""
    last, middle, first = daemons
    for daemon in daemons:
        daemon.learn(7)
    first.freshness.confirm(NOW_MS - 1000)
    middle.network.on_call = lambda: clock.advance(300)
    await middle.ask_once()
    clock.advance(500)
    await last.ask_once()
    assert last.freshness.age_ms >= 1000 + 300 + 500


async def test_daemons_that_reach_only_each_other_do_not_stay_fresh(
    daemons, clock
):
    """Guards against cut-off daemons that confirm each other for ever."""
    first, second, _ = daemons
    second.network.peer = first.network
    for daemon in (first, second):
        daemon.learn(7)
        daemon.freshness.confirm(NOW_MS)
    for _ in range(5):
        clock.advance(300)
        await first.ask_once()
        await second.ask_once()
    for daemon in (first, second):
        assert daemon.freshness.age_ms >= 5 * 300


async def test_time_of_an_answer_is_that_of_its_request(daemons, clock):
    """Guards against a peer's answer that was on its way for long."""
    asker, peer, _ = daemons
    peer.learn(7)
    peer.freshness.confirm(NOW_MS)
    asker.network.reply = ConfigTold(0, '', 0)
    asker.network.on_call = lambda: clock.advance(4000)
    await asker.ask_once()
    assert asker.freshness.age_ms >= 4000


@pytest.mark.parametrize(
    'reply',
    [
        # From a peer of an earlier version.
        ConfigTold(7, ''),
        # The configuration that it confirms was refused here.
        ConfigTold(9, '', 10),
    ],
)
async def test_answer_without_a_usable_age_confirms_nothing(daemons, reply):
    asker = daemons[0]
    asker.learn(7)
    asker.network.reply = reply
    await asker.ask_once()
    assert asker.freshness.age_ms is None


async def test_peer_without_a_configuration_confirms_nothing(daemons):
    asker, peer, _ = daemons
    peer.freshness.confirm(NOW_MS)
    await asker.ask_once()
    assert asker.freshness.age_ms is None


async def test_older_peer_confirms_a_newer_configuration(daemons):
    asker, peer, _ = daemons
    asker.learn(9)
    peer.learn(7)
    peer.freshness.confirm(NOW_MS - 100)
    await asker.ask_once()
    assert asker.freshness.age_ms == 101


async def test_maintenance_wave_is_not_sent_as_a_configuration(daemons):
    """Guards against peers that refuse what they get for the configuration."""
    _, peer, _ = daemons
    peer.learn(7)
    peer.learn(8, key='wave/1')
    told = await peer.network.handlers[ConfigAsk]('asker', ConfigAsk(0))
    assert told.row_version == 7
