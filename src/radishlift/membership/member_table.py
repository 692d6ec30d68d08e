"""Combines seeds, the `daemons` table and the host list."""

from collections.abc import Iterable, Iterator, Mapping

from radishlift.core.ids import Address, DaemonId, DataCentreId, Incarnation
from radishlift.core.logs import log_event
from radishlift.membership.api import Member
from radishlift.membership.daemon_rows import member_of
from radishlift.membership.daemon_table import DaemonScan
from radishlift.membership.evidence import Evidence
from radishlift.services.api import Host


class MemberTable:
    """The known members by id, including this daemon."""

    def __init__(
        self,
        own_member: Member,
        seeds: Mapping[DaemonId, Address],
        evidence: Evidence,
    ) -> None:
        self._own_member = own_member
        self._evidence = evidence
        self._members = {
            daemon_id: _seed_member(daemon_id, address)
            for daemon_id, address in seeds.items()
        }
        self._members[own_member.daemon_id] = own_member

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def get(self, daemon_id: DaemonId) -> Member | None:
        """Returns a member, None if unknown."""
        return self._members.get(daemon_id)

    def addresses(self) -> dict[DaemonId, Address]:
        """Returns the peer addresses of all members."""
        return {
            daemon_id: member.peer_listen
            for daemon_id, member in self._members.items()
        }

    def observe_scan(self, scan: DaemonScan) -> None:
        """Replaces the members with those of a scan of the `daemons` table.

        A daemon deletes its row when it stops, so members without a row are
        removed. A seed without a row stays.
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
        own = {self._own_member.daemon_id: self._own_member}
        self._members = seeds | scanned | own
        self._drop_removed()

    def observe_hosts(self, hosts: Iterable[Host]) -> None:
        """Removes members whose `listen` address left the host list.

        An empty list is ignored, since at least this daemon's host must be
        on it.
        """
        listed = frozenset(host.address for host in hosts)
        if not listed:
            log_event('empty_host_list')
            return
        self._evidence.observe_hosts(self._members.values(), listed)
        self._drop_removed()

    def _drop_removed(self) -> None:
        self._members = {
            daemon_id: member
            for daemon_id, member in self._members.items()
            if member is self._own_member or not self._is_removed(member)
        }

    def _is_removed(self, member: Member) -> bool:
        return self._evidence.is_removed((member.daemon_id, member.incarnation))


def _seed_member(daemon_id: DaemonId, peer_listen: Address) -> Member:
    return Member(
        daemon_id,
        Incarnation(''),
        Address(''),
        peer_listen,
        DataCentreId(''),
    )


__all__ = ('MemberTable',)
