"""Plans changes of slot allotments and writes them, row by row."""

from collections.abc import Mapping

from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId, ServiceName
from radishlift.requests.dead_owners import DeadOwners
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_policy import SlotDemand, plan_change
from radishlift.requests.slot_rows import SlotOwner
from radishlift.requests.slot_views import SlotView, SlotViews
from radishlift.requests.slot_writer import SlotWriter
from radishlift.requests.targets import TargetList

WantedCounts = Mapping[DaemonId, int]


class SlotRebalancer:
    """Returns, reclaims and acquires slots for one daemon."""

    def __init__(
        self,
        owner: SlotOwner,
        views: SlotViews,
        targets: TargetList,
        limits: ServiceLimits,
        settings: RequestSettings,
    ) -> None:
        self._owner = owner
        self._views = views
        self._targets = targets
        self._limits = limits
        self._settings = settings
        self._missing_counts: dict[ServiceName, int] = {}
        self._max_per_executor: dict[ServiceName, int] = {}

    def plan(
        self,
        wanted_by_service: Mapping[ServiceName, WantedCounts],
        dead_owners: DeadOwners,
        *,
        is_draining: bool,
    ) -> None:
        """Marks the slots to return and counts the slots to acquire."""
        self._missing_counts = {}
        for service, wanted_counts in wanted_by_service.items():
            change = self._planned_change(service, wanted_counts, dead_owners)
            if change < 0:
                self._plan_returns(service, -change)
            missing_count = 0 if is_draining else max(0, change)
            self._missing_counts[service] = missing_count
            # Limits the slots acquired per executor, so that the loss of an
            # executor costs each daemon only a small part of its slots.
            executors_count = max(1, len(self._targets.live_executors(service)))
            self._max_per_executor[service] = -(
                -missing_count // executors_count
            )
        for view in self._views:
            if is_draining or self._targets.is_leaving_or_removed(
                view.executor_id
            ):
                view.returning_count = view.own_count
            elif self._targets.live_executors(view.service):
                slots_count = self._limits.slots_per_executor(view.service)
                excess = view.row.excess_of(self._owner, slots_count)
                view.returning_count = max(view.returning_count, excess)

    async def advance(
        self,
        view: SlotView,
        writer: SlotWriter,
        dead_owners: DeadOwners,
    ) -> Failure | None:
        """Makes at most one write for the row of an executor."""
        if view.unresolved_write is not None:
            return await writer.resolve_write(view)
        returned_count = min(
            view.returning_count, view.own_count - view.busy_count
        )
        if returned_count > 0:
            view.returning_count -= returned_count
            kept_count = view.own_count - returned_count
            changed_row = view.row.with_slots(self._owner, kept_count)
            return await writer.write(view, changed_row)
        dead_owner = dead_owners.first_reclaimable(view.row, self._owner)
        if dead_owner is not None:
            return await writer.write(view, view.row.with_slots(dead_owner, 0))
        if self._targets.is_removed(view.executor_id):
            return await self._remove_executor(view, writer)
        return await self._acquire_slots(view, writer)

    async def _acquire_slots(
        self,
        view: SlotView,
        writer: SlotWriter,
    ) -> Failure | None:
        missing_count = self._missing_counts.get(view.service, 0)
        is_closed = view.returning_count or self._targets.is_leaving_or_removed(
            view.executor_id,
        )
        slots_count = self._limits.slots_per_executor(view.service)
        free_count = slots_count - view.row.allotted_count
        if is_closed or free_count <= 0 or missing_count <= 0:
            return None
        max_count = self._max_per_executor[view.service]
        acquired_count = min(free_count, missing_count, max_count)
        self._missing_counts[view.service] = missing_count - acquired_count
        own_count = view.row.slots_of(self._owner) + acquired_count
        changed_row = view.row.with_slots(self._owner, own_count)
        return await writer.write(view, changed_row)

    async def _remove_executor(
        self,
        view: SlotView,
        writer: SlotWriter,
    ) -> Failure | None:
        if view.busy_count or view.row.allotments:
            return None
        if view.version:
            failure = await writer.delete(view)
            if failure is not None:
                return failure
        self._views.remove(view.executor_id)
        return None

    def _plan_returns(self, service: ServiceName, planned_count: int) -> None:
        views = self._views.for_service(service)
        returned_count = sum(view.returning_count for view in views)
        for _ in range(planned_count - returned_count):
            best = max(views, key=_return_preference)
            if best.own_count <= best.returning_count:
                return
            best.returning_count += 1

    def _planned_change(
        self,
        service: ServiceName,
        wanted_counts: WantedCounts,
        dead_owners: DeadOwners,
    ) -> int:
        # Excludes slots of daemons that are dead or whose load is unknown: they
        # stay with those daemons until these return them or they are reclaimed.
        held_counts: dict[DaemonId, int] = dict.fromkeys(wanted_counts, 0)
        listed = self._targets.live_executors(service)
        pool_count = self._limits.slots_per_executor(service) * len(listed)
        for view in self._views.for_service(service):
            if view.executor_id not in listed:
                continue
            for owner, count in view.row.owners():
                if owner.daemon_id in held_counts and not dead_owners.is_dead(
                    owner
                ):
                    held_counts[owner.daemon_id] += count
                else:
                    pool_count -= count
        demands = {
            daemon_id: SlotDemand(held_counts[daemon_id], wanted_count)
            for daemon_id, wanted_count in wanted_counts.items()
        }
        return plan_change(
            self._owner.daemon_id,
            demands,
            pool_count,
            self._settings.rebalance_ratio,
            self._settings.rebalance_min_count,
        )


def _return_preference(view: SlotView) -> tuple[int, int]:
    return (view.own_count - view.returning_count, view.idle_count)


__all__ = ('SlotRebalancer', 'WantedCounts')
