"""Runs the loops of an ownership manager."""

import asyncio

from radishlift.core.logs import log_event
from radishlift.ownership.manager import OwnershipManager
from radishlift.ownership.settings import OwnershipSettings


async def run_ownership(
    manager: OwnershipManager,
    settings: OwnershipSettings,
) -> None:
    """Renews the daemon's row and runs steps in two concurrent loops.

    Returns when a newer incarnation has replaced the daemon.
    """
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
        await manager.wait_notified(manager.scan_interval_ms)


__all__ = ('run_ownership',)
