"""Start, run and planned stop of a daemon."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from aiohttp import web

from radishlift.api.readiness import Readiness
from radishlift.core.errors import Failure
from radishlift.core.logs import (
    add_event_sink,
    log_event,
    remove_event_sink,
)
from radishlift.daemon.control import Control
from radishlift.daemon.entry import Entry
from radishlift.daemon.foundation import Foundation
from radishlift.daemon.jobs import Jobs
from radishlift.ownership.loops import run_ownership
from radishlift.ownership.settings import OwnershipSettings
from radishlift.requests.idempotency import IdempotencyTable
from radishlift.settings.daemon import DaemonSettings
from radishlift.settings.loader import Settings

EXIT_FAULT: Final = 3
"""The daemon was replaced by a newer incarnation, or a loop failed."""

_LOOK_S: Final = 0.05
_MS_PER_S: Final = 1000
_RELEASE_RETRY_S: Final = 0.2


class Daemon:
    """One running daemon."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings.get(DaemonSettings)
        self._stop = asyncio.Event()
        self._has_failed = False
        self.base = Foundation(settings)
        self.control = Control(
            self.base,
            (IdempotencyTable,),
            self.request_stop,
        )
        self.jobs = Jobs(self.base, self.control)
        self.entry = Entry(self.base, self.control, self.jobs)
        self._loops: set[asyncio.Task[None]] = set()
        self._server = web.AppRunner(
            self.entry.application,
            access_log=None,
            shutdown_timeout=self._settings.drain_timeout_ms / _MS_PER_S,
        )

    def request_stop(self) -> None:
        """Asks for a planned stop."""
        self._stop.set()

    async def run(self) -> int:
        """Runs until a stop is requested, then drains.

        Returns the exit status: 0 after a planned stop, else `EXIT_FAULT`.
        """
        await self._start()
        await self._stop.wait()
        await self._drain()
        is_replaced = self.control.ownership.is_replaced
        return EXIT_FAULT if self._has_failed or is_replaced else 0

    async def _start(self) -> None:
        add_event_sink(self.entry.reports.history.add)
        await self.base.start()
        await self._server.setup()
        host, _, port = self._settings.listen.rpartition(':')
        await web.TCPSite(self._server, host, int(port)).start()
        log_event('daemon_started', daemon=self._settings.daemon_id)
        settings = self.base.settings.get(OwnershipSettings)
        await self.base.hosts.refresh()
        await self.base.table.scan()
        await self.control.config.start()
        await self.entry.router.start()
        for loop in (
            self.base.hosts.run(),
            self.base.leaving.run(),
            self.base.membership.run(),
            self.control.config.run(),
            self.control.partitions.run_forever(),
            self.control.homes_loader.run(),
            run_ownership(self.control.ownership, settings),
            self.control.counts.run(),
            self.jobs.absorb_loads(),
            self.jobs.hand_off_sender.run_forever(),
            self.jobs.share_sync.run_forever(),
            self.jobs.gang_driver.run_forever(),
            self._become_ready(),
        ):
            self._run_loop(loop)

    async def _become_ready(self) -> None:
        # Without a configuration every request would be refused.
        while self.control.config.current() is None:
            await asyncio.sleep(_LOOK_S)
        if self.entry.readiness.state is Readiness.starting:
            self.entry.readiness.trigger_event('become_ready')
            log_event('daemon_ready', daemon=self._settings.daemon_id)

    async def _drain(self) -> None:
        log_event('drain_started', daemon=self._settings.daemon_id)
        self.entry.readiness.trigger_event('drain')
        # The balancer sees the daemon unready before it refuses requests.
        await asyncio.sleep(self._settings.drain_notice_ms / _MS_PER_S)
        self.entry.router.start_drain()
        timeout_ms = self._settings.drain_timeout_ms
        is_drained = await self.entry.router.wait_until_drained(timeout_ms)
        await asyncio.gather(
            self._release_partitions(timeout_ms),
            self.control.counts.save(),
        )
        await self._server.cleanup()
        log_event(
            'drain_ended',
            daemon=self._settings.daemon_id,
            is_drained=is_drained,
        )
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await self.entry.router.stop()
        await self.control.worker_client.close()
        await self.base.stop()
        remove_event_sink(self.entry.reports.history.add)

    async def _release_partitions(self, timeout_ms: int) -> None:
        if self.control.ownership.is_replaced:
            return
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                while isinstance(await self.control.ownership.stop(), Failure):
                    await asyncio.sleep(_RELEASE_RETRY_S)
        except TimeoutError:
            log_event('release_unfinished')

    def _run_loop(self, loop: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(loop)
        self._loops.add(task)
        task.add_done_callback(self._loop_ended)

    def _loop_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # A daemon with a dead loop would look alive but do only a part of
        # its work; its process ends so that others take over.
        log_event(
            'loop_failed',
            error=repr(task.exception()),
        )
        self._has_failed = True
        self.request_stop()


__all__ = ('EXIT_FAULT', 'Daemon')
