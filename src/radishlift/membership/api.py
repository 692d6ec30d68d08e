"""Interface to the members of the fleet, for modules that act on failures."""

from dataclasses import dataclass
from typing import Protocol

from radishlift.core.ids import (
    Address,
    DaemonId,
    DataCentreId,
    Incarnation,
    PartitionId,
)
from radishlift.core.levels import LOWEST_LEVEL


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon as its row in the `daemons` table describes it."""

    daemon_id: DaemonId
    incarnation: Incarnation
    listen: Address
    peer_listen: Address
    data_centre: DataCentreId
    region: str = ''
    format_level: int = LOWEST_LEVEL


@dataclass(frozen=True, slots=True)
class DaemonFormat:
    """The format level of a daemon, and the partitions it can't read."""

    daemon_id: DaemonId
    format_level: int
    declined: tuple[PartitionId, ...] = ()


class MemberDirectory(Protocol):
    """The known daemons and what is known about their failures."""

    def members(self) -> tuple[Member, ...]:
        """Returns the known daemons, including this one."""

    def is_suspected(self, daemon_id: DaemonId) -> bool:
        """Returns whether heartbeats are missing; no evidence of death."""

    def is_dead(self, daemon_id: DaemonId, incarnation: Incarnation) -> bool:
        """Returns whether there is evidence that this incarnation is dead.

        Evidence is a refused connection at its address, a newer incarnation,
        or a host removed from the host list, but never a missed heartbeat.
        A refused connection may come from the network, so evidence is a
        reason to claim its partitions, but no proof that it has ended.
        """

    def has_ended(self, daemon_id: DaemonId, incarnation: Incarnation) -> bool:
        """Returns whether this incarnation is known to send nothing any more.

        Known from a newer incarnation, or a host removed from the host list.
        """


__all__ = ('DaemonFormat', 'Member', 'MemberDirectory')
