"""Tests of a daemon without its network."""

import asyncio

import pytest

from radishlift.access.keys import Workspace, hash_key
from radishlift.access.settings import AccessSettings
from radishlift.cell.daemon import CellDaemon, DaemonDependencies
from radishlift.cell.queues import Queue, QueueConfig
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import CELL, CONFIG
from radishlift.core.clock import BootClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import (
    Address,
    ConfigVersion,
    DaemonId,
    WorkspaceName,
)
from radishlift.services.api import Transaction, Write
from radishlift.steps.settings import StepSettings
from radishlift.steps.workspaces import WorkspaceTerms
from tests.cell.fakes import FakeAdvice, FakeTargets, MemoryCellStore
from tests.standins.tables import Fault
from tests.steps.builders import job

TERMS = job().terms
QUEUE = Queue(TERMS, 'h.example', '/q/')
PUBLIC_QUEUE = Queue(TERMS, 'h.example', '/p/', is_public=True)
KEY = ('Bearer k1',)
REVOKE_MS = 500


def decode_config(rows):
    raise ValueError('software fault')


def decode_keys(rows):
    row = rows[-1]
    keys = frozenset(map(hash_key, row.value['keys']))
    return QueueConfig(
        ConfigVersion(row.version),
        (QUEUE, PUBLIC_QUEUE),
        100,
        (Workspace(WorkspaceTerms(WorkspaceName('w1')), keys),),
    )


def create_daemon(decode):
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
            decode,
            lambda name, plain: None,
            CellSettings(short_wait_ms=20, first_claim_ms=20, cut_off_ms=100),
            StepSettings(),
            clock,
            6000,
            access=AccessSettings(REVOKE_MS, REVOKE_MS),
        ),
    )
    daemon.store = store
    daemon.clock = clock
    return daemon


@pytest.fixture
async def daemon():
    daemon = create_daemon(decode_config)
    yield daemon
    await daemon.stop()


@pytest.fixture
async def keyed():
    daemon = create_daemon(decode_keys)
    write(daemon, CONFIG, 'config', {'keys': ['k1']})
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


async def test_key_taken_away_while_the_store_is_away_is_not_served(keyed):
    """Guards against a daemon that can't learn that a key was taken away."""

    def outcome():
        caller = keyed.job_service.identify(QUEUE, KEY)
        return caller.kind if isinstance(caller, Failure) else None

    await keyed.start()
    async with asyncio.timeout(2):
        while keyed.job_service.config is None or outcome() is not None:
            await asyncio.sleep(0.005)
    keyed.store.fault = Fault.down
    write(keyed, CONFIG, 'config', {'keys': ['k2']})
    revoked_at_ms = keyed.clock.monotonic_ms()
    async with asyncio.timeout(2):
        while outcome() is None:
            sent_at_ms = keyed.clock.monotonic_ms()
            await asyncio.sleep(0.005)
    assert sent_at_ms - revoked_at_ms < REVOKE_MS
    assert outcome() is ErrorKind.configuration_outdated
    assert not keyed.is_ready
    public = keyed.job_service.identify(PUBLIC_QUEUE, ())
    assert not isinstance(public, Failure)
    keyed.store.fault = Fault.none
    async with asyncio.timeout(2):
        while outcome() is not ErrorKind.unauthenticated:
            await asyncio.sleep(0.005)
    assert keyed.is_ready
