"""Serves the jobs of owned partitions to the routers of all daemons."""

from typing import Any

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, PartitionId
from radishlift.partitions.inquiry import explain, status
from radishlift.partitions.intake import (
    accept_hand_off,
    cancel,
    submit,
)
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
    """Registers the handlers of job messages."""

    def __init__(self, network: PeerNetwork, partitions: Partitions) -> None:
        self._partitions = partitions
        network.register(SubmitJob, self._submit)
        network.register(HandOffJob, self._hand_off)
        network.register(CancelJob, self._cancel)
        network.register(GetJobStatus, self._status)
        network.register(ExplainTask, self._explain)

    async def _submit(self, _sender: DaemonId, asked: SubmitJob) -> Any:
        opened = self._opened(asked.partition_id)
        if isinstance(opened, Failure):
            return opened
        return await submit(opened, asked.spec, asked.timeout_ms)

    async def _hand_off(self, _sender: DaemonId, asked: HandOffJob) -> Any:
        opened = self._opened(asked.partition_id)
        if isinstance(opened, Failure):
            return opened
        return await accept_hand_off(opened, asked)

    async def _cancel(self, _sender: DaemonId, asked: CancelJob) -> Any:
        opened = self._opened(asked.partition_id)
        if isinstance(opened, Failure):
            return opened
        return await cancel(opened, asked.job_id, asked.timeout_ms)

    async def _status(self, _sender: DaemonId, asked: GetJobStatus) -> Any:
        opened = self._opened(asked.partition_id)
        if isinstance(opened, Failure):
            return opened
        return status(opened, asked.job_id)

    async def _explain(self, _sender: DaemonId, asked: ExplainTask) -> Any:
        opened = self._opened(asked.partition_id)
        if isinstance(opened, Failure):
            return opened
        return explain(opened, asked.task_id)

    def _opened(self, partition_id: PartitionId) -> OpenPartition | Failure:
        runner = self._partitions.get(partition_id)
        opened = None if runner is None else runner.opened
        if opened is None:
            reason = f'{partition_id} is not owned here'
            return Failure(ErrorKind.not_owner, reason)
        return opened


__all__ = ('JobServer',)
