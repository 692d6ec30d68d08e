"""Status of the whole cell, collected from all daemons on request."""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import replace
from itertools import chain

from radishlift.config.fleet import Fleet
from radishlift.console.status import (
    CellStatus,
    PartitionStatus,
    QueueStatus,
    WorkersStatus,
)
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId
from radishlift.daemon.context import DaemonContext
from radishlift.daemon.control import ControlPlane
from radishlift.daemon.own_status import DaemonStatus, LocalStatus, StatusFetch
from radishlift.membership.api import MemberDirectory
from radishlift.membership.query_all import query_all
from radishlift.ownership.cell_level import CellLevel
from radishlift.ownership.directory import OwnerDirectory
from radishlift.report.settings import ReportSettings
from radishlift.wire.network import PeerNetwork


class CellStatusCollector:
    """A `StatusProvider` that queries all daemons over the peer streams.

    Sends messages only when an operator requests the status.
    """

    def __init__(
        self,
        local: LocalStatus,
        directory: OwnerDirectory,
        network: PeerNetwork,
        members: MemberDirectory,
        timeout_ms: int,
        cell_level: CellLevel,
    ) -> None:
        self._cell_level = cell_level
        self._local = local
        self._directory = directory
        self._network = network
        self._fleet = Fleet(members, network.daemon_id)
        self._timeout_ms = timeout_ms
        network.register(StatusFetch, self._handle_fetch)

    async def cell_status(self) -> CellStatus | Failure:
        """Merges the replies of all daemons; `missing` lists those without."""
        own, replies = await asyncio.gather(
            self._local.count(),
            query_all(
                self._network,
                self._fleet.peers(),
                StatusFetch(),
                DaemonStatus,
                self._timeout_ms,
            ),
        )
        answers = [own, *replies.by_peer.values()]
        return CellStatus(
            _merge_queues(answers),
            _merge_workers(answers),
            tuple(row for answer in answers for row in answer.quarantines),
            self._partitions(answers),
            replies.missing,
            tuple(row for answer in answers for row in answer.racks),
            self._cell_level.level,
            self._cell_level.formats(),
        )

    def _partitions(
        self,
        answers: Sequence[DaemonStatus],
    ) -> tuple[PartitionStatus, ...]:
        reported = {
            row.partition_id: row
            for answer in answers
            for row in answer.partitions
        }
        return tuple(
            reported.get(partition_id)
            or PartitionStatus(
                partition_id,
                self._directory.owner_of(partition_id),
                None,
                None,
            )
            for partition_id in self._directory.partitions()
        )

    async def _handle_fetch(
        self,
        _sender: DaemonId,
        _fetch: StatusFetch,
    ) -> DaemonStatus:
        return await self._local.count()


def build_cell_status(
    context: DaemonContext, control: ControlPlane
) -> CellStatusCollector:
    """Builds the collector from the components of a daemon."""
    return CellStatusCollector(
        LocalStatus(control.partitions, context.member.daemon_id),
        control.directory,
        context.network,
        context.membership,
        context.settings.get(ReportSettings).peer_timeout_ms,
        control.cell_level,
    )


def _merge_queues(
    answers: Iterable[DaemonStatus],
) -> tuple[QueueStatus, ...]:
    merged: dict[tuple[str, str], QueueStatus] = {}
    for row in chain.from_iterable(answer.queues for answer in answers):
        key = (row.department, row.priority.value)
        known = merged.get(key)
        if known is None:
            merged[key] = row
            continue
        merged[key] = replace(
            known,
            queued_count=known.queued_count + row.queued_count,
            running_count=known.running_count + row.running_count,
            oldest_wait_ms=max(known.oldest_wait_ms, row.oldest_wait_ms),
        )
    return tuple(merged[key] for key in sorted(merged))


def _merge_workers(
    answers: Iterable[DaemonStatus],
) -> tuple[WorkersStatus, ...]:
    merged: dict[str, WorkersStatus] = {}
    for row in chain.from_iterable(answer.workers for answer in answers):
        known = merged.get(row.data_centre)
        if known is None:
            merged[row.data_centre] = row
            continue
        merged[row.data_centre] = WorkersStatus(
            row.data_centre,
            known.live_count + row.live_count,
            known.leaving_count + row.leaving_count,
            known.quarantined_count + row.quarantined_count,
            known.committed_cpu_milli + row.committed_cpu_milli,
            known.total_cpu_milli + row.total_cpu_milli,
            known.unreachable_count + row.unreachable_count,
        )
    return tuple(merged[key] for key in sorted(merged))


__all__ = ('CellStatusCollector', 'build_cell_status')
