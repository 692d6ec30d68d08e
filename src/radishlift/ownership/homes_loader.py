"""Loads the homes of job ids and keys when a daemon starts."""

import asyncio
from typing import Final

from radishlift.config.api import ConfigView
from radishlift.core.clock import Clock
from radishlift.core.ids import ConfigVersion
from radishlift.ownership.fixed_homes import JobHomes
from radishlift.services.api import TableStore

_CHECK_INTERVAL_MS: Final = 50
# With this interval a cell of 28 daemons reads 28 rows/s until the row has been
# read, of about 2,000 rows/s that the table service supports.
_RETRY_INTERVAL_MS: Final = 1_000
_MS_PER_S: Final = 1_000


class HomesLoader:
    """Retries once a second, and immediately for a new configuration."""

    def __init__(
        self,
        store: TableStore,
        config: ConfigView,
        clock: Clock,
    ) -> None:
        self.homes = JobHomes(store, config)
        self._config = config
        self._clock = clock
        self._due_ms = clock.monotonic_ms()
        self._tried_version: ConfigVersion | None = None

    async def run(self) -> None:
        """Retries until the homes are known."""
        while not self.homes.is_known:
            await self.step()
            await asyncio.sleep(_CHECK_INTERVAL_MS / _MS_PER_S)

    async def step(self) -> None:
        """Loads the homes if an attempt is due."""
        document = self._config.current()
        version = None if document is None else document.version
        now_ms = self._clock.monotonic_ms()
        if version == self._tried_version and now_ms < self._due_ms:
            return
        self._tried_version = version
        self._due_ms = now_ms + _RETRY_INTERVAL_MS
        await self.homes.load()


__all__ = ('HomesLoader',)
