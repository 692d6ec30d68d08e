"""Entry point of the daemon on the platform: connects cell and adapter."""

import asyncio
import os
import signal
import sys
from dataclasses import replace
from pathlib import Path
from typing import Final

from radishlift.cell.daemon import CellDaemon, DaemonDependencies
from radishlift.cell.metrics import CellMetrics
from radishlift.cell.queues import QueueConfig
from radishlift.cell.settings import CellSettings
from radishlift.core.clock import BootClock
from radishlift.core.errors import Failure
from radishlift.core.garbage import reduce_collections
from radishlift.core.log_stream import BoundedLogStream
from radishlift.core.logs import add_event_sink, log_event, setup_logs
from radishlift.platform.advice import PlatformAdvice
from radishlift.platform.documents import (
    CONFIG_KEY,
    decode_config,
    decode_target,
)
from radishlift.platform.front import FrontApi
from radishlift.platform.http import JsonClient
from radishlift.platform.listeners import (
    make_metrics_handler,
    make_readiness_handler,
    serve,
)
from radishlift.platform.settings import (
    SETTINGS_VARIABLE,
    HostSettings,
    read_host_settings,
)
from radishlift.platform.store import PlatformStore
from radishlift.platform.targets import PlatformTargets
from radishlift.services.api import Row
from radishlift.steps.settings import StepSettings

EXIT_SETTINGS: Final = 2
EXIT_FAULT: Final = 3
# Share of the grace period in which open connections are still served.
_DRAIN_RATIO: Final = 0.75


def main() -> int:
    """Runs the daemon until SIGTERM or a fatal fault.

    Returns exit status 2 if the settings are invalid, 3 after a fault, else 0.
    """
    settings = read_host_settings(Path(os.environ[SETTINGS_VARIABLE]))
    stream = BoundedLogStream(
        sys.stdout.fileno(),
        CellSettings().max_log_lines_per_s,
        BootClock(),
    )
    setup_logs('INFO', stream)
    if isinstance(settings, Failure):
        log_event('settings_refused', reason=settings.reason)
        return EXIT_SETTINGS
    return asyncio.run(_run(settings))


async def _run(settings: HostSettings) -> int:
    reduce_collections()
    client = JsonClient(settings.link_mbps)
    clock = BootClock()
    daemon = CellDaemon(
        DaemonDependencies(
            settings.daemon_id,
            settings.leader_rank,
            settings.peer_address,
            PlatformStore(client, settings.store_address),
            PlatformTargets(client),
            PlatformAdvice(client, settings.advice_address),
            newest_config,
            decode_target,
            _cell_settings(settings),
            StepSettings(),
            clock,
            settings.max_lease_ms,
            settings.target_heartbeat_ms,
            settings.max_row_bytes,
            settings.access,
        ),
    )
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, settings)
    await daemon.start()
    metrics = CellMetrics(lambda: daemon.freshness.age_ms)
    add_event_sink(metrics.count_event)
    front = FrontApi(daemon.job_service, clock, metrics)
    await serve(settings.front_address, front.handle)
    await serve(settings.ready_address, make_readiness_handler(daemon))
    await serve(settings.metrics_address, make_metrics_handler(metrics))
    log_event('daemon_started', daemon=settings.daemon_id)
    end_events = {
        asyncio.create_task(stopped.wait()),
        asyncio.create_task(daemon.failed.wait()),
    }
    await asyncio.wait(end_events, return_when=asyncio.FIRST_COMPLETED)
    if daemon.failed.is_set():
        return EXIT_FAULT
    drain_wait = asyncio.sleep(settings.grace_ms * _DRAIN_RATIO / 1000)
    await asyncio.gather(daemon.step_down(), drain_wait)
    await daemon.stop()
    await client.close()
    log_event('drain_ended')
    return 0


def _cell_settings(host: HostSettings) -> CellSettings:
    usual = CellSettings()
    return replace(
        usual, max_batch_bytes=host.limit_batch_bytes(usual.max_batch_bytes)
    )


def _reload_settings(running: HostSettings) -> None:
    """Reads and checks the settings; changes take effect at a restart."""
    settings = read_host_settings(Path(os.environ[SETTINGS_VARIABLE]))
    if isinstance(settings, Failure):
        log_event('settings_refused', reason=settings.reason)
        return
    log_event('settings_reloaded', is_changed=settings != running)


def newest_config(rows: tuple[Row, ...]) -> QueueConfig | Failure | None:
    """Decodes the newest configuration in rows, which may have several.

    Returns None if there is none.
    """
    config_rows = [
        row for row in rows if row.key == CONFIG_KEY and row.value is not None
    ]
    if not config_rows:
        return None
    newest = max(config_rows, key=lambda row: row.version)
    return decode_config(newest.value or {})


__all__ = ('main', 'newest_config')

if __name__ == '__main__':
    sys.exit(main())
