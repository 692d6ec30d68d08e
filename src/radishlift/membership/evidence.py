"""Evidence that an incarnation of a daemon is dead.

The evidence is permanent, since an incarnation never comes back.
"""

from collections.abc import Iterable

from radishlift.core.ids import Address, DaemonId, Incarnation
from radishlift.core.logs import log_event
from radishlift.membership.api import Member
from radishlift.membership.daemon_table import DaemonScan

_Run = tuple[DaemonId, Incarnation]


class Evidence:
    """Collects the three kinds of evidence; a missed heartbeat is none."""

    def __init__(self) -> None:
        self._dead: set[_Run] = set()
        self._gone: set[_Run] = set()
        self._listed: set[_Run] = set()
        self._asked: dict[_Run, int] = {}
        self._current: dict[DaemonId, Incarnation] = {}

    def is_dead(self, run: _Run, started_scans_count: int) -> bool:
        """Tells whether there is evidence against an incarnation.

        An incarnation that no scan has shown is superseded if a scan that
        starts after this question shows another one: the daemon wrote its
        own row before anything else that names the incarnation. Scans from
        before the question may be older than the incarnation.
        """
        if not run[1]:
            # A seed whose row has not been read has no incarnation yet.
            return False
        if run not in self._dead and self._current.get(run[0]) != run[1]:
            self._asked.setdefault(run, started_scans_count)
        return run in self._dead

    def is_gone(self, run: _Run) -> bool:
        """Tells whether the host of an incarnation left the host list."""
        return run in self._gone

    def observe_scan(self, scan: DaemonScan) -> None:
        """Notes incarnations that were replaced by newer ones."""
        for daemon_id, row in scan.rows.items():
            known = self._current.get(daemon_id)
            if known and known != row.incarnation:
                self._add((daemon_id, known), 'newer_incarnation')
            self._current[daemon_id] = row.incarnation
        for run, asked_at in list(self._asked.items()):
            row_of_run = scan.rows.get(run[0])
            if row_of_run is None or scan.number <= asked_at:
                continue
            self._asked.pop(run)
            if row_of_run.incarnation != run[1]:
                self._add(run, 'newer_incarnation')

    def observe_refusal(self, member: Member) -> None:
        """Notes that a member's address refused a connection."""
        if member.incarnation:
            run = (member.daemon_id, member.incarnation)
            self._add(run, 'connection_refused')

    def observe_hosts(
        self,
        members: Iterable[Member],
        listed: frozenset[Address],
    ) -> None:
        """Notes members whose address was on the host list and is gone."""
        for member in members:
            run = (member.daemon_id, member.incarnation)
            if member.listen in listed:
                self._listed.add(run)
            elif run in self._listed:
                self._gone.add(run)
                self._add(run, 'host_gone')

    def _add(self, run: _Run, reason: str) -> None:
        if run in self._dead:
            return
        self._dead.add(run)
        log_event(
            'daemon_dead',
            daemon=run[0],
            incarnation=run[1],
            reason=reason,
        )


__all__ = ('Evidence',)
