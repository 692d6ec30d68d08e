"""What this daemon knows of each executor's slots, and which are in use."""

from collections import defaultdict
from collections.abc import Container, Iterator
from dataclasses import dataclass, field
from itertools import count

from radishlift.core.ids import ExecutorId, ServiceName
from radishlift.requests.slot_rows import SlotOwner, SlotRow
from radishlift.services.api import Transaction


@dataclass(slots=True)
class SlotView:
    """One executor.

    `own_count` never exceeds what any possible state of the row grants:
    while a write is unsettled it is the lower of both outcomes.
    `giving_count` of them are not used again and returned once idle.
    """

    executor_id: ExecutorId
    service: ServiceName
    version: int = 0
    row: SlotRow = field(default_factory=SlotRow)
    own_count: int = 0
    returning_count: int = 0
    busy_count: int = 0
    unresolved_write: Transaction | None = None

    @property
    def idle_count(self) -> int:
        """Counts slots that a new request may take."""
        return self.own_count - self.returning_count - self.busy_count

    def update(self, version: int, row: SlotRow, owner: SlotOwner) -> None:
        """Takes over a state of the row that differs from the known one.

        A write that is conditional on an older version can't take effect any
        more, so that any unsettled one is settled by this.
        """
        self.version = version
        self.row = row
        self.own_count = row.slots_of(owner)
        self.returning_count = min(self.returning_count, self.own_count)
        self.unresolved_write = None


class SlotViews:
    """The views of all executors; takes and releases slots."""

    def __init__(self) -> None:
        self._views: dict[ExecutorId, SlotView] = {}
        self._by_service: defaultdict[ServiceName, list[SlotView]]
        self._by_service = defaultdict(list)
        self._rotation = count()

    def __iter__(self) -> Iterator[SlotView]:
        return iter(tuple(self._views.values()))

    def versions(self) -> dict[ExecutorId, int]:
        """Returns the known version of each row."""
        return {view.executor_id: view.version for view in self}

    def get(self, executor_id: ExecutorId) -> SlotView | None:
        """Returns the view of an executor if there is one."""
        return self._views.get(executor_id)

    def get_or_add(
        self, executor_id: ExecutorId, service: ServiceName
    ) -> SlotView:
        """Returns the view of an executor, made if needed."""
        view = self._views.get(executor_id)
        if view is None:
            view = SlotView(executor_id, service)
            self._views[executor_id] = view
            self._by_service[service].append(view)
        elif service and not view.service:
            # The row was seen before the host list showed its executor.
            self._by_service[view.service].remove(view)
            self._by_service[service].append(view)
            view.service = service
        return view

    def remove(self, executor_id: ExecutorId) -> None:
        """Forgets an executor that holds no slots of this daemon."""
        view = self._views.pop(executor_id)
        self._by_service[view.service].remove(view)

    def for_service(self, service: ServiceName) -> list[SlotView]:
        """Lists the views of a service."""
        return self._by_service[service]

    def take_slot(
        self,
        service: ServiceName,
        live: Container[ExecutorId],
        excluded: Container[ExecutorId],
    ) -> SlotView | None:
        """Takes a slot on the live executor with the most idle ones."""
        candidates = [
            view
            for view in self.for_service(service)
            if view.idle_count > 0
            and view.executor_id in live
            and view.executor_id not in excluded
        ]
        if not candidates:
            return None
        # Rotation spreads requests over executors with equal room.
        turn = next(self._rotation) % len(candidates)
        rotated = candidates[turn:] + candidates[:turn]
        best = max(rotated, key=_idle_count)
        best.busy_count += 1
        return best


def _idle_count(view: SlotView) -> int:
    return view.idle_count


__all__ = ('SlotView', 'SlotViews')
