"""Identifiers, each of its own type so that mypy finds mix-ups."""

from typing import NewType

DaemonId = NewType('DaemonId', str)
PartitionId = NewType('PartitionId', str)
WorkerId = NewType('WorkerId', str)
RackId = NewType('RackId', str)
DataCentreId = NewType('DataCentreId', str)
RegionId = NewType('RegionId', str)
ExecutorId = NewType('ExecutorId', str)
ServiceName = NewType('ServiceName', str)
DepartmentName = NewType('DepartmentName', str)
TeamName = NewType('TeamName', str)
WorkspaceName = NewType('WorkspaceName', str)
JobId = NewType('JobId', str)
TaskId = NewType('TaskId', str)
RequestId = NewType('RequestId', str)
IdempotencyKey = NewType('IdempotencyKey', str)

Address = NewType('Address', str)
"""An IP address and a port, such as `127.0.0.1:7001`."""

Incarnation = NewType('Incarnation', str)
"""Identifies one run of a process; a restarted process has a new one."""

Epoch = NewType('Epoch', int)
"""Number of an ownership of a partition; a later owner has a higher epoch."""

Sequence = NewType('Sequence', int)
"""Position of a row in the journal of a partition, from 1."""

Attempt = NewType('Attempt', int)
"""Number of a start of a task, from 1."""

GangRoundId = NewType('GangRoundId', str)
"""An attempt to start a multi-partition gang: `<home>.<epoch>.<number>`."""

ConfigVersion = NewType('ConfigVersion', int)
"""Version of the configuration document, from 1."""

__all__ = (
    'Address',
    'Attempt',
    'ConfigVersion',
    'DaemonId',
    'DataCentreId',
    'DepartmentName',
    'Epoch',
    'ExecutorId',
    'GangRoundId',
    'IdempotencyKey',
    'Incarnation',
    'JobId',
    'PartitionId',
    'RackId',
    'RegionId',
    'RequestId',
    'Sequence',
    'ServiceName',
    'TaskId',
    'TeamName',
    'WorkerId',
    'WorkspaceName',
)
