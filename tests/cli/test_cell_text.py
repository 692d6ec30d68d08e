from radishlift.cli.cell_text import describe_cell
from radishlift.console.status import (
    CellStatus,
    PartitionStatus,
    QuarantineStatus,
    QueueStatus,
    RackStatus,
)
from radishlift.core.codec import dump_plain, parse_plain
from radishlift.core.ids import (
    DaemonId,
    DepartmentName,
    PartitionId,
    RackId,
    WorkerId,
)
from radishlift.membership.api import DaemonFormat
from radishlift.placement.jobs import Priority

CELL = CellStatus(
    (QueueStatus(DepartmentName('rug-depot'), Priority.urgent, 3, 4, 500),),
    (),
    (QuarantineStatus(WorkerId('10.0.0.1:1'), 'fails', 7),),
    (PartitionStatus(PartitionId('p1'), DaemonId('d2'), None, None),),
    (DaemonId('d2'),),
    (RackStatus(RackId('r1'), PartitionId('p1'), 'drain', 9, PartitionId('')),),
    2,
    (DaemonFormat(DaemonId('d1'), 2, (PartitionId('p9'),)),),
)


def test_cell_status_is_encoded_and_described():
    """Guards against a status that hides a daemon without an answer."""
    assert parse_plain(dump_plain(CELL), CellStatus) == CELL
    lines = [line.split() for line in describe_cell(CELL).splitlines()]
    assert lines[0][:4] == ['no', 'answer', 'from', 'd2:']
    assert ['rug-depot', 'urgent', '3', '4', '500'] in lines
    assert ['10.0.0.1:1', '7', 'fails'] in lines
    assert ['p1', 'd2', '-', '-'] in lines
    assert ['r1', 'p1', 'drain', '9', '-'] in lines
    assert ['d1', '2', 'p9'] in lines
