"""The placement engine of one partition."""

from collections.abc import Callable, Iterable, Sequence
from time import perf_counter
from typing import Any

from radishlift.config.document import ConfigDocument
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import (
    Attempt,
    Incarnation,
    JobId,
    TaskId,
    WorkerId,
)
from radishlift.placement import phase_order  # noqa: F401
from radishlift.placement.admission import admission_failure
from radishlift.placement.cancellations import order_stop
from radishlift.placement.drains import EngineDrains
from radishlift.placement.engine_context import EndedAttempt, EngineContext
from radishlift.placement.explanations import (
    EngineView,
    Explanation,
    explain_task,
)
from radishlift.placement.gang_parts import GangParts
from radishlift.placement.hand_offs import (
    HandOff,
    LoadSummary,
    list_hand_offs,
    summarise_load,
)
from radishlift.placement.job_queue import JobQueue
from radishlift.placement.job_table import last_partition
from radishlift.placement.jobs import (
    JobSpec,
    Resources,
    TaskState,
    UsageReport,
    WorkerInfo,
)
from radishlift.placement.orders import Order
from radishlift.placement.phases import PHASES, Phase
from radishlift.placement.quota_demands import EngineQuotas
from radishlift.placement.records import JobAccepted
from radishlift.placement.settings import PlacementSettings
from radishlift.placement.state import PartitionState

MS_PER_S = 1000


class TickBudget:
    """Limits the computing time of a tick and of its running phase."""

    __slots__ = ('_phase_end_s', '_tick_end_s', '_timer', 'now_ms')

    def __init__(
        self,
        now_ms: int,
        budget_ms: float,
        timer: Callable[[], float],
    ) -> None:
        self.now_ms = now_ms
        self._timer = timer
        self._tick_end_s = timer() + budget_ms / MS_PER_S
        self._phase_end_s = self._tick_end_s

    def is_exhausted(self) -> bool:
        """Returns whether the running phase has used its time."""
        return self._timer() >= self._phase_end_s

    def run(
        self,
        phases: Iterable[Phase],
        context: EngineContext,
        share: float,
    ) -> list[Phase]:
        """Runs phases until the budget of the tick is used.

        Each phase may use `share` of the remaining time. Returns the phases
        that ran but still have work; those that were not reached are left
        out.
        """
        unfinished: list[Phase] = []
        for phase in phases:
            now_s = self._timer()
            left_s = self._tick_end_s - now_s
            if left_s <= 0:
                break
            self._phase_end_s = now_s + left_s * share
            if not phase(context, self):
                unfinished.append(phase)
        return unfinished


class PlacementEngine:
    """Decides where and when the tasks of one partition run.

    The engine does no I/O. It reads no clock except `timer`, which limits the
    computing time of a tick. The records that `accept` and `tick` return are
    already applied to `state`; the caller journals them before they take
    effect outside. `state` has to be recovered before the engine is made.

    `gang_parts` handles gangs that span partitions, `quotas` the shares that
    limit teams, and `drains` the racks that move to another partition.
    """

    def __init__(
        self,
        state: PartitionState,
        settings: PlacementSettings | None = None,
        timer: Callable[[], float] = perf_counter,
    ) -> None:
        self._timer = timer
        self._phases = tuple(phase for _, phase in PHASES)
        self._context = EngineContext(state, settings or PlacementSettings())
        self._context.sync_workers()
        self.gang_parts = GangParts(self._context)
        self.quotas = EngineQuotas(self._context)
        self.drains = EngineDrains(self._context)
        self._repeat_stop_orders()

    def accept(self, spec: JobSpec, now_ms: int) -> JobAccepted | Failure:
        """Adds a job to the queue.

        Submitting an accepted job again returns its first record. Fails with
        `invalid_input`, `conflict` or `never_fits`.
        """
        jobs = self._context.tables.jobs
        row = jobs.row_of.get(spec.job_id)
        if row is not None:
            return self._repeat_acceptance(row, spec)
        refusal = admission_failure(self._context, spec)
        if refusal is not None:
            return refusal
        accepted = JobAccepted(spec, now_ms)
        self._context.state.apply(accepted)
        return accepted

    def cancel(self, job_id: JobId) -> Failure | None:
        """Schedules the cancellation of a job; fails with `not_found`."""
        if job_id not in self._context.tables.jobs.row_of:
            return Failure(ErrorKind.not_found, f'no job {job_id} here')
        self._context.inputs.cancellations.append(job_id)
        return None

    def observe_worker(self, worker_info: WorkerInfo) -> None:
        """Stores a worker's description of itself for the next tick."""
        self._context.inputs.unreachable_workers.pop(
            worker_info.worker_id, None
        )
        self._context.inputs.observed_workers[worker_info.worker_id] = (
            worker_info
        )

    def observe_worker_loss(
        self,
        worker_id: WorkerId,
        incarnation: Incarnation,
        *,
        may_run: bool = False,
    ) -> None:
        """Reports that an incarnation of a worker is confirmed ended.

        With `may_run` the worker is only unresponsive: nothing is placed on
        it until it is observed again, and its attempts stay committed.
        """
        if may_run:
            self._context.inputs.unreachable_workers[worker_id] = incarnation
        else:
            self._context.inputs.lost_workers.append((worker_id, incarnation))

    def observe_usage(
        self,
        worker_id: WorkerId,
        reports: Sequence[UsageReport],
        now_ms: int,
    ) -> None:
        """Stores usage reports for the next tick.

        They replace earlier reports of the worker that are not processed yet.
        """
        self._context.inputs.usage_reports[worker_id] = tuple(reports)

    def observe_task_end(
        self,
        task_id: TaskId,
        attempt: Attempt,
        state: TaskState,
    ) -> None:
        """Reports that an attempt is confirmed ended.

        `finished` and `failed` mean that the attempt ended by itself,
        `cancelled` that the worker stopped it, and `queued` that it never ran
        or that its lease expired.
        """
        ended = EndedAttempt(task_id, attempt, state)
        self._context.inputs.ended_attempts.append(ended)

    def tick(self, now_ms: int) -> list[Any]:
        """Runs the phases once within the budget.

        Returns the records to journal, in the order they were applied.
        """
        context = self._context
        # Other code may have applied records to the state since the last tick.
        context.sync_workers()
        budget_ms = context.settings.budget_ms
        budget = TickBudget(now_ms, budget_ms, self._timer)
        # A phase may use half of the remaining time, so that a burst of work
        # in one phase can't starve the later ones. Unfinished phases then get
        # what is left of the budget.
        unfinished = budget.run(self._phases, context, 0.5)
        budget.run(unfinished, context, 1)
        records = context.records
        context.records = []
        return records

    def apply_config(self, document: ConfigDocument) -> None:
        """Applies a configuration document."""
        context = self._context
        before = context.rules.document
        context.rules.document = document
        if before.departments == document.departments:
            # Most of the 75,000 changes a day leave the order of the queue.
            context.queue.unblock_all()
            return
        context.reservations.closed_departments.clear()
        context.queue = JobQueue(context.tables.jobs)
        context.tables.queued_jobs = dict.fromkeys(
            context.tables.jobs.row_of.values(),
        )

    def observe_worker_sizes(self, shapes: Iterable[Resources]) -> None:
        """Stores the worker sizes of other partitions.

        A job that fits none of them, nor a worker here, is refused.
        """
        self._context.fleet.other_shapes = frozenset(shapes)

    def explain(self, task_id: TaskId, now_ms: int) -> Explanation | Failure:
        """Explains why a task runs where it does or why it waits."""
        return explain_task(
            self._context.state,
            task_id,
            EngineView(self._context, now_ms),
        )

    def summarise_load(self) -> LoadSummary:
        """Returns the load of this partition as a summary of fixed size."""
        return summarise_load(self._context)

    def list_hand_offs(self, now_ms: int) -> list[HandOff]:
        """Lists queued jobs that this partition can't start soon."""
        return list_hand_offs(self._context, now_ms)

    def pop_orders(self) -> list[Order]:
        """Returns and removes the orders that the dispatcher has to send."""
        orders = self._context.orders
        self._context.orders = []
        return orders

    def _repeat_acceptance(
        self, row: int, spec: JobSpec
    ) -> JobAccepted | Failure:
        jobs = self._context.tables.jobs
        if jobs.spec[row] != spec:
            reason = f'job {spec.job_id} was accepted with a different spec'
            return Failure(ErrorKind.conflict, reason)
        return JobAccepted(
            spec,
            jobs.accepted_at_ms[row],
            last_partition(jobs.passed_partitions[row]),
        )

    def _repeat_stop_orders(self) -> None:
        tables = self._context.tables
        for row, state in enumerate(tables.tasks.state):
            is_known = tables.tasks.job_row[row] >= 0
            if is_known and state is TaskState.stopping:
                order_stop(self._context, row, 'repeated after recovery')


__all__ = ('PlacementEngine', 'TickBudget')
