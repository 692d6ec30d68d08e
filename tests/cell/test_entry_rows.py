"""Tests of reaching the store through another daemon."""

import asyncio
import socket
import time

import pytest

from radishlift.cell.clock import BootClock
from radishlift.cell.entry_rows import RelayedRows, StoreRows
from radishlift.cell.tables import CELL, JOBS, LEADER_KEY
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.core.levels import FORMAT_LEVEL
from radishlift.wire.network import PeerNetwork
from tests.cell.fakes import MemoryCellStore
from tests.standins.tables import Fault, Tables

ID = 'a' * 16


class Entry:
    """A daemon's rows, on a store that a test can take away from it."""

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
    entries = [Entry(name, tables) for name in ('d1', 'd2', 'd3')]
    addresses = {}
    for one in entries:
        await one.network.start(Address('127.0.0.1:0'))
        port = one.network._server.sockets[0].getsockname()[1]
        addresses[one.network.daemon_id] = Address(f'127.0.0.1:{port}')
    for one in entries:
        one.network.set_peers(addresses)
        for name in addresses:
            one.network.levels.note(name, FORMAT_LEVEL)
    for one in entries:
        one.addresses = addresses
    yield entries
    for one in entries:
        await one.network.stop()


async def test_daemon_without_the_store_inserts_through_a_peer(entries):
    first, second, _ = entries
    first.cut_off()
    assert await first.rows.insert(JOBS, ID, {'n': 1}) is None
    assert (await second.rows.read(JOBS, ID)).value == {'n': 1}
    assert (await first.rows.read(JOBS, ID)).value == {'n': 1}
    absent = await first.rows.read(JOBS, 'b' * 16)
    assert (absent.version, absent.value) == (0, None)


async def test_refusal_of_the_store_alone_is_relayed_too(entries):
    first = entries[0]
    first.store.fault = Fault.down
    assert await first.rows.insert(JOBS, ID, {}) is None
    assert not isinstance(await first.rows.read(JOBS, ID), Failure)


async def test_peers_without_the_store_pass_nothing_on(entries):
    """Guards against a submission that travels between daemons for ever."""
    for one in entries:
        one.cut_off()
    failure = await asyncio.wait_for(entries[0].rows.insert(JOBS, ID, {}), 1)
    assert failure.kind is ErrorKind.store_unavailable
    assert not entries[0].store.tables.history


async def test_lost_answer_of_a_peer_is_no_proof(entries):
    first, second, _ = entries
    first.cut_off()
    first.network.set_peers({'d2': second.addresses['d2']})
    second.store.fail_next_commits = [Fault.lose_answers]
    failure = await first.rows.insert(JOBS, ID, {})
    assert failure.kind is ErrorKind.store_outcome_unknown
    assert await first.rows.insert(JOBS, ID, {}) is None


async def test_peers_change_no_rows_of_the_leader(entries):
    first = entries[0]
    first.cut_off()
    failure = await first.rows.insert(CELL, LEADER_KEY, {'epoch': 9})
    assert isinstance(failure, Failure)
    assert not first.store.tables.history


async def test_peer_that_is_gone_costs_a_caller_little(entries):
    """A host without power does not refuse connections."""
    first, _, third = entries
    with socket.create_server(('127.0.0.1', 0), backlog=0) as dark:
        # The queue of a listener that accepts nothing is full soon.
        name = dark.getsockname()
        queued = [socket.socket() for _ in range(4)]
        for one in queued:
            one.setblocking(False)
            one.connect_ex(name)
        gone = Address(f'127.0.0.1:{name[1]}')
        first.network.set_peers(
            {'d2': gone, 'd3': third.addresses['d3']},
        )
        first.cut_off()
        began_s = time.monotonic()
        for number in range(4):
            assert await first.rows.insert(JOBS, f'{number:016x}', {}) is None
        assert time.monotonic() - began_s < 1
        for one in queued:
            one.close()
