"""Metrics and recent events of a daemon, and those of its peers."""

from radishlift.api.application import Routes
from radishlift.api.events import EventHandlers
from radishlift.api.reports import ReportHandlers
from radishlift.daemon.control import Control
from radishlift.daemon.foundation import Foundation
from radishlift.report.collector import MetricsCollector
from radishlift.report.event_collector import EventCollector
from radishlift.report.event_history import EventHistory
from radishlift.report.settings import ReportSettings


class Reports:
    """Builds what reports over all daemons need."""

    def __init__(self, base: Foundation, control: Control) -> None:
        settings = base.settings.get(ReportSettings)
        self._metrics = control.metrics
        self._knowledge = base.hosts.knowledge
        self.metrics_collector = MetricsCollector(
            control.metrics,
            control.config,
            base.network,
            base.membership,
            settings,
        )
        self.history = EventHistory(base.clock, settings)
        self._event_collector = EventCollector(
            self.history,
            base.network,
            base.membership,
            settings,
        )

    def routes(self) -> tuple[Routes, ...]:
        """Returns the handlers of the HTTP application."""
        return (
            ReportHandlers(
                self._metrics,
                self.metrics_collector,
                self._knowledge,
            ),
            EventHandlers(self._event_collector),
        )


__all__ = ('Reports',)
