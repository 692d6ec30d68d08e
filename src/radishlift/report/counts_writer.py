"""Saves the counts of objectives so that they outlive a daemon's restart."""

import asyncio
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId
from radishlift.core.logs import log_event
from radishlift.report.metrics import MetricsTable
from radishlift.report.saved_counts import (
    SavedCounts,
    SavedObjective,
    decode_counts,
    encode_counts,
)
from radishlift.report.settings import ReportSettings
from radishlift.services.api import ObjectStore

# Limits saved counts to a fourteenth of the 7 KB/s for control traffic.
_MAX_BYTES_PER_S: Final = 500


class CountsWriter:
    """Loads the counts of the previous process, then saves at intervals.

    Each daemon writes one object of the object store. It is written only if
    the counts have changed, every `save_interval_ms` or less often if it is
    large. A killed daemon loses the counts since its last write.
    """

    def __init__(
        self,
        metrics: MetricsTable,
        store: ObjectStore,
        clock: Clock,
        daemon_id: DaemonId,
        settings: ReportSettings,
    ) -> None:
        self._metrics = metrics
        self._store = store
        self._clock = clock
        self._name = f'counts/{daemon_id}'
        self._settings = settings
        self._is_loaded = False
        self._saved_totals: tuple[tuple[str, str, tuple[int, ...]], ...] = ()
        self._saved_bytes = 0

    @property
    def interval_ms(self) -> int:
        """Returns the time until the next save."""
        rate_limited_ms = 1000 * self._saved_bytes // _MAX_BYTES_PER_S
        return max(self._settings.save_interval_ms, rate_limited_ms)

    async def run(self) -> None:
        """Loads, then saves until cancelled."""
        while True:
            await self.save()
            interval_ms = self.interval_ms
            if not self._is_loaded:
                interval_ms = self._settings.peer_timeout_ms
            await asyncio.sleep(interval_ms / 1000)

    async def save(self) -> None:
        """Saves the counts if they changed, after loading the earlier ones.

        An object that could not be fetched is not overwritten.
        """
        if not self._is_loaded and not await self._load():
            return
        objectives = self._metrics.dump()
        totals = tuple(_totals_of(objective) for objective in objectives)
        if totals == self._saved_totals:
            return
        counts = SavedCounts(self._clock.wall_ms(), objectives)
        content = encode_counts(counts)
        failure = await self._store.put(self._name, content)
        if isinstance(failure, Failure):
            log_event('counts_not_saved', reason=failure.reason)
            return
        self._saved_totals = totals
        self._saved_bytes = len(content)

    async def _load(self) -> bool:
        content = await self._store.get(self._name)
        if isinstance(content, Failure):
            self._is_loaded = content.kind is ErrorKind.not_found
            return self._is_loaded
        self._is_loaded = True
        saved = decode_counts(content)
        if isinstance(saved, Failure):
            log_event('counts_unreadable', reason=saved.reason)
            return True
        # Wall clocks may differ if the daemon has moved to another host.
        passed_ms = max(0, self._clock.wall_ms() - saved.saved_at_ms)
        self._metrics.load(saved.objectives, passed_ms)
        return True


def _totals_of(saved: SavedObjective) -> tuple[str, str, tuple[int, ...]]:
    totals = tuple(
        sum(total for _, _, total in slots) for slots in saved.windows
    )
    return saved.name, saved.definition, totals


__all__ = ('CountsWriter',)
