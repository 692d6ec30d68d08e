"""Tests of access to the store through another daemon."""

import asyncio
import socket
import time
from types import SimpleNamespace

import pytest

from radishlift.cell.config_sharing import ConfigSharer
from radishlift.cell.entry_rows import RelayedRows, StoreRows
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import CANCELS, CELL, JOBS, LEADER_KEY
from radishlift.core.clock import BootClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.core.levels import FORMAT_LEVEL
from radishlift.wire.network import PeerNetwork
from tests.cell.fakes import MemoryCellStore
from tests.standins.conditions import until
from tests.standins.tables import Fault, Tables

ID = 'a' * 16


class EntryDaemon:
    """A daemon whose store a test can make unreachable."""

    def __init__(self, name, tables):
        self.network = PeerNetwork(DaemonId(name))
        self.store = MemoryCellStore(tables)
        self.is_lost = False
        self.rows = RelayedRows(
            StoreRows(self.store),
            self.network,
            lambda: self.is_lost,
            BootClock(),
        )

    def cut_off(self):
        self.store.fault = Fault.down
        self.is_lost = True


@pytest.fixture
async def entries():
    tables = Tables()
    entries = [EntryDaemon(name, tables) for name in ('d1', 'd2', 'd3')]
    addresses = {}
    for entry in entries:
        await entry.network.start(Address('127.0.0.1:0'))
        port = entry.network._server.sockets[0].getsockname()[1]
        addresses[entry.network.daemon_id] = Address(f'127.0.0.1:{port}')
    for entry in entries:
        entry.network.set_peers(addresses)
        for name in addresses:
            entry.network.levels.set_level(name, FORMAT_LEVEL)
    for entry in entries:
        entry.addresses = addresses
    yield entries
    for entry in entries:
        await entry.network.stop()


async def test_daemon_without_the_store_inserts_through_a_peer(entries):
    first, second, _ = entries
    first.cut_off()
    assert await first.rows.insert(JOBS, ID, {'n': 1}) is None
    assert (await second.rows.read(JOBS, ID)).value == {'n': 1}
    assert (await first.rows.read(JOBS, ID)).value == {'n': 1}
    absent = await first.rows.read(JOBS, 'b' * 16)
    assert (absent.version, absent.value) == (0, None)


async def test_rejection_by_the_store_is_also_relayed(entries):
    first = entries[0]
    first.store.fault = Fault.down
    assert await first.rows.insert(JOBS, ID, {}) is None
    assert not isinstance(await first.rows.read(JOBS, ID), Failure)


async def test_peers_without_the_store_do_not_relay(entries):
    """Guards against submissions that daemons relay to each other forever."""
    for entry in entries:
        entry.cut_off()
    failure = await asyncio.wait_for(entries[0].rows.insert(JOBS, ID, {}), 1)
    assert failure.kind is ErrorKind.store_unavailable
    assert not entries[0].store.tables.history


async def test_lost_answer_of_a_peer_leaves_the_outcome_unknown(entries):
    first, second, _ = entries
    first.cut_off()
    first.network.set_peers({'d2': second.addresses['d2']})
    second.store.fail_next_commits = [Fault.lose_answers]
    failure = await first.rows.insert(JOBS, ID, {})
    assert failure.kind is ErrorKind.store_outcome_unknown
    assert await first.rows.insert(JOBS, ID, {}) is None


async def test_submission_through_a_peer_respects_an_earlier_cancel(entries):
    first, second, _ = entries
    assert await second.rows.insert(CANCELS, ID, {}) is None
    first.cut_off()
    failure = await first.rows.insert(JOBS, ID, {})
    assert failure.kind is ErrorKind.cancelled
    assert not (await second.rows.read(JOBS, ID)).version


async def test_peers_do_not_insert_rows_of_the_leader(entries):
    first = entries[0]
    first.cut_off()
    failure = await first.rows.insert(CELL, LEADER_KEY, {'epoch': 9})
    assert isinstance(failure, Failure)
    assert not first.store.tables.history


async def test_unresponsive_peer_delays_callers_only_briefly(entries):
    """Guards against waiting long for a host without power.

    Such a host does not refuse connections.
    """
    first, _, third = entries
    with socket.create_server(('127.0.0.1', 0), backlog=0) as listener:
        # A full accept queue leaves further connections without an answer.
        address = listener.getsockname()
        queued = [socket.socket() for _ in range(4)]
        for client in queued:
            client.setblocking(False)
            client.connect_ex(address)
        unresponsive = Address(f'127.0.0.1:{address[1]}')
        first.network.set_peers(
            {'d2': unresponsive, 'd3': third.addresses['d3']},
        )
        first.cut_off()
        started_s = time.monotonic()
        for number in range(4):
            assert await first.rows.insert(JOBS, f'{number:016x}', {}) is None
        assert time.monotonic() - started_s < 1
        for client in queued:
            client.close()


async def test_peers_that_answer_again_relay_at_once(entries):
    """Guards against refusals for seconds after a short cut from all peers.

    The daemon has an answer of a peer by then, and says that it is ready.
    """
    first = entries[0]
    sharers = [
        ConfigSharer(
            entry.network,
            SimpleNamespace(is_store_lost=entry is first),
            CellSettings(share_config_ms=10),
            BootClock(),
        )
        for entry in entries
    ]
    sharers[0].on_answer = first.rows.readmit
    first.cut_off()
    refused = Address('127.0.0.1:1')
    first.network.set_peers({'d2': refused, 'd3': refused})
    assert isinstance(await first.rows.insert(JOBS, ID, {}), Failure)
    sharing = asyncio.create_task(sharers[0].run(lambda rows: None))
    first.network.set_peers(first.addresses)
    await until(lambda: sharers[0].last_contact_ms)
    assert await first.rows.insert(JOBS, ID, {}) is None
    sharing.cancel()
