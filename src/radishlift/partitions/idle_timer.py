"""How long the loops over the partitions of a daemon may sleep."""

import asyncio
from collections.abc import Mapping

from radishlift.core.ids import PartitionId
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.runner import PartitionRunner


class IdleTimer:
    """Sleeps that end early when a partition has news.

    Ten wake-ups a second of a daemon without jobs would be a tenth of its
    bound for control.
    """

    def __init__(
        self,
        parts: DaemonParts,
        runners: Mapping[PartitionId, PartitionRunner],
    ) -> None:
        self._parts = parts
        self._runners = runners

    async def wait_for_next_tick(self) -> None:
        """Waits for news, at most until the next tick may be due."""
        settings = self._parts.settings.partitions
        if self._is_quiet:
            await self._wait(settings.quiet_interval_ms)
        else:
            await self._wait(settings.idle_interval_ms)

    async def wait_while_quiet(self) -> None:
        """Waits for news while no partition has jobs; else returns at once."""
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
