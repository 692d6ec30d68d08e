"""Lifecycle of one owned partition: recovery, running, drain and loss.

A deposed runner stops its dispatcher and drops all state of the partition.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from enum import Enum, unique
from typing import Any, Final, TypeVar

from transitions import Machine

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.open_partition import OpenPartition, ends_ownership
from radishlift.partitions.owner_history import OwnerStopped
from radishlift.partitions.partition_recovery import recover_partition
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.worker_assignment import WorkerAssignment
from radishlift.workers.dispatcher import Dispatcher
from radishlift.workers.senders import TaskGroup

State = TypeVar('State')

_CLOSING_TASKS: Final[set[asyncio.Task[None]]] = set()


@unique
class RunnerStage(Enum):
    """Stages in the lifecycle of an owned partition."""

    recovering = 'recovering'
    running = 'running'
    draining = 'draining'
    closed = 'closed'


_RUNNER_MACHINE: Final = Machine(
    model=None,
    states=RunnerStage,
    initial=RunnerStage.recovering,
    auto_transitions=False,
    model_attribute='stage',
)
_RUNNER_MACHINE.add_transition(
    'finish_recovery',
    RunnerStage.recovering,
    RunnerStage.running,
)
_RUNNER_MACHINE.add_transition(
    'start_draining',
    RunnerStage.running,
    RunnerStage.draining,
)
_RUNNER_MACHINE.add_transition('mark_closed', '*', RunnerStage.closed)


class PartitionRunner:
    """An `OwnedPartition` from its claim until it is lost or released.

    `on_closed` is called once, with the reason, if the partition is lost.
    """

    stage: RunnerStage
    finish_recovery: Any
    start_draining: Any
    mark_closed: Any

    def __init__(
        self,
        claim: OwnerClaim,
        parts: DaemonParts,
        on_closed: 'Callable[[PartitionRunner, Failure], None]',
        dispatcher_type: type[Dispatcher] = Dispatcher,
    ) -> None:
        self.partition_id = claim.partition_id
        self.epoch = claim.epoch
        self._claim = claim
        self._parts = parts
        self._on_closed = on_closed
        self._dispatcher_type = dispatcher_type
        self._partition: OpenPartition | None = None
        self._assignment: WorkerAssignment | None = None
        self._tasks = TaskGroup()
        self.is_flushing = False
        self._stop_task: asyncio.Task[None] | None = None
        _RUNNER_MACHINE.add_model(self)

    @property
    def partition(self) -> OpenPartition | None:
        """Returns the recovered partition while it accepts requests."""
        return self._partition if self.stage is RunnerStage.running else None

    def state(self, state_type: type[State]) -> State:
        """Returns the journaled state of a type.

        Raises `KeyError` if the partition is not recovered.
        """
        if self._partition is None:
            raise KeyError(f'{self.partition_id} is not recovered')
        return self._partition.states.get(state_type)

    async def commit(
        self,
        records: Sequence[Any],
        timeout_ms: int,
    ) -> Failure | None:
        """Applies records and waits until they are journaled."""
        partition = self.partition
        if partition is None:
            return self.refusal()
        self._parts.scheduler.request(self.partition_id, is_urgent=True)
        self._parts.activity.set()
        return await partition.log.commit(records, timeout_ms)

    def refusal(self) -> Failure:
        """Returns the failure for requests that arrive while not running."""
        if self.stage is RunnerStage.draining:
            return Failure(
                ErrorKind.draining, f'{self.partition_id} is draining'
            )
        reason = f'{self.partition_id} is {self.stage.value}'
        return Failure(ErrorKind.not_owner, reason)

    async def start(self) -> Failure | None:
        """Recovers the partition and resumes its attempts.

        Retries while the table service is unavailable. Closes the runner if
        the failure ends the ownership, or after an error.
        """
        try:
            partition = await recover_partition(
                self._claim,
                self._parts,
                self._dispatcher_type,
                lambda: self.stage is RunnerStage.recovering,
            )
            if not isinstance(partition, Failure):
                await _prepare(partition, self._assignment)
                if self.stage is RunnerStage.recovering:
                    self._start_running(partition)
                    return None
                await partition.dispatcher.stop()
                return self.refusal()
        except Exception as error:
            # An owner that keeps a partition it can't run blocks its jobs.
            partition = Failure(ErrorKind.internal, repr(error))
        await self.close(partition)
        return partition

    def set_assignment(self, assignment: WorkerAssignment) -> None:
        """Stores the workers of this partition and passes them on."""
        self._assignment = assignment
        if self._partition is not None and self.stage is not RunnerStage.closed:
            self._partition.set_assignment(assignment)

    def tick_if_due(self) -> None:
        """Runs the tick of the engine if it is due."""
        partition = self.partition
        if partition is None:
            return
        if partition.is_tick_due(self._parts.clock.monotonic_ms()):
            failure = partition.tick()
            if failure is not None:
                self._close_in_background(failure)

    def start_flush(self) -> None:
        """Starts a journal flush unless one is running."""
        if self._partition is not None and not self.is_flushing:
            self.is_flushing = True
            self._tasks.spawn(
                _run_guarded(
                    self._flush(self._partition), self._close_in_background
                )
            )

    async def drain(self) -> None:
        """Stops sending to workers, journals that, and stops the runner.

        Running tasks keep their leases until the new owner renews them.
        """
        partition = self.partition
        if partition is None:
            await self.stop()
            return
        self.start_draining()
        await partition.dispatcher.stop()
        failure = partition.log.apply([OwnerStopped(self.epoch)])
        timeout_ms = self._parts.settings.partitions.call_timeout_ms
        if failure is None:
            self._parts.scheduler.request(self.partition_id, is_urgent=True)
            self._parts.activity.set()
            failure = await partition.log.journal.wait_durable(
                partition.log.last_position,
                timeout_ms,
            )
        if failure is not None:
            log_event(
                'drain_not_journaled',
                partition=self.partition_id,
                reason=failure.reason,
            )
        await self.stop()

    async def close(self, failure: Failure) -> None:
        """Stops the runner after a loss and reports the reason."""
        if self._stop_task is not None:
            return
        log_event(
            'partition_lost',
            partition=self.partition_id,
            epoch=self.epoch,
            reason=failure.reason,
        )
        await self.stop()
        self._on_closed(self, failure)

    async def stop(self) -> None:
        """Stops all work; returns once no more messages are sent."""
        if self._stop_task is None:
            self._stop_task = asyncio.create_task(self._shut_down())
        await asyncio.shield(self._stop_task)

    def _start_running(self, partition: OpenPartition) -> None:
        self._partition = partition
        if self._assignment is not None:
            partition.set_assignment(self._assignment)
        for loop in (
            partition.dispatcher.run_forever(),
            partition.monitor_previous_owners(),
            partition.racks.manager.run_forever(),
        ):
            self._tasks.spawn(_run_guarded(loop, self._close_in_background))
        self._parts.scheduler.add(self.partition_id)
        self._parts.activity.set()
        self.finish_recovery()

    async def _shut_down(self) -> None:
        self.mark_closed()
        self._parts.scheduler.remove(self.partition_id)
        if self._partition is not None:
            await self._partition.dispatcher.stop()
        self._partition = None
        await self._tasks.close()
        _RUNNER_MACHINE.remove_model(self)

    async def _flush(self, partition: OpenPartition) -> None:
        try:
            failure = await partition.flush_journal()
        finally:
            self.is_flushing = False
        if failure is not None and ends_ownership(failure):
            self._close_in_background(failure)
            return
        partition.request_flush(())
        self._parts.activity.set()

    def _close_in_background(self, failure: Failure) -> None:
        # Closing cancels the tasks of this runner. The caller may be one of
        # them, so closing runs in a task of its own.
        task = asyncio.create_task(self.close(failure))
        _CLOSING_TASKS.add(task)
        task.add_done_callback(_CLOSING_TASKS.discard)


async def _prepare(
    partition: OpenPartition, assignment: WorkerAssignment | None
) -> None:
    """Passes the workers to a recovered partition."""
    if assignment is None:
        return
    try:
        partition.set_assignment(assignment)
        await partition.racks.manager.take_free_racks()
    except Exception:
        await partition.dispatcher.stop()
        raise


async def _run_guarded(
    work: Coroutine[Any, Any, None], on_error: Callable[[Failure], None]
) -> None:
    """Runs work without which a partition can't be owned."""
    try:
        await work
    except Exception as error:
        on_error(Failure(ErrorKind.internal, repr(error)))


__all__ = ('PartitionRunner', 'RunnerStage')
