"""Start, run and graceful stop of a daemon."""

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
from radishlift.daemon.context import DaemonContext
from radishlift.daemon.control import ControlPlane
from radishlift.daemon.frontend import HttpFrontend
from radishlift.daemon.jobs import JobComponents
from radishlift.ownership.loops import run_ownership
from radishlift.ownership.settings import OwnershipSettings
from radishlift.requests.idempotency import IdempotencyTable
from radishlift.settings.daemon import DaemonSettings
from radishlift.settings.loader import Settings

EXIT_FAULT: Final = 3
"""The daemon was replaced by a newer incarnation, or a loop failed."""

_CONFIG_POLL_S: Final = 0.05
_MS_PER_S: Final = 1000
_RELEASE_RETRY_S: Final = 0.2


class Daemon:
    """Starts the components of a daemon, runs their loops and drains them."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings.get(DaemonSettings)
        self._stop = asyncio.Event()
        self._has_failed = False
        self.context = DaemonContext(settings)
        self.control = ControlPlane(
            self.context,
            (IdempotencyTable,),
            self.request_stop,
        )
        self.jobs = JobComponents(self.context, self.control)
        self.frontend = HttpFrontend(self.context, self.control, self.jobs)
        self._loops: set[asyncio.Task[None]] = set()
        self._server = web.AppRunner(
            self.frontend.application,
            access_log=None,
            shutdown_timeout=self._settings.drain_timeout_ms / _MS_PER_S,
        )

    def request_stop(self) -> None:
        """Requests a graceful stop; returns at once."""
        self._stop.set()

    async def run(self) -> int:
        """Runs until a stop is requested, then drains.

        Returns the exit status: 0 after a graceful stop, else `EXIT_FAULT`.
        """
        await self._start()
        await self._stop.wait()
        await self._drain()
        is_replaced = self.control.ownership.is_replaced
        return EXIT_FAULT if self._has_failed or is_replaced else 0

    async def _start(self) -> None:
        add_event_sink(self.frontend.reports.history.add)
        await self.context.start()
        await self._server.setup()
        host, _, port = self._settings.listen.rpartition(':')
        await web.TCPSite(self._server, host, int(port)).start()
        log_event('daemon_started', daemon=self._settings.daemon_id)
        settings = self.context.settings.get(OwnershipSettings)
        await self.context.hosts.refresh()
        await self.context.table.scan()
        await self.control.config.start()
        await self.frontend.router.start()
        for loop in (
            self.context.hosts.run(),
            self.context.leaving_hosts.run(),
            self.context.membership.run(),
            self.control.config.run(),
            self.control.partitions.run_forever(),
            self.control.homes_loader.run(),
            run_ownership(self.control.ownership, settings),
            self.control.counts.run(),
            self.jobs.run_summary_updates(),
            self.jobs.hand_off_sender.run_forever(),
            self.jobs.share_sync.run_forever(),
            self.jobs.gang_coordinator.run_forever(),
            self._become_ready(),
        ):
            self._run_loop(loop)

    async def _become_ready(self) -> None:
        # Without a configuration document every request would be refused.
        while self.control.config.current() is None:
            await asyncio.sleep(_CONFIG_POLL_S)
        if self.frontend.readiness.state is Readiness.starting:
            self.frontend.readiness.apply_event('become_ready')
            log_event('daemon_ready', daemon=self._settings.daemon_id)

    async def _drain(self) -> None:
        log_event('drain_started', daemon=self._settings.daemon_id)
        self.frontend.readiness.apply_event('drain')
        # The load balancer must see the daemon as not ready before the daemon
        # refuses requests.
        await asyncio.sleep(self._settings.drain_notice_ms / _MS_PER_S)
        self.frontend.router.start_drain()
        timeout_ms = self._settings.drain_timeout_ms
        is_drained = await self.frontend.router.wait_until_drained(timeout_ms)
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
        await self.frontend.router.stop()
        await self.control.worker_client.close()
        await self.context.stop()
        remove_event_sink(self.frontend.reports.history.add)

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
        task.add_done_callback(self._on_loop_ended)

    def _on_loop_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # After a loop failed the daemon would still look alive but do only a
        # part of its work, so the process ends and other daemons take over.
        log_event(
            'loop_failed',
            error=repr(task.exception()),
        )
        self._has_failed = True
        self.request_stop()


__all__ = ('EXIT_FAULT', 'Daemon')
