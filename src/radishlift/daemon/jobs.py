"""The components of a daemon that route jobs to their home partitions."""

import asyncio
from random import Random
from typing import Final

from radishlift.daemon.context import DaemonContext
from radishlift.daemon.control import ControlPlane
from radishlift.membership.membership import Membership
from radishlift.membership.summaries import Summary
from radishlift.partitions.gang_coordinator import GangCoordinator
from radishlift.partitions.gang_rounds import GangRounds
from radishlift.partitions.gang_server import GangServer
from radishlift.partitions.hand_offs import HandOffSender
from radishlift.partitions.homes import HomeCaller, OwnerLookup
from radishlift.partitions.job_router import JobRouter
from radishlift.partitions.job_server import JobServer
from radishlift.partitions.loads import SUMMARY_NAME, LoadTable
from radishlift.partitions.settings import PartitionSettings
from radishlift.partitions.sizes import SIZES_NAME, WorkerSizeTable
from radishlift.quotas.sync import ShareSync

_UPDATE_INTERVAL_S: Final = 1.0


class JobComponents:
    """Builds the job router and server, hand-offs, quota sync and gangs."""

    def __init__(self, context: DaemonContext, control: ControlPlane) -> None:
        self._membership: Membership = context.membership
        self._loads = LoadTable(Random(context.member.daemon_id))
        context.membership.providers.register(SUMMARY_NAME)(self._loads.summary)
        self._sizes = WorkerSizeTable()
        context.membership.providers.register(SIZES_NAME)(self._sizes.summary)
        self._partitions = control.partitions
        self._directory = control.directory
        lookup = OwnerLookup(control.directory, context.store, context.clock)
        caller = HomeCaller(control.parts, lookup)
        self.router = JobRouter(caller, lookup, self._loads)
        settings = context.settings.get(PartitionSettings)
        self.server = JobServer(
            context.network, control.partitions, context.store
        )
        self.share_sync = ShareSync(
            control.parts,
            control.partitions,
            lookup,
            control.config,
        )
        self.hand_off_sender = HandOffSender(
            control.partitions,
            caller,
            lookup,
            self._loads,
            settings,
        )
        rounds = GangRounds(control.parts, caller, lookup, self._loads)
        self.gang_server = GangServer(control.partitions, rounds)
        self.gang_coordinator = GangCoordinator(
            control.partitions, caller, rounds
        )

    async def run_summary_updates(self) -> None:
        """Applies the peers' load and size summaries until cancelled."""
        while True:
            for member in self._membership.members():
                summaries = self._membership.summaries_of(member.daemon_id)
                _apply_summary(self._loads, summaries.get(SUMMARY_NAME))
                _apply_summary(self._sizes, summaries.get(SIZES_NAME))
            partition = [
                runner.partition
                for runner in self._partitions.owned()
                if runner.partition is not None
            ]
            self._sizes.update(partition, self._directory.partitions())
            await asyncio.sleep(_UPDATE_INTERVAL_S)


def _apply_summary(
    table: LoadTable | WorkerSizeTable, summary: Summary | None
) -> None:
    if isinstance(summary, dict):
        table.update_from_peer(summary)


__all__ = ('JobComponents',)
