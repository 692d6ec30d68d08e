"""Tests of a daemon that continues after a long suspension."""

import asyncio

import pytest

from radishlift.cell.daemon import CellDaemon, DaemonDependencies
from radishlift.cell.messages import RowInsert, RowInserted
from radishlift.cell.queues import Queue
from radishlift.cell.settings import CellSettings
from radishlift.cell.suspension import SuspensionMonitor
from radishlift.cell.tables import JOBS
from radishlift.core.clock import ManualClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.steps.settings import StepSettings
from tests.cell.fakes import FakeAdvice, FakeTargets, MemoryCellStore
from tests.steps.builders import job

RUN = job()
ID = RUN.spec.job_id
QUEUE = Queue(RUN.terms, 'h.example', '/batch/')
SETTINGS = CellSettings(suspension_check_ms=1)


class SuspendedDaemon:
    """A daemon without its loops, whose clock a test moves."""

    def __init__(self) -> None:
        self.store = MemoryCellStore()
        self.clock = ManualClock(1000)
        self.daemon = CellDaemon(
            DaemonDependencies(
                DaemonId('d1'),
                10,
                Address('127.0.0.1:0'),
                self.store,
                FakeTargets(),
                FakeAdvice(),
                lambda rows: None,
                lambda name, plain: None,
                SETTINGS,
                StepSettings(),
                self.clock,
                6000,
            ),
        )

    async def submit(self):
        return await self.daemon.job_service.submit(
            QUEUE, RUN.spec, self.clock.monotonic_ms() + 400
        )

    async def insert_for_a_peer(self):
        reply = await self.daemon._network.call(
            DaemonId('d1'), RowInsert(JOBS, ID, '{}'), 400
        )
        return None if isinstance(reply, RowInserted) else reply


@pytest.mark.parametrize('is_for_a_peer', [False, True])
async def test_job_from_before_a_suspension_is_rejected(is_for_a_peer):
    """Guards against a job that runs after its cancel was forgotten."""
    suspended = SuspendedDaemon()
    insert = suspended.submit
    if is_for_a_peer:
        insert = suspended.insert_for_a_peer
    suspended.clock.advance(SETTINGS.forget_ended_ms)
    failure = await insert()
    assert isinstance(failure, Failure)
    assert failure.is_not_run
    assert not suspended.store.tables.history
    suspended.clock.advance(SETTINGS.recovery_ms)
    assert await insert() is None


async def test_job_from_before_a_suspension_is_not_relayed():
    suspended = SuspendedDaemon()
    suspended.daemon._cell_follower.is_store_lost = True
    suspended.clock.advance(SETTINGS.forget_ended_ms)
    assert (await suspended.submit()).kind is ErrorKind.overloaded


async def test_cancel_is_stored_right_after_a_suspension():
    suspended = SuspendedDaemon()
    assert await suspended.submit() is None
    suspended.clock.advance(SETTINGS.forget_ended_ms)
    deadline_ms = suspended.clock.monotonic_ms() + 400
    assert await suspended.daemon.job_service.cancel(ID, deadline_ms) is None


async def test_idle_daemon_does_not_count_as_suspended():
    """Guards against rejected submissions after a time without any."""
    clock = ManualClock()
    monitor = SuspensionMonitor(SETTINGS, clock)
    running = asyncio.create_task(monitor.run())
    for _ in range(4):
        await asyncio.sleep(0.02)
        clock.advance(SETTINGS.forget_ended_ms // 3)
    assert not monitor.is_recovering()
    running.cancel()
