"""Handles the job messages that routers of all daemons send to owners."""

from typing import Any

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, PartitionId
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
from radishlift.wire.network import PeerNetwork


class JobServer:
    """Registers the handlers and passes messages to the owned partition."""

    def __init__(self, network: PeerNetwork, partitions: Partitions) -> None:
        self._partitions = partitions
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

    async def _hand_off(self, _sender: DaemonId, request: HandOffJob) -> Any:
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
