"""The parts of a daemon that route jobs to their home partitions."""

import asyncio
from random import Random
from typing import Final

from radishlift.daemon.control import Control
from radishlift.daemon.foundation import Foundation
from radishlift.membership.membership import Membership
from radishlift.partitions.hand_offs import HandOffCourier
from radishlift.partitions.homes import HomeCaller, OwnerLookup
from radishlift.partitions.job_router import JobRouter
from radishlift.partitions.job_server import JobServer
from radishlift.partitions.loads import SUMMARY_NAME, LoadBoard
from radishlift.partitions.settings import PartitionSettings

_ABSORB_INTERVAL_S: Final = 0.5


class Jobs:
    """Builds the job router, its server and the hand-offs."""

    def __init__(self, base: Foundation, control: Control) -> None:
        self._membership: Membership = base.membership
        self._loads = LoadBoard(Random(base.member.daemon_id))
        base.membership.providers.register(SUMMARY_NAME)(self._loads.summary)
        lookup = OwnerLookup(control.directory, base.store, base.clock)
        caller = HomeCaller(control.parts, lookup)
        self.router = JobRouter(caller, lookup, self._loads)
        self.server = JobServer(base.network, control.partitions)
        self.courier = HandOffCourier(
            control.partitions,
            caller,
            lookup,
            self._loads,
            base.settings.get(PartitionSettings),
        )

    async def absorb_loads(self) -> None:
        """Takes over the load summaries of peers until cancelled."""
        while True:
            for member in self._membership.members():
                summaries = self._membership.summaries_of(member.daemon_id)
                summary = summaries.get(SUMMARY_NAME)
                if isinstance(summary, dict):
                    self._loads.absorb(summary)
            await asyncio.sleep(_ABSORB_INTERVAL_S)


__all__ = ('Jobs',)
