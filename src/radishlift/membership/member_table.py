"""Joins seeds, the `daemons` table and the host list into one table."""

from collections.abc import Iterable, Iterator, Mapping

from radishlift.core.ids import Address, DaemonId, DataCentreId, Incarnation
from radishlift.core.logs import log_event
from radishlift.membership.api import Member
from radishlift.membership.daemon_rows import member_of
from radishlift.membership.daemon_table import DaemonScan
from radishlift.membership.evidence import Evidence
from radishlift.services.api import Host


class MemberTable:
    """The known members by id, always with this daemon itself."""

    def __init__(
        self,
        myself: Member,
        seeds: Mapping[DaemonId, Address],
        evidence: Evidence,
    ) -> None:
        self._myself = myself
        self._evidence = evidence
        self._members = {
            daemon_id: _seed_member(daemon_id, address)
            for daemon_id, address in seeds.items()
        }
        self._members[myself.daemon_id] = myself

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def get(self, daemon_id: DaemonId) -> Member | None:
        """Returns a member."""
        return self._members.get(daemon_id)

    def addresses(self) -> dict[DaemonId, Address]:
        """Returns the peer addresses of all members."""
        return {
            daemon_id: member.peer_listen
            for daemon_id, member in self._members.items()
        }

    def observe_scan(self, scan: DaemonScan) -> None:
        """Takes the members from a scan of the `daemons` table.

        A row that is gone was deleted by its daemon when it stopped; a seed
        without a row stays.
        """
        self._evidence.observe_scan(scan)
        scanned = {
            daemon_id: member_of(daemon_id, row)
            for daemon_id, row in scan.rows.items()
        }
        seeds = {
            daemon_id: member
            for daemon_id, member in self._members.items()
            if not member.incarnation
        }
        own = {self._myself.daemon_id: self._myself}
        self._members = seeds | scanned | own
        self._drop_gone()

    def observe_hosts(self, hosts: Iterable[Host]) -> None:
        """Joins the members with the host list by their `listen` address.

        An empty list is ignored: this daemon's own host would be on it.
        """
        listed = frozenset(host.address for host in hosts)
        if not listed:
            log_event('empty_host_list')
            return
        self._evidence.observe_hosts(self._members.values(), listed)
        self._drop_gone()

    def _drop_gone(self) -> None:
        self._members = {
            daemon_id: member
            for daemon_id, member in self._members.items()
            if member is self._myself or not self._is_gone(member)
        }

    def _is_gone(self, member: Member) -> bool:
        return self._evidence.is_gone((member.daemon_id, member.incarnation))


def _seed_member(daemon_id: DaemonId, peer_listen: Address) -> Member:
    return Member(
        daemon_id,
        Incarnation(''),
        Address(''),
        peer_listen,
        DataCentreId(''),
    )


__all__ = ('MemberTable',)
