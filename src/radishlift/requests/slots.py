"""Allotments of the slots of executors to daemons."""

import asyncio
from collections.abc import Container
from dataclasses import dataclass
from hashlib import sha256
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ExecutorId, ServiceName
from radishlift.membership.api import MemberDirectory
from radishlift.requests.dead_owners import DeadOwners
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_rebalancer import SlotRebalancer, WantedCounts
from radishlift.requests.slot_rows import SLOTS_TABLE, SlotOwner
from radishlift.requests.slot_views import SlotView, SlotViews
from radishlift.requests.slot_writer import SlotWriter, WriteBudget
from radishlift.requests.targets import TargetList
from radishlift.services.api import Row, TableStore

_SCAN_ROWS_COUNT: Final = 500
_NO_EXECUTORS: Final[frozenset[ExecutorId]] = frozenset()


@dataclass(frozen=True, slots=True)
class SlotParts:
    """Dependencies of the slot allotments."""

    store: TableStore
    members: MemberDirectory
    targets: TargetList
    limits: ServiceLimits
    clock: Clock


class SlotAllotments:
    """Holds the slots of this daemon and moves slots by demand.

    `wanted_counts` has, by service, the slots that this daemon and each peer
    with a known load want. Daemons that are not in it keep their slots.
    """

    def __init__(
        self,
        owner: SlotOwner,
        parts: SlotParts,
        settings: RequestSettings,
    ) -> None:
        self.owner = owner
        self.views = SlotViews()
        self.wanted_counts: dict[ServiceName, WantedCounts] = {}
        self.is_draining = False
        self._parts = parts
        self._settings = settings
        budget = WriteBudget(parts.clock, settings.slot_writes_per_s)
        self.writer = SlotWriter(parts.store, owner, budget)
        self._dead_owners = DeadOwners(
            parts.members,
            parts.limits,
            parts.clock,
            settings,
        )
        self._rebalancer = SlotRebalancer(
            owner,
            self.views,
            parts.targets,
            parts.limits,
            settings,
        )

    def take_slot(
        self,
        service: ServiceName,
        excluded: Container[ExecutorId] = _NO_EXECUTORS,
    ) -> SlotView | None:
        """Acquires an idle slot of this daemon; None if there is none."""
        live = self._parts.targets.usable_executors(service)
        return self.views.take_slot(service, live, excluded)

    def idle_count(
        self,
        service: ServiceName,
        excluded: frozenset[ExecutorId] = _NO_EXECUTORS,
    ) -> int:
        """Returns the number of slots that `take_slot` could acquire now."""
        live = self._parts.targets.usable_executors(service) - excluded
        return sum(
            max(0, view.idle_count)
            for view in self.views.for_service(service)
            if view.executor_id in live
        )

    def held_count(self, service: ServiceName) -> int:
        """Returns the number of slots that this daemon holds."""
        return sum(view.own_count for view in self.views.for_service(service))

    def busy_count(self, service: ServiceName) -> int:
        """Returns the number of slots whose requests may still run."""
        return sum(view.busy_count for view in self.views.for_service(service))

    @property
    def is_released(self) -> bool:
        """Returns whether no row grants slots to this daemon any more."""
        return not any(
            view.unresolved_write or view.row.slots_of(self.owner)
            for view in self.views
        )

    async def sync(self) -> Failure | None:
        """Reads all rows, then changes them within the write budget."""
        failure = await self._scan()
        if failure is not None:
            return failure
        self._rebalancer.plan(
            self.wanted_counts,
            self._dead_owners,
            is_draining=self.is_draining,
        )
        for view in sorted(self.views, key=self._sync_order):
            failure = await self._rebalancer.advance(
                view,
                self.writer,
                self._dead_owners,
            )
            if failure is not None and failure.kind is not ErrorKind.conflict:
                return failure
        return None

    async def run(self) -> None:
        """Syncs until cancelled."""
        while True:
            await self.sync()
            await asyncio.sleep(self._settings.sync_interval_ms / 1000)

    async def _scan(self) -> Failure | None:
        for (
            executor_id,
            service,
        ) in self._parts.targets.service_by_executor.items():
            self.views.get_or_add(executor_id, service)
        after = ''
        listed: set[SlotOwner] = set()
        while True:
            rows = await self._parts.store.scan(
                SLOTS_TABLE,
                '',
                after,
                _SCAN_ROWS_COUNT,
            )
            if isinstance(rows, Failure):
                return rows
            for row in rows:
                view = self._update_view(row)
                listed.update(owner for owner, _ in view.row.owners())
            if len(rows) < _SCAN_ROWS_COUNT:
                break
            after = rows[-1].key
        self._dead_owners.keep_only(listed)
        return None

    def _update_view(self, row: Row) -> SlotView:
        view = self.views.get_or_add(ExecutorId(row.key), ServiceName(''))
        self.writer.update_view(view, row, is_latest=False)
        return view

    def _sync_order(self, view: SlotView) -> bytes:
        # The order differs between daemons, to avoid conflicts of their writes.
        name = f'{self.owner.daemon_id}/{view.executor_id}'
        return sha256(name.encode()).digest()


__all__ = ('SlotAllotments', 'SlotParts')
