"""Sleeps of the loops that work on the partitions of a daemon."""

import asyncio
from collections.abc import Mapping

from radishlift.core.ids import PartitionId
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.runner import PartitionRunner


class IdleTimer:
    """Lets loops sleep until a partition has work or an interval is over.

    Loops of a daemon without jobs sleep longer: 10 wake-ups a second would use
    a tenth of its limit for control work.
    """

    def __init__(
        self,
        parts: DaemonParts,
        runners: Mapping[PartitionId, PartitionRunner],
    ) -> None:
        self._parts = parts
        self._runners = runners

    async def wait_for_next_tick(self) -> None:
        """Waits for activity, at most until the next tick may be due."""
        settings = self._parts.settings.partitions
        if self._is_quiet:
            await self._wait(settings.quiet_interval_ms)
        else:
            await self._wait(settings.idle_interval_ms)

    async def wait_while_quiet(self) -> None:
        """Waits for activity if no partition has work; else returns at once."""
        if self._is_quiet:
            settings = self._parts.settings.partitions
            await self._wait(settings.quiet_interval_ms)

    @property
    def _is_quiet(self) -> bool:
        return all(
            runner.partition is not None and runner.partition.is_quiet
            for runner in self._runners.values()
        )

    async def _wait(self, timeout_ms: int) -> None:
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._parts.activity.wait()
        except TimeoutError:
            return


__all__ = ('IdleTimer',)
