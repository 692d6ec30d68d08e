"""Handles the job messages that routers of all daemons send to owners."""

from typing import Any

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, PartitionId
from radishlift.ownership.owner_rows import read_owner
from radishlift.partitions.job_commands import (
    accept_hand_off,
    cancel,
    submit,
)
from radishlift.partitions.job_queries import explain, status
from radishlift.partitions.messages import (
    CancelJob,
    ExplainTask,
    GetJobStatus,
    HandOffJob,
    SubmitJob,
)
from radishlift.partitions.open_partition import OpenPartition
from radishlift.partitions.partitions import Partitions
from radishlift.services.api import TableStore
from radishlift.wire.network import PeerNetwork


class JobServer:
    """Registers the handlers and passes messages to the owned partition."""

    def __init__(
        self,
        network: PeerNetwork,
        partitions: Partitions,
        store: TableStore,
    ) -> None:
        self._partitions = partitions
        self._store = store
        network.register(SubmitJob, self._submit)
        network.register(HandOffJob, self._hand_off)
        network.register(CancelJob, self._cancel)
        network.register(GetJobStatus, self._status)
        network.register(ExplainTask, self._explain)

    async def _submit(self, _sender: DaemonId, request: SubmitJob) -> Any:
        partition = self._find_partition(request.partition_id)
        if isinstance(partition, Failure):
            return partition
        return await submit(partition, request.spec, request.timeout_ms)

    async def _hand_off(self, sender: DaemonId, request: HandOffJob) -> Any:
        # A former owner that was paused may send a job that a later one has
        # handed off, and that has ended and was forgotten here.
        failure = await self._check_owner(sender, request.from_partition)
        if failure is not None:
            return failure
        partition = self._find_partition(request.partition_id)
        if isinstance(partition, Failure):
            return partition
        return await accept_hand_off(partition, request)

    async def _cancel(self, _sender: DaemonId, request: CancelJob) -> Any:
        partition = self._find_partition(request.partition_id)
        if isinstance(partition, Failure):
            return partition
        return await cancel(partition, request.job_id, request.timeout_ms)

    async def _status(self, _sender: DaemonId, request: GetJobStatus) -> Any:
        partition = self._find_partition(request.partition_id)
        if isinstance(partition, Failure):
            return partition
        return status(partition, request.job_id)

    async def _explain(self, _sender: DaemonId, request: ExplainTask) -> Any:
        partition = self._find_partition(request.partition_id)
        if isinstance(partition, Failure):
            return partition
        return explain(partition, request.task_id)

    async def _check_owner(
        self, daemon_id: DaemonId, partition_id: PartitionId
    ) -> Failure | None:
        """Returns a failure unless a daemon owns a partition now."""
        stored = await read_owner(self._store, partition_id)
        if isinstance(stored, Failure):
            return stored
        if stored.row.daemon_id == daemon_id:
            return None
        reason = f'{daemon_id} does not own {partition_id}'
        return Failure(ErrorKind.not_owner, reason)

    def _find_partition(
        self, partition_id: PartitionId
    ) -> OpenPartition | Failure:
        runner = self._partitions.get(partition_id)
        partition = None if runner is None else runner.partition
        if partition is None:
            reason = f'{partition_id} is not owned here'
            return Failure(ErrorKind.not_owner, reason)
        return partition


__all__ = ('JobServer',)
