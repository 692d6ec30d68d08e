"""Decides on moves of slots and writes them, one row at a time."""

from collections.abc import Mapping

from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId, ServiceName
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_deaths import LapsedOwners
from radishlift.requests.slot_policy import SlotDemand, plan_move
from radishlift.requests.slot_rows import SlotOwner
from radishlift.requests.slot_views import SlotView, SlotViews
from radishlift.requests.slot_writer import SlotWriter
from radishlift.requests.targets import TargetList

Wanted = Mapping[DaemonId, int]


class SlotMoves:
    """Gives up, reclaims and takes slots of one daemon."""

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
        self._lacking: dict[ServiceName, int] = {}
        self._spread: dict[ServiceName, int] = {}

    def plan(
        self,
        wanted: Mapping[ServiceName, Wanted],
        deaths: LapsedOwners,
        *,
        is_draining: bool,
    ) -> None:
        """Marks the slots to give up and counts those to take."""
        self._lacking = {}
        for service, wanted_counts in wanted.items():
            change = self._change_of(service, wanted_counts, deaths)
            if change < 0:
                self._plan_gives(service, -change)
            lacking_count = 0 if is_draining else max(0, change)
            self._lacking[service] = lacking_count
            # Slots are spread over executors, so that the loss of one
            # executor costs each daemon only a small part of its slots.
            executors_count = max(1, len(self._targets.listed(service)))
            self._spread[service] = -(-lacking_count // executors_count)
        for view in self._views:
            if is_draining or self._targets.has_left(view.executor_id):
                view.giving_count = view.own_count
            elif self._targets.listed(view.service):
                slots_count = self._limits.slots_count(view.service)
                excess = view.row.excess_of(self._owner, slots_count)
                view.giving_count = max(view.giving_count, excess)

    async def advance(
        self,
        view: SlotView,
        writer: SlotWriter,
        deaths: LapsedOwners,
    ) -> Failure | None:
        """Makes at most one write for a row."""
        if view.unsettled is not None:
            return await writer.settle(view)
        given_count = min(view.giving_count, view.own_count - view.busy_count)
        if given_count > 0:
            view.giving_count -= given_count
            kept_count = view.own_count - given_count
            changed = view.row.with_slots(self._owner, kept_count)
            return await writer.write(view, changed)
        lapsed = deaths.first_lapsed(view.row, self._owner)
        if lapsed is not None:
            return await writer.write(view, view.row.with_slots(lapsed, 0))
        if self._targets.is_gone(view.executor_id):
            return await self._forget(view, writer)
        return await self._take_more(view, writer)

    async def _take_more(
        self,
        view: SlotView,
        writer: SlotWriter,
    ) -> Failure | None:
        lacking_count = self._lacking.get(view.service, 0)
        is_closed = view.giving_count or self._targets.has_left(
            view.executor_id,
        )
        slots_count = self._limits.slots_count(view.service)
        free_count = slots_count - view.row.allotted_count
        if is_closed or free_count <= 0 or lacking_count <= 0:
            return None
        spread_count = self._spread[view.service]
        taken_count = min(free_count, lacking_count, spread_count)
        self._lacking[view.service] = lacking_count - taken_count
        own_count = view.row.slots_of(self._owner) + taken_count
        changed = view.row.with_slots(self._owner, own_count)
        return await writer.write(view, changed)

    async def _forget(
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
        self._views.drop(view.executor_id)
        return None

    def _plan_gives(self, service: ServiceName, planned_count: int) -> None:
        views = self._views.of_service(service)
        given_count = sum(view.giving_count for view in views)
        for _ in range(planned_count - given_count):
            best = max(views, key=_preference_to_give)
            if best.own_count <= best.giving_count:
                return
            best.giving_count += 1

    def _change_of(
        self,
        service: ServiceName,
        wanted: Wanted,
        deaths: LapsedOwners,
    ) -> int:
        # Slots of daemons that are dead or whose load is not known are not
        # in the pool: they can't move before those daemons act.
        held: dict[DaemonId, int] = dict.fromkeys(wanted, 0)
        listed = self._targets.listed(service)
        pool_count = self._limits.slots_count(service) * len(listed)
        for view in self._views.of_service(service):
            if view.executor_id not in listed:
                continue
            for owner, count in view.row.owners():
                if owner.daemon_id in held and not deaths.is_dead(owner):
                    held[owner.daemon_id] += count
                else:
                    pool_count -= count
        demands = {
            daemon_id: SlotDemand(held[daemon_id], wanted_count)
            for daemon_id, wanted_count in wanted.items()
        }
        return plan_move(
            self._owner.daemon_id,
            demands,
            pool_count,
            self._settings.rebalance_ratio,
            self._settings.rebalance_min_count,
        )


def _preference_to_give(view: SlotView) -> tuple[int, int]:
    return (view.own_count - view.giving_count, view.idle_count)


__all__ = ('SlotMoves', 'Wanted')
