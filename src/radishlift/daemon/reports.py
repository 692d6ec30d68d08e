"""Metrics and recent events of this daemon and its peers."""

from collections.abc import Iterator
from itertools import chain

from radishlift.api.application import RouteProvider
from radishlift.api.events import EventHandlers
from radishlift.api.reports import ReportHandlers
from radishlift.daemon.context import DaemonContext
from radishlift.daemon.control import ControlPlane
from radishlift.report.collector import MetricsCollector
from radishlift.report.event_collector import EventCollector
from radishlift.report.event_history import EventHistory
from radishlift.report.exposition import (
    Sample,
    format_level_samples,
    host_list_samples,
    metrics_samples,
)
from radishlift.report.settings import ReportSettings


class ReportComponents:
    """Builds the collectors and handlers of reports over all daemons."""

    def __init__(self, context: DaemonContext, control: ControlPlane) -> None:
        settings = context.settings.get(ReportSettings)
        self._metrics = control.metrics
        self._knowledge = context.hosts.knowledge
        self._cell_level = control.cell_level
        self.metrics_collector = MetricsCollector(
            control.metrics,
            control.config,
            context.network,
            context.membership,
            settings,
        )
        self.history = EventHistory(context.clock, settings)
        self._event_collector = EventCollector(
            self.history,
            context.network,
            context.membership,
            settings,
        )

    def routes(self) -> tuple[RouteProvider, ...]:
        """Returns the handlers of the HTTP application."""
        return (
            ReportHandlers(self.metrics_collector, self._samples),
            EventHandlers(self._event_collector),
        )

    def _samples(self) -> Iterator[Sample]:
        return chain(
            metrics_samples(self._metrics),
            host_list_samples(self._knowledge),
            format_level_samples(self._cell_level),
        )


__all__ = ('ReportComponents',)
