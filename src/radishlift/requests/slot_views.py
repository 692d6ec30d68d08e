"""Local state of the slots of each executor."""

from collections import defaultdict
from collections.abc import Container, Iterator
from dataclasses import dataclass, field
from itertools import count

from radishlift.core.ids import ExecutorId, ServiceName
from radishlift.requests.slot_rows import SlotOwner, SlotRow
from radishlift.services.api import Transaction


@dataclass(slots=True)
class SlotView:
    """The slots of this daemon on one executor.

    `own_count` is not above what the row grants in any possible state: while
    the outcome of a write is unknown it is the lower of both outcomes.
    `returning_count` of these slots get no new request and are returned once
    they are idle.
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
        """Returns the number of slots that a new request may use."""
        return self.own_count - self.returning_count - self.busy_count

    def update(self, version: int, row: SlotRow, owner: SlotOwner) -> None:
        """Replaces the known state of the row.

        A write that is conditional on an older version cannot take effect any
        more, so this also resolves a pending write.
        """
        self.version = version
        self.row = row
        self.own_count = row.slots_of(owner)
        self.returning_count = min(self.returning_count, self.own_count)
        self.unresolved_write = None


class SlotViews:
    """The views of all executors."""

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
        """Returns the view of an executor; None if there is none."""
        return self._views.get(executor_id)

    def get_or_add(
        self, executor_id: ExecutorId, service: ServiceName
    ) -> SlotView:
        """Returns the view of an executor; adds it if there is none."""
        view = self._views.get(executor_id)
        if view is None:
            view = SlotView(executor_id, service)
            self._views[executor_id] = view
            self._by_service[service].append(view)
        elif service and not view.service:
            # The row was read before the host list named the service.
            self._by_service[view.service].remove(view)
            self._by_service[service].append(view)
            view.service = service
        return view

    def remove(self, executor_id: ExecutorId) -> None:
        """Removes the view of an executor."""
        view = self._views.pop(executor_id)
        self._by_service[view.service].remove(view)

    def for_service(self, service: ServiceName) -> list[SlotView]:
        """Returns the views of a service."""
        return self._by_service[service]

    def take_slot(
        self,
        service: ServiceName,
        live: Container[ExecutorId],
        excluded: Container[ExecutorId],
    ) -> SlotView | None:
        """Acquires a slot on the live executor with the most idle slots."""
        candidates = [
            view
            for view in self.for_service(service)
            if view.idle_count > 0
            and view.executor_id in live
            and view.executor_id not in excluded
        ]
        if not candidates:
            return None
        # Rotates over executors with equally many idle slots.
        turn = next(self._rotation) % len(candidates)
        rotated = candidates[turn:] + candidates[:turn]
        best = max(rotated, key=_idle_count)
        best.busy_count += 1
        return best


def _idle_count(view: SlotView) -> int:
    return view.idle_count


__all__ = ('SlotView', 'SlotViews')
