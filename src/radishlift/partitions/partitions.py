"""The partitions that this daemon owns, and the loop that runs them."""

import asyncio
from collections.abc import Callable, Iterable

from radishlift.config.api import ConfigView
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, PartitionId
from radishlift.core.kinds import UnknownFormat
from radishlift.core.logs import log_event
from radishlift.ownership.api import OwnerClaim
from radishlift.partitions.idle_timer import IdleTimer
from radishlift.partitions.messages import (
    DropPartition,
    LookAtRack,
    PartitionDropped,
)
from radishlift.partitions.parts import DaemonParts
from radishlift.partitions.runner import PartitionRunner
from radishlift.partitions.worker_assignment import assign_workers
from radishlift.services.api import Host
from radishlift.workers.dispatcher import Dispatcher


class Partitions:
    """An `OwnershipListener` that starts and stops runners.

    `give_up` is called with a partition whose runner was closed by a failure,
    so that this daemon claims it again or leaves it to others. `decline` is
    called with a partition that a newer version wrote and that this daemon
    can't read.
    """

    def __init__(
        self,
        parts: DaemonParts,
        config: ConfigView,
        give_up: Callable[[PartitionId], None] | None = None,
        dispatcher_type: type[Dispatcher] = Dispatcher,
        decline: Callable[[PartitionId], None] | None = None,
    ) -> None:
        self._parts = parts
        self._config = config
        self._give_up = give_up
        self._decline = decline
        self._dispatcher_type = dispatcher_type
        self._runners: dict[PartitionId, PartitionRunner] = {}
        self._start_tasks: set[asyncio.Task[Failure | None]] = set()
        self._delayed_give_ups: set[asyncio.Task[None]] = set()
        self._hosts: tuple[Host, ...] | None = None
        self.idle_timer = IdleTimer(parts, self._runners)
        parts.network.register(DropPartition, self._drop_partition)
        parts.network.register(LookAtRack, self._check_rack)

    def get(self, partition_id: PartitionId) -> PartitionRunner | None:
        """Returns a partition if it is owned here and recovered."""
        runner = self._runners.get(partition_id)
        return runner if runner is not None and runner.partition else None

    def owned(self) -> tuple[PartitionRunner, ...]:
        """Lists the partitions that are owned here and recovered."""
        return tuple(
            runner for runner in self._runners.values() if runner.partition
        )

    async def on_acquired(self, claim: OwnerClaim) -> None:
        """Starts a runner for a partition that was claimed.

        Does not wait for the recovery, which retries during outages of the
        table service.
        """
        previous = self._runners.get(claim.partition_id)
        if previous is not None:
            await previous.stop()
        runner = PartitionRunner(
            claim,
            self._parts,
            self._on_runner_closed,
            self._dispatcher_type,
        )
        self._runners[claim.partition_id] = runner
        self._assign_workers()
        task = asyncio.create_task(runner.start())
        self._start_tasks.add(task)
        task.add_done_callback(self._start_tasks.discard)

    async def on_lost(self, partition_id: PartitionId) -> None:
        """Stops a partition that another daemon has claimed."""
        runner = self._runners.pop(partition_id, None)
        if runner is not None:
            await runner.stop()

    async def on_releasing(self, partition_id: PartitionId) -> None:
        """Drains a partition before its owner row is released."""
        runner = self._runners.get(partition_id)
        if runner is not None:
            await runner.drain()
            self._runners.pop(partition_id, None)

    async def on_replaced(self) -> None:
        """Stops all partitions: a newer incarnation of this daemon runs."""
        for partition_id in tuple(self._runners):
            await self.on_lost(partition_id)

    def use_config(self) -> None:
        """Applies the configuration in force."""
        self._assign_workers()

    def update_hosts(self, hosts: Iterable[Host]) -> None:
        """Stores the host list and assigns its workers."""
        self._hosts = tuple(hosts)
        self._assign_workers()

    async def run_forever(self) -> None:
        """Ticks and flushes the partitions until cancelled."""
        settings = self._parts.settings.partitions
        activity = self._parts.activity
        while True:
            activity.clear()
            self.run_due_work()
            if not activity.is_set():
                await self.idle_timer.wait_for_next_tick()
            # The pause lets several changes share one tick. Without activity
            # there is nothing to collect.
            if activity.is_set():
                await asyncio.sleep(settings.tick_interval_ms / 1000)

    def run_due_work(self) -> None:
        """Runs the ticks that are due and starts the flushes that are due."""
        for runner in tuple(self._runners.values()):
            runner.tick_if_due()
        due_id = self._parts.scheduler.next_due()
        while due_id is not None:
            due = self._runners.get(due_id)
            if due is not None:
                due.start_flush()
            due_id = self._parts.scheduler.next_due()
        if any(_needs_flush(runner) for runner in self._runners.values()):
            self._parts.activity.set()

    def _assign_workers(self) -> None:
        document = self._config.current()
        if document is None or self._hosts is None:
            return
        assignments = assign_workers(
            self._hosts,
            document,
            self._runners,
        )
        for partition_id, runner in self._runners.items():
            runner.set_assignment(assignments[partition_id])

    def _on_runner_closed(
        self, runner: PartitionRunner, failure: Failure
    ) -> None:
        partition_id = runner.partition_id
        if self._runners.get(partition_id) is not runner:
            return
        self._runners.pop(partition_id)
        log_event(
            'partition_dropped',
            partition=partition_id,
            reason=failure.reason,
        )
        if isinstance(failure, UnknownFormat) and self._decline is not None:
            log_event(
                'partition_declined',
                partition=partition_id,
                reason=failure.reason,
            )
            self._decline(partition_id)
            return
        if self._give_up is None:
            return
        if failure.kind is not ErrorKind.internal:
            self._give_up(partition_id)
            return
        # Claiming a partition again at once does not repair a journal that
        # can't be read, and each claim costs an epoch and a recovery.
        pause_ms = self._parts.settings.partitions.failed_pause_ms
        task = asyncio.create_task(self._give_up_after(partition_id, pause_ms))
        self._delayed_give_ups.add(task)
        task.add_done_callback(self._delayed_give_ups.discard)

    async def _give_up_after(
        self,
        partition_id: PartitionId,
        pause_ms: int,
    ) -> None:
        await asyncio.sleep(pause_ms / 1000)
        if self._give_up is not None:
            self._give_up(partition_id)

    async def _check_rack(
        self,
        _sender: DaemonId,
        message: LookAtRack,
    ) -> None:
        runner = self._runners.get(message.partition_id)
        if runner is not None and runner.partition is not None:
            runner.partition.racks.manager.request_check(message.rack)

    async def _drop_partition(
        self,
        sender: DaemonId,
        message: DropPartition,
    ) -> PartitionDropped:
        runner = self._runners.get(message.partition_id)
        if runner is not None and runner.epoch < message.epoch:
            reason = f'{sender} owns epoch {message.epoch}'
            await runner.close(Failure(ErrorKind.not_owner, reason))
        return PartitionDropped(message.partition_id, self._parts.incarnation)


def _needs_flush(runner: PartitionRunner) -> bool:
    partition = runner.partition
    if partition is None or runner.is_flushing:
        return False
    return partition.log.has_pending


__all__ = ('Partitions',)
