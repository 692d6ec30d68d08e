"""Lifecycle of one owned partition: recovery, running, drain and loss.

Once deposed the runner stops the dispatcher and loses everything.
"""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum, unique
from typing import Any, Final, TypeVar

from transitions import Machine

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.open_partition import OpenPartition, is_final
from radishlift.partitions.opening import open_partition
from radishlift.partitions.owners import OwnerStopped
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.spread import WorkerAssignment
from radishlift.workers.dispatcher import Dispatcher
from radishlift.workers.senders import TaskGroup

State = TypeVar('State')

_CLOSING: Final[set[asyncio.Task[None]]] = set()


@unique
class RunnerStage(Enum):
    """Life of an owned partition."""

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
    'recovered',
    RunnerStage.recovering,
    RunnerStage.running,
)
_RUNNER_MACHINE.add_transition(
    'drained',
    RunnerStage.running,
    RunnerStage.draining,
)
_RUNNER_MACHINE.add_transition('ended', '*', RunnerStage.closed)


class PartitionRunner:
    """An `OwnedPartition` from its claim until it is lost or released.

    `on_closed` is called once, with the reason, when the partition was lost.
    """

    stage: RunnerStage
    recovered: Any
    drained: Any
    ended: Any

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
        self._opened: OpenPartition | None = None
        self._workers: WorkerAssignment | None = None
        self._tasks = TaskGroup()
        self.is_flushing = False
        self._ending: asyncio.Task[None] | None = None
        _RUNNER_MACHINE.add_model(self)

    @property
    def opened(self) -> OpenPartition | None:
        """Returns the recovered partition while it takes requests."""
        return self._opened if self.stage is RunnerStage.running else None

    def state(self, state_type: type[State]) -> State:
        """Returns the journaled state of a type."""
        if self._opened is None:
            raise KeyError(f'{self.partition_id} is not recovered')
        return self._opened.states.get(state_type)

    async def commit(
        self,
        records: Sequence[Any],
        timeout_ms: int,
    ) -> Failure | None:
        """Applies records and waits until they are journaled."""
        opened = self.opened
        if opened is None:
            return self.refusal()
        self._parts.scheduler.request(self.partition_id, is_urgent=True)
        self._parts.activity.set()
        return await opened.log.commit(records, timeout_ms)

    def refusal(self) -> Failure:
        """Returns why the partition takes no requests."""
        if self.stage is RunnerStage.draining:
            return Failure(
                ErrorKind.draining, f'{self.partition_id} is leaving'
            )
        reason = f'{self.partition_id} is {self.stage.value}'
        return Failure(ErrorKind.not_owner, reason)

    async def start(self) -> Failure | None:
        """Recovers the partition and takes over its attempts.

        Repeats while the table service is down. On a final failure the
        runner is closed.
        """
        opened = await open_partition(
            self._claim,
            self._parts,
            self._dispatcher_type,
            lambda: self.stage is RunnerStage.recovering,
        )
        if isinstance(opened, Failure):
            await self.close(opened)
            return opened
        if self._workers is not None:
            opened.set_workers(self._workers)
            await opened.racks.keeper.make_first_steps()
        if self.stage is not RunnerStage.recovering:
            await opened.dispatcher.stop()
            return self.refusal()
        self._run(opened)
        return None

    def set_workers(self, workers: WorkerAssignment) -> None:
        """Takes over the workers of this partition and the host list."""
        self._workers = workers
        if self._opened is not None and self.stage is not RunnerStage.closed:
            self._opened.set_workers(workers)

    def tick_if_due(self) -> None:
        """Ticks the engine when that is due."""
        opened = self.opened
        if opened is None:
            return
        if opened.is_tick_due(self._parts.clock.monotonic_ms()):
            failure = opened.tick()
            if failure is not None:
                self._lose(failure)

    def flush_soon(self) -> None:
        """Begins a flush unless one is running."""
        if self._opened is not None and not self.is_flushing:
            self.is_flushing = True
            self._tasks.spawn(self._flush(self._opened))

    async def drain(self) -> None:
        """Stops sending, journals that, and closes without a loss.

        Running tasks keep their leases until the next owner renews them.
        """
        opened = self.opened
        if opened is None:
            await self.stop()
            return
        self.drained()
        await opened.dispatcher.stop()
        failure = opened.log.apply([OwnerStopped(self.epoch)])
        timeout_ms = self._parts.settings.partitions.call_timeout_ms
        if failure is None:
            self._parts.scheduler.request(self.partition_id, is_urgent=True)
            self._parts.activity.set()
            failure = await opened.log.journal.wait_durable(
                opened.log.last_position,
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
        """Drops everything after the partition was lost."""
        if self._ending is not None:
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
        """Stops all work; returns after the last message was sent."""
        if self._ending is None:
            self._ending = asyncio.create_task(self._end())
        await asyncio.shield(self._ending)

    def _run(self, opened: OpenPartition) -> None:
        self._opened = opened
        if self._workers is not None:
            opened.set_workers(self._workers)
        self._tasks.spawn(opened.dispatcher.run_forever())
        self._tasks.spawn(opened.watch_predecessors())
        self._tasks.spawn(opened.racks.keeper.run_forever())
        self._parts.scheduler.add(self.partition_id)
        self._parts.activity.set()
        self.recovered()

    async def _end(self) -> None:
        self.ended()
        self._parts.scheduler.remove(self.partition_id)
        if self._opened is not None:
            await self._opened.dispatcher.stop()
        self._opened = None
        await self._tasks.close()
        _RUNNER_MACHINE.remove_model(self)

    async def _flush(self, opened: OpenPartition) -> None:
        try:
            failure = await opened.flush_journal()
        finally:
            self.is_flushing = False
        if failure is not None and is_final(failure):
            self._lose(failure)
            return
        opened.request_flush(())
        self._parts.activity.set()

    def _lose(self, failure: Failure) -> None:
        # Closing cancels the tasks of this runner, one of which may be the
        # caller, so it runs on its own.
        closing = asyncio.create_task(self.close(failure))
        _CLOSING.add(closing)
        closing.add_done_callback(_CLOSING.discard)


__all__ = ('PartitionRunner', 'RunnerStage')
