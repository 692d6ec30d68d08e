"""Exchange of shares between the partitions owned here and the homes."""

import asyncio
from collections.abc import Iterable, Sequence
from typing import Final

from radishlift.config.api import ConfigView
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion, PartitionId
from radishlift.core.logs import log_event
from radishlift.partitions.homes import OwnerLookup
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.parts import DaemonParts
from radishlift.quotas.homes import QuotaHomes
from radishlift.quotas.messages import ShareAsk, SharesSynced, SyncShares
from radishlift.quotas.server import ShareServer
from radishlift.workers.senders import TaskGroup

MAX_ASKS_COUNT: Final = 256
"""Asks in a message; they take about 100 bytes each of a frame of 1 MiB."""
OTHER_HOMES_COUNT: Final = 4
"""Homes that a partition writes to in one interval for teams of which it
wants no more. A new owner writes to all homes, which takes some seconds at 100
homes instead of one burst."""
_HOMES_RETRY_MS: Final = 1_000
_Call = tuple[PartitionId, PartitionId]


class ShareSync:
    """Sends the asks of owned partitions to the owners of the homes.

    At most one message of a partition to a home is open at a time.
    """

    def __init__(
        self,
        parts: DaemonParts,
        partitions: Partitions,
        lookup: OwnerLookup,
        config: ConfigView,
    ) -> None:
        self._parts = parts
        self._settings = parts.settings.quotas
        self._partitions = partitions
        self._lookup = lookup
        self._config = config
        self._homes = QuotaHomes(parts.store, config)
        self._server = ShareServer(parts, partitions, lookup, config)
        self._homes_due_ms = 0
        self._version: ConfigVersion | None = None
        self._open: set[_Call] = set()
        self._tasks = TaskGroup()

    async def run_forever(self) -> None:
        """Sends asks until cancelled."""
        try:
            while True:
                await self.step()
                await asyncio.sleep(self._settings.sync_interval_ms / 1000)
        finally:
            await self._tasks.close()

    async def step(self) -> None:
        """Takes over a new configuration and begins the messages due."""
        self._use_config()
        self._server.note_limits()
        now_ms = self._parts.clock.monotonic_ms()
        if not self._homes.is_known:
            if now_ms < self._homes_due_ms:
                return
            self._homes_due_ms = now_ms + _HOMES_RETRY_MS
            await self._homes.load()
            if not self._homes.is_known:
                return
        for runner in self._partitions.owned():
            if runner.partition is not None:
                self._begin(runner.partition, now_ms)

    def _use_config(self) -> None:
        document = self._config.current()
        if document is None or document.version == self._version:
            return
        self._version = document.version
        self._partitions.use_config()

    def _begin(self, opened: OpenPartition, now_ms: int) -> None:
        asks: dict[PartitionId, list[ShareAsk]] = {}
        for ask in opened.quota_shares.due_requests(now_ms):
            home = self._homes.home_of(ask.team)
            assert home is not None
            asks.setdefault(home, []).append(ask)
        others_count = 0
        for home, planned in asks.items():
            call = (opened.claim.partition_id, home)
            is_wanted = any(any(ask.wanted) for ask in planned)
            others_count += not is_wanted
            is_late = not is_wanted and others_count > OTHER_HOMES_COUNT
            if call in self._open or is_late:
                opened.quota_shares.holder.postpone(planned)
                continue
            opened.quota_shares.holder.postpone(planned[MAX_ASKS_COUNT:])
            self._open.add(call)
            first = planned[:MAX_ASKS_COUNT]
            self._tasks.spawn(self._sync(opened, home, first))

    async def _sync(
        self,
        opened: OpenPartition,
        home: PartitionId,
        asks: Sequence[ShareAsk],
    ) -> None:
        try:
            reply = await self._ask(opened, home, asks)
        finally:
            self._open.discard((opened.claim.partition_id, home))
        now_ms = self._parts.clock.monotonic_ms()
        holder = opened.quota_shares.holder
        if isinstance(reply, SharesSynced):
            holder.take_answer(asks, reply.shares, now_ms)
            opened.request_tick()
            return
        log_event(
            'shares_not_synced',
            partition=opened.claim.partition_id,
            home=home,
            reason=getattr(reply, 'reason', ''),
        )
        holder.take_failure(asks, now_ms)
        await self._lookup.refresh(home)

    async def _ask(
        self,
        opened: OpenPartition,
        home: PartitionId,
        asks: Sequence[ShareAsk],
    ) -> SharesSynced | Failure:
        timeout_ms = self._settings.call_timeout_ms
        message = self._form(opened, home, asks)
        if opened.quota_shares.holder.is_lowered(asks):
            # What a successor could read as in use must not be given up: the
            # ends of attempts have to be durable first.
            failure = await opened.wait_durable(timeout_ms)
            if failure is not None:
                return failure
        owner = self._lookup.owner_of(home)
        if owner is None:
            return Failure(ErrorKind.no_owner, f'{home} has no owner')
        reply: SharesSynced | Failure
        reply = await self._parts.network.call(owner, message, timeout_ms)
        return reply

    def _form(
        self,
        opened: OpenPartition,
        home: PartitionId,
        asks: Iterable[ShareAsk],
    ) -> SyncShares:
        return SyncShares(
            home,
            opened.claim.partition_id,
            opened.claim.epoch,
            opened.quota_shares.next_serial(),
            opened.quota_shares.document_version,
            tuple(asks),
        )


__all__ = ('ShareSync',)
