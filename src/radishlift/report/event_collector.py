"""Collects the recent events of all daemons."""

from dataclasses import dataclass

from radishlift.config.fleet import Fleet
from radishlift.core.ids import DaemonId
from radishlift.membership.api import MemberDirectory
from radishlift.membership.query_all import query_all
from radishlift.report.event_history import (
    EventHistory,
    EventsFetch,
    PastEvent,
)
from radishlift.report.settings import ReportSettings
from radishlift.wire.messages import message
from radishlift.wire.network import PeerNetwork


@message('events_found')
@dataclass(frozen=True, slots=True)
class EventsFound:
    """The matching events of one daemon, newest first."""

    events: tuple[PastEvent, ...]


@dataclass(frozen=True, slots=True)
class DaemonEvent:
    """An event and the daemon that logged it."""

    daemon_id: DaemonId
    past: PastEvent


@dataclass(frozen=True, slots=True)
class EventReport:
    """Events of the cell, newest first, and the daemons that did not reply."""

    events: tuple[DaemonEvent, ...]
    missing: tuple[DaemonId, ...]


class EventCollector:
    """Serves this daemon's events to peers and requests theirs.

    Events are ordered by age, which each daemon measures on its own clock,
    because the clocks of hosts are not comparable.
    """

    def __init__(
        self,
        history: EventHistory,
        network: PeerNetwork,
        directory: MemberDirectory,
        settings: ReportSettings,
    ) -> None:
        self._history = history
        self._network = network
        self._fleet = Fleet(directory, network.daemon_id)
        self._timeout_ms = settings.peer_timeout_ms
        network.register(EventsFetch, self._handle_fetch)

    async def collect(self, query: EventsFetch) -> EventReport:
        """Queries all daemons; those that don't reply in time are missing."""
        replies = await query_all(
            self._network,
            self._fleet.peers(),
            query,
            EventsFound,
            self._timeout_ms,
        )
        own = self._history.find(query)
        found = [DaemonEvent(self._network.daemon_id, past) for past in own]
        found.extend(
            DaemonEvent(peer, past)
            for peer, reply in replies.by_peer.items()
            for past in reply.events
        )
        found.sort(key=lambda event: event.past.age_ms)
        return EventReport(
            tuple(found[: query.limit_count]),
            replies.missing,
        )

    async def _handle_fetch(
        self,
        _sender: DaemonId,
        query: EventsFetch,
    ) -> EventsFound:
        return EventsFound(self._history.find(query))


__all__ = ('DaemonEvent', 'EventCollector', 'EventReport', 'EventsFound')
