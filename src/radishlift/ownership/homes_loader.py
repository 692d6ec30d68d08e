"""Loads the homes of job ids and keys when a daemon starts."""

import asyncio
from typing import Final

from radishlift.config.api import ConfigView
from radishlift.core.clock import Clock
from radishlift.core.ids import ConfigVersion
from radishlift.ownership.fixed_homes import JobHomes
from radishlift.services.api import TableStore

_LOOK_MS: Final = 50
# A cell of 28 daemons then reads 28 rows/s, of about 2,000 that the table
# service takes, and only until the row is known.
_RETRY_MS: Final = 1_000
_MS_PER_S: Final = 1_000


class HomesLoader:
    """Tries once a second, and at once when a new document is in force."""

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
        self._tried: ConfigVersion | None = None

    async def run(self) -> None:
        """Tries until the homes are known."""
        while not self.homes.is_known:
            await self.step()
            await asyncio.sleep(_LOOK_MS / _MS_PER_S)

    async def step(self) -> None:
        """Loads the homes if a try is due."""
        document = self._config.current()
        version = None if document is None else document.version
        now_ms = self._clock.monotonic_ms()
        if version == self._tried and now_ms < self._due_ms:
            return
        self._tried = version
        self._due_ms = now_ms + _RETRY_MS
        await self.homes.load()


__all__ = ('HomesLoader',)
