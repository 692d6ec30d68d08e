"""Runs an ownership manager until its daemon is replaced or cancelled."""

import asyncio

from radishlift.core.logs import log_event
from radishlift.ownership.manager import OwnershipManager
from radishlift.ownership.settings import OwnershipSettings


async def run_ownership(
    manager: OwnershipManager,
    settings: OwnershipSettings,
) -> None:
    """Renews the row of the daemon and steps, each in its own loop."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_renew(manager, settings))
        group.create_task(_step(manager))


async def _renew(
    manager: OwnershipManager,
    settings: OwnershipSettings,
) -> None:
    while not manager.is_replaced:
        failure = await manager.renew()
        if failure is not None:
            log_event('renewal_failed', reason=failure.reason)
        await asyncio.sleep(settings.renew_interval_ms / 1000)


async def _step(manager: OwnershipManager) -> None:
    while not manager.is_replaced:
        failure = await manager.step()
        if failure is not None:
            log_event('ownership_step_failed', reason=failure.reason)
        await manager.wait_woken(manager.scan_interval_ms)


__all__ = ('run_ownership',)
