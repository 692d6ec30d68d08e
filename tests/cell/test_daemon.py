"""Tests of a daemon without its network."""

import asyncio

import pytest

from radishlift.cell.daemon import CellDaemon, DaemonDependencies
from radishlift.cell.queues import QueueConfig
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import CELL, CONFIG
from radishlift.core.clock import BootClock
from radishlift.core.ids import Address, ConfigVersion, DaemonId
from radishlift.services.api import Transaction, Write
from radishlift.steps.settings import StepSettings
from tests.cell.fakes import FakeAdvice, FakeTargets, MemoryCellStore
from tests.standins.tables import Fault


def decode_config(rows):
    raise ValueError('software fault')


@pytest.fixture
async def daemon():
    store = MemoryCellStore()
    clock = BootClock()
    daemon = CellDaemon(
        DaemonDependencies(
            DaemonId('d1'),
            10,
            Address('127.0.0.1:0'),
            store,
            FakeTargets(),
            FakeAdvice(),
            decode_config,
            lambda name, plain: None,
            CellSettings(short_wait_ms=20, first_claim_ms=20, cut_off_ms=100),
            StepSettings(),
            clock,
            6000,
        ),
    )
    daemon.store = store
    daemon.clock = clock
    yield daemon
    await daemon.stop()


def write(daemon, table, key, value):
    daemon.store.tables.commit(Transaction((), (Write(table, key, value),)))


async def test_failed_loop_is_reported(daemon):
    write(daemon, CONFIG, 'config', {'version': 1})
    await daemon.start()
    await asyncio.wait_for(daemon.failed.wait(), 2)
    assert not daemon.is_ready


async def test_invalid_daemon_row_adds_no_peer(daemon):
    write(daemon, CELL, 'daemon/odd', {'other': 1})
    daemon._on_cell_snapshot(daemon.store.tables.scan(CELL, '', '', 10))
    assert not daemon._network.peers


async def test_daemon_without_store_and_peers_is_not_ready(daemon):
    write(daemon, CONFIG, 'config', {'version': 1})
    daemon.job_service.config = QueueConfig(ConfigVersion(1), (), 100)
    follower = daemon._cell_follower
    following = asyncio.create_task(
        follower.run(lambda rows: None, lambda rows: None),
    )
    async with asyncio.timeout(2):
        while follower.last_contact_ms is None:
            await asyncio.sleep(0.005)
    assert daemon.is_ready
    daemon.store.fault = Fault.down
    async with asyncio.timeout(2):
        while daemon.is_ready:
            await asyncio.sleep(0.01)
    daemon._config_sharer.last_contact_ms = daemon.clock.monotonic_ms()
    assert daemon.is_ready
    daemon._config_sharer.last_contact_ms = 0
    daemon.store.fault = Fault.none
    async with asyncio.timeout(2):
        while not daemon.is_ready:
            await asyncio.sleep(0.005)
    following.cancel()
