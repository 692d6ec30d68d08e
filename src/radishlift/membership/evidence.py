"""Evidence that an incarnation of a daemon is dead.

Evidence is permanent, since a dead incarnation never returns.
"""

from collections.abc import Iterable
from typing import Final

from radishlift.core.ids import Address, DaemonId, Incarnation
from radishlift.core.logs import log_event
from radishlift.membership.api import Member
from radishlift.membership.daemon_table import DaemonScan

_REFUSED: Final = 'connection_refused'

# A run of a daemon's process.
_DaemonRun = tuple[DaemonId, Incarnation]


class Evidence:
    """Collects the evidence of death of incarnations.

    Evidence is a newer incarnation, a refused connection or a removed host. A
    missed heartbeat is no evidence. A refused connection does not prove the
    end of a process, since a network that rejects connections looks the same.
    """

    def __init__(self) -> None:
        self._dead: set[_DaemonRun] = set()
        self._ended: set[_DaemonRun] = set()
        self._removed: set[_DaemonRun] = set()
        self._listed: set[_DaemonRun] = set()
        self._queried: dict[_DaemonRun, int] = {}
        self._current: dict[DaemonId, Incarnation] = {}

    def is_dead(self, run: _DaemonRun, started_scans_count: int) -> bool:
        """Returns whether there is evidence that an incarnation is dead.

        An incarnation that no scan has shown is superseded if a scan that
        starts after this call shows another one: a daemon writes its own row
        before any other row that contains its incarnation. Scans that started
        earlier may be older than the incarnation.
        """
        if not run[1]:
            # A seed whose row has not been read has no incarnation yet.
            return False
        if run not in self._ended and self._current.get(run[0]) != run[1]:
            self._queried.setdefault(run, started_scans_count)
        return run in self._dead

    def has_ended(self, run: _DaemonRun, started_scans_count: int) -> bool:
        """Returns whether an incarnation is known to have ended.

        The scans are counted as in `is_dead`.
        """
        return self.is_dead(run, started_scans_count) and run in self._ended

    def is_removed(self, run: _DaemonRun) -> bool:
        """Returns whether the host was removed from the host list."""
        return run in self._removed

    def observe_scan(self, scan: DaemonScan) -> None:
        """Marks incarnations that were replaced by newer ones as dead."""
        for daemon_id, row in scan.rows.items():
            known = self._current.get(daemon_id)
            if known and known != row.incarnation:
                self._add((daemon_id, known), 'newer_incarnation')
            self._current[daemon_id] = row.incarnation
        for run, scans_count in list(self._queried.items()):
            current_row = scan.rows.get(run[0])
            if current_row is None or scan.number <= scans_count:
                continue
            self._queried.pop(run)
            if current_row.incarnation != run[1]:
                self._add(run, 'newer_incarnation')

    def observe_refusal(self, member: Member) -> None:
        """Marks a member whose address refused a connection as dead."""
        if member.incarnation:
            run = (member.daemon_id, member.incarnation)
            self._add(run, _REFUSED)

    def observe_hosts(
        self,
        members: Iterable[Member],
        listed: frozenset[Address],
    ) -> None:
        """Marks members whose address was removed from the host list."""
        for member in members:
            run = (member.daemon_id, member.incarnation)
            if member.listen in listed:
                self._listed.add(run)
            elif run in self._listed:
                self._removed.add(run)
                self._add(run, 'host_gone')

    def _add(self, run: _DaemonRun, reason: str) -> None:
        if reason != _REFUSED:
            self._ended.add(run)
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
