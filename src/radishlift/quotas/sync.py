"""Exchanges shares between partitions owned by this daemon and homes."""

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
"""Requests in a message; each takes about 100 bytes of a 1 MiB frame."""
MAX_IDLE_HOMES_COUNT: Final = 4
"""Limit of homes per interval to which a partition sends requests that want
nothing more. A new owner sends requests to all homes; at 100 homes this limit
distributes them over some seconds instead of one burst."""
_HOMES_RETRY_MS: Final = 1_000
_Call = tuple[PartitionId, PartitionId]


class ShareSync:
    """Sends the requests of owned partitions to the owners of the homes.

    A partition has at most one unanswered message to each home at a time.
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
        self._next_load_ms = 0
        self._version: ConfigVersion | None = None
        self._open_calls: set[_Call] = set()
        self._tasks = TaskGroup()

    async def run_forever(self) -> None:
        """Sends requests until cancelled."""
        try:
            while True:
                await self.step()
                await asyncio.sleep(self._settings.sync_interval_ms / 1000)
        finally:
            await self._tasks.close()

    async def step(self) -> None:
        """Applies a new configuration and starts sending the due messages."""
        self._apply_config()
        self._server.journal_limits()
        now_ms = self._parts.clock.monotonic_ms()
        if not self._homes.is_known:
            if now_ms < self._next_load_ms:
                return
            self._next_load_ms = now_ms + _HOMES_RETRY_MS
            await self._homes.load()
            if not self._homes.is_known:
                return
        for runner in self._partitions.owned():
            if runner.partition is not None:
                self._start_calls(runner.partition, now_ms)

    def _apply_config(self) -> None:
        document = self._config.current()
        if document is None or document.version == self._version:
            return
        self._version = document.version
        self._partitions.use_config()

    def _start_calls(self, partition: OpenPartition, now_ms: int) -> None:
        asks: dict[PartitionId, list[ShareAsk]] = {}
        for ask in partition.quota_shares.due_requests(now_ms):
            home = self._homes.home_of(ask.team)
            assert home is not None
            asks.setdefault(home, []).append(ask)
        idle_homes_count = 0
        for home, home_asks in asks.items():
            call = (partition.claim.partition_id, home)
            is_wanted = any(any(ask.wanted) for ask in home_asks)
            idle_homes_count += not is_wanted
            is_over_limit = (
                not is_wanted and idle_homes_count > MAX_IDLE_HOMES_COUNT
            )
            if call in self._open_calls or is_over_limit:
                partition.quota_shares.holder.postpone(home_asks)
                continue
            partition.quota_shares.holder.postpone(home_asks[MAX_ASKS_COUNT:])
            self._open_calls.add(call)
            sent_asks = home_asks[:MAX_ASKS_COUNT]
            self._tasks.spawn(self._sync(partition, home, sent_asks))

    async def _sync(
        self,
        partition: OpenPartition,
        home: PartitionId,
        asks: Sequence[ShareAsk],
    ) -> None:
        try:
            reply = await self._send(partition, home, asks)
        except Exception as error:
            # No other request of these teams is sent while these are pending.
            reply = Failure(ErrorKind.peer_outcome_unknown, repr(error))
        finally:
            self._open_calls.discard((partition.claim.partition_id, home))
        now_ms = self._parts.clock.monotonic_ms()
        holder = partition.quota_shares.holder
        if isinstance(reply, SharesSynced):
            holder.apply_answer(asks, reply.shares, now_ms)
            partition.request_tick()
            return
        log_event(
            'shares_not_synced',
            partition=partition.claim.partition_id,
            home=home,
            reason=getattr(reply, 'reason', ''),
        )
        holder.apply_failure(asks, now_ms)
        await self._lookup.refresh(home)

    async def _send(
        self,
        partition: OpenPartition,
        home: PartitionId,
        asks: Sequence[ShareAsk],
    ) -> SharesSynced | Failure:
        timeout_ms = self._settings.call_timeout_ms
        message = self._make_message(partition, home, asks)
        if partition.quota_shares.holder.is_lowered(asks):
            # What a new owner could read as in use must not be given up, so
            # the ends of attempts have to be durable first.
            failure = await partition.wait_durable(timeout_ms)
            if failure is not None:
                return failure
        owner = self._lookup.owner_of(home)
        if owner is None:
            return Failure(ErrorKind.no_owner, f'{home} has no owner')
        reply: SharesSynced | Failure
        reply = await self._parts.network.call(owner, message, timeout_ms)
        return reply

    def _make_message(
        self,
        partition: OpenPartition,
        home: PartitionId,
        asks: Iterable[ShareAsk],
    ) -> SyncShares:
        return SyncShares(
            home,
            partition.claim.partition_id,
            partition.claim.epoch,
            partition.quota_shares.next_serial(),
            partition.quota_shares.document_version,
            tuple(asks),
        )


__all__ = ('ShareSync',)
