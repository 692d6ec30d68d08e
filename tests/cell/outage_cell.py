"""Daemons with one store that can be silent, slow or out of reach."""

import asyncio
from contextlib import asynccontextmanager, closing

from radishlift.cell.entry_rows import RelayedRows, StoreRows
from radishlift.cell.job_service import JobService
from radishlift.cell.queues import Queue
from radishlift.cell.store_guard import StoreGuard
from radishlift.cell.store_watch import StoreWatch
from radishlift.cell.tables import CELL, HEARTBEAT_KEY
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, JobId
from radishlift.outages.settings import OutageSettings
from radishlift.services.api import Transaction, Write
from tests.cell.fakes import MemoryCellStore
from tests.standins.virtual_time import LoopClock
from tests.steps.builders import job

PULSE_S = 0.4
DEADLINE_MS = 3000
TIMEOUT_S = 1.5


class RemoteStore(MemoryCellStore):
    """One daemon's way to the store, which takes `way_s` in each direction.

    While it is silent, requests and answers are lost.
    """

    def __init__(self, tables) -> None:
        super().__init__(tables)
        self.is_silent = False
        self.way_s = 0.002
        self.probes_count = 0
        self.sent = []

    async def read(self, table, key):
        work = super().read(table, key)
        return await self._travel(work, ErrorKind.store_unavailable)

    async def commit(self, transaction):
        self.sent.append(transaction)
        work = super().commit(transaction)
        return await self._travel(work, ErrorKind.store_outcome_unknown)

    async def changes(self, table, after_version, wait_ms):
        work = super().changes(table, after_version, wait_ms)
        return await self._travel(work, ErrorKind.store_unavailable)

    async def probe(self, timeout_ms, parts_count):
        self.probes_count += parts_count
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                row = await self.read(CELL, 'probe')
        except TimeoutError:
            return Failure(ErrorKind.store_unavailable, 'no answer')
        return row if isinstance(row, Failure) else None

    async def _travel(self, work, kind):
        with closing(work):
            if not self.is_silent:
                await asyncio.sleep(self.way_s)
                answer = await work
                await asyncio.sleep(self.way_s)
                if not self.is_silent:
                    return answer
        await asyncio.sleep(TIMEOUT_S)
        return Failure(kind, 'no answer')


class DirectPeers:
    """Calls the handlers of other daemons without a network."""

    def __init__(self, daemon_id, daemons) -> None:
        self.daemon_id = daemon_id
        self._daemons = daemons
        self.handlers = {}

    @property
    def peers(self):
        return [name for name in self._daemons if name != self.daemon_id]

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    async def probe(self, _peer):
        await asyncio.sleep(0.001)

    async def call(self, peer, request, timeout_ms):
        handler = self._daemons[peer].network.handlers[type(request)]
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await handler(self.daemon_id, request)
        except TimeoutError:
            return Failure(ErrorKind.peer_outcome_unknown, 'no answer')


class OutageDaemon:
    """A daemon that follows the cell and takes submissions."""

    def __init__(self, name, daemons, tables) -> None:
        self.store = RemoteStore(tables)
        self.watch = StoreWatch(self.store, OutageSettings(), LoopClock())
        self.guard = StoreGuard(self.store, self.watch)
        self.network = DirectPeers(DaemonId(name), daemons)
        rows = RelayedRows(
            StoreRows(self.guard),
            self.network,
            lambda: self.watch.is_lost,
            LoopClock(),
        )
        rows.is_store_doubted = lambda: self.watch.is_doubted
        self.service = JobService(rows, LoopClock(), dict)

    async def submit(self, number):
        """Submits a job; returns its failure and how long it took."""
        clock = LoopClock()
        started_at_ms = clock.monotonic_ms()
        run = job(job_id=JobId(f'{number:016x}'))
        outcome = await self.service.submit(
            Queue(run.terms, 'h.example', '/batch/'),
            run.spec,
            started_at_ms + DEADLINE_MS,
        )
        return outcome, clock.monotonic_ms() - started_at_ms

    async def follow(self):
        version = 0
        while True:
            changed = await self.guard.changes(CELL, version, 1000)
            if isinstance(changed, Failure):
                await asyncio.sleep(0.15)
            else:
                version = changed.version


@asynccontextmanager
async def outage_cell(tables, count):
    """Runs daemons, and a leader that writes its heartbeat."""
    daemons = {}
    for number in range(count):
        name = f'd{number}'
        daemons[name] = OutageDaemon(name, daemons, tables)

    async def lead():
        while True:
            fields = {'at': LoopClock().monotonic_ms()}
            tables.commit(
                Transaction((), (Write(CELL, HEARTBEAT_KEY, fields),))
            )
            await asyncio.sleep(PULSE_S)

    tasks = [asyncio.create_task(lead())]
    for daemon in daemons.values():
        tasks.append(asyncio.create_task(daemon.watch.run()))
        tasks.append(asyncio.create_task(daemon.follow()))
    await asyncio.sleep(1)
    yield list(daemons.values())
    for task in tasks:
        task.cancel()


__all__ = ('OutageDaemon', 'outage_cell')
