"""Computes the earliest start of a waiting job from expected ends."""

from typing import Final

from radishlift.placement.amounts import count_fitting, minus, plus, times
from radishlift.placement.engine_context import EngineContext
from radishlift.placement.jobs import Resources, TaskState
from radishlift.placement.phases import PhaseBudget
from radishlift.placement.queue_groups import GroupKey
from radishlift.placement.reservation_state import Reservation
from radishlift.placement.starts import NEVER_MS, estimated_end_ms

STOP_TIME_MS: Final = 1_000
"""Time after which a stopping attempt is expected to have ended."""

MIN_OVERRUN_MS: Final = 1_000
"""Minimum remaining run time assumed for a task past its expected end."""


class ReservationPlan:
    """A plan that is computed worker by worker, if needed in several ticks."""

    def __init__(
        self,
        context: EngineContext,
        job_row: int,
        key: GroupKey,
        now_ms: int,
    ) -> None:
        jobs = context.tables.jobs
        self._context = context
        self._job_id = jobs.spec[job_row].job_id
        self._key = key
        self._tasks_count = 1
        if key.is_gang:
            self._tasks_count = jobs.ready_count(job_row)
        self._now_ms = now_ms
        self._pending = list(context.tables.workers.row_of.values())
        self._capacity_events: list[tuple[int, int, int]] = []

    def advance(self, budget: PhaseBudget) -> bool:
        """Examines further workers; returns whether all are examined."""
        while self._pending:
            if budget.is_exhausted():
                return False
            row = self._pending.pop()
            if self._context.tables.workers.is_schedulable(row):
                self._add_worker(row)
        return True

    def finish(self) -> Reservation | None:
        """Returns the reservation.

        Returns None if the work with an expected end does not free enough
        capacity.
        """
        tasks_by_row: dict[int, int] = {}
        found_count = 0
        for at_ms, row, count in sorted(self._capacity_events):
            tasks_by_row[row] = tasks_by_row.get(row, 0) + count
            found_count += count
            if found_count >= self._tasks_count:
                return self._reserve(at_ms, tasks_by_row)
        return None

    def _add_worker(self, row: int) -> None:
        demand = self._key.demand
        free = self._free_now(row)
        found_count = count_fitting(demand, free, self._tasks_count)
        if found_count:
            self._capacity_events.append((self._now_ms, row, found_count))
        for end_ms, reserved in sorted(
            self._expected_ends(row),
            key=lambda pair: pair[0],
        ):
            free = plus(free, reserved)
            count = count_fitting(demand, free, self._tasks_count)
            if count > found_count:
                self._capacity_events.append((end_ms, row, count - found_count))
                found_count = count

    def _expected_ends(self, worker_row: int) -> list[tuple[int, Resources]]:
        """Lists the expected ends on a worker and the amounts they free."""
        tasks = self._context.tables.tasks
        ends = (
            (self._expected_end_ms(row), tasks.reserved[row])
            for row in self._context.tables.workers.task_rows[worker_row]
        )
        return [end for end in ends if end[0] < NEVER_MS]

    def _expected_end_ms(self, row: int) -> int:
        tables = self._context.tables
        if tables.tasks.state[row] is TaskState.stopping:
            return self._now_ms + STOP_TIME_MS
        spec = tables.jobs.spec[tables.tasks.job_row[row]]
        placed_at_ms = tables.tasks.placed_at_ms[row]
        end_ms = estimated_end_ms(spec, placed_at_ms)
        if end_ms > self._now_ms:
            return end_ms
        # Declared run times are up to 5 times too low, so a task past its
        # expected end is assumed to run for half as long as it already has.
        overrun_ms = (self._now_ms - placed_at_ms) // 2
        return self._now_ms + max(MIN_OVERRUN_MS, overrun_ms)

    def _reserve(
        self, start_ms: int, tasks_by_row: dict[int, int]
    ) -> Reservation:
        left_count = self._tasks_count
        spare: dict[int, Resources] = {}
        for row in sorted(
            tasks_by_row, key=tasks_by_row.__getitem__, reverse=True
        ):
            if not left_count:
                break
            count = min(left_count, tasks_by_row[row])
            left_count -= count
            amount = times(self._key.demand, count)
            spare[row] = minus(self._free_at(row, start_ms), amount)
        return Reservation(self._job_id, self._key.rank, start_ms, spare)

    def _free_at(self, row: int, at_ms: int) -> Resources:
        free = self._free_now(row)
        for end_ms, reserved in self._expected_ends(row):
            if end_ms <= at_ms:
                free = plus(free, reserved)
        return free

    def _free_now(self, row: int) -> Resources:
        workers = self._context.tables.workers
        return Resources(
            workers.free_cpu[row],
            workers.free_memory[row],
            workers.free_accelerators[row],
        )


__all__ = ('ReservationPlan',)
