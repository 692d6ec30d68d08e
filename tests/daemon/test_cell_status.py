import asyncio
from types import SimpleNamespace

from radishlift.console.status import CellStatus
from radishlift.core.ids import Address, DaemonId, DataCentreId, PartitionId
from radishlift.daemon.cell_status import CellStatusCollector
from radishlift.daemon.own_status import LocalStatus
from radishlift.membership.api import DaemonFormat, Member
from radishlift.placement.jobs import Priority, Resources
from tests.partitions.cell import (
    OTHER_PARTITION,
    PARTITION,
    make_job,
    open_cell,
)
from tests.standins.conditions import until

UNRESPONSIVE = DaemonId('silent')
OWNERS = {
    PARTITION: DaemonId('a'),
    OTHER_PARTITION: DaemonId('b'),
    PartitionId('p3'): UNRESPONSIVE,
}
UNUSED_ADDRESS = Address('127.0.0.1:1')


class Directory:
    """Two partitions with live owners, and one whose owner never replies."""

    def partitions(self):
        return tuple(OWNERS)

    def owner_of(self, partition_id):
        return OWNERS[partition_id]


class Members:
    def members(self):
        return tuple(
            Member(
                DaemonId(name),
                '1',
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                DataCentreId('dc1'),
            )
            for name in ('a', 'b', UNRESPONSIVE)
        )

    def is_dead(self, _daemon_id, _incarnation):
        return False


def make_collector(owner) -> CellStatusCollector:
    own = LocalStatus(owner.partitions, owner.parts.daemon_id)
    formats = (DaemonFormat(owner.parts.daemon_id, 2),)
    return CellStatusCollector(
        own,
        Directory(),
        owner.parts.network,
        Members(),
        500,
        SimpleNamespace(level=1, formats=lambda: formats),
    )


async def fill_queue(partition, job_id: str) -> None:
    """Accepts more tasks than fit, and waits until some are placed."""
    tables = partition.states.placement.tables
    await until(lambda: any(tables.workers.is_present))
    job = make_job(
        job_id,
        task_count=500,
        demand=Resources(1_000, 1_000),
        priority=Priority.high,
        run_time_ms=60_000,
    )
    partition.engine.accept(job, partition.now_ms())
    partition.request_tick()
    await until(
        lambda: tables.queued_count < 500 and not partition._is_tick_requested
    )


async def test_cell_status_merges_replies_and_lists_missing_daemons():
    """Guards against a status page that presents a partial count as complete.

    One of three daemons does not reply.
    """
    async with open_cell() as cell:
        await cell.add_worker(rack='r2')
        owners = [await cell.add_owner(name) for name in ('a', 'b')]
        await owners[0].claim(PARTITION)
        await owners[1].claim(OTHER_PARTITION)
        collectors = [make_collector(owner) for owner in owners]
        await fill_queue(owners[0].partition(PARTITION), 'p1.j')
        await fill_queue(owners[1].partition(OTHER_PARTITION), 'p2.j')
        status = await collectors[0].cell_status()
        assert isinstance(status, CellStatus)
        assert status.missing == (UNRESPONSIVE,)
        assert [row.format_level for row in status.formats] == [2]
        assert len(status.queues) == len(status.workers) == 1
        queue = status.queues[0]
        assert (queue.department, queue.priority) == ('rugs', Priority.high)
        assert queue.queued_count + queue.running_count == 1000
        assert queue.running_count > 0
        data_centre = status.workers[0]
        assert data_centre.live_count == len(cell.workers)
        assert data_centre.committed_cpu_milli == 1000 * queue.running_count
        counted = {row.partition_id: row for row in status.partitions}
        assert counted['p3'].owner == UNRESPONSIVE
        assert counted['p3'].workers_count is None
        queued_count = counted[PARTITION].queued_count
        queued_count += counted[OTHER_PARTITION].queued_count
        assert queued_count == queue.queued_count


async def test_requests_during_a_count_share_it():
    """Guards against one queue scan per open console page."""
    scans = []

    def owned():
        scans.append(1)
        return ()

    own = LocalStatus(SimpleNamespace(owned=owned), DaemonId('a'))
    await asyncio.gather(*(own.count() for _ in range(5)))
    assert len(scans) == 1
