"""Collects the metrics of all daemons."""

from dataclasses import dataclass

from radishlift.config.api import ConfigView
from radishlift.config.fleet import Fleet
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId
from radishlift.membership.api import MemberDirectory
from radishlift.membership.query_all import query_all
from radishlift.report.burn import BurnReport, burn_report
from radishlift.report.messages import MetricsFetch, MetricsSnapshot
from radishlift.report.metrics import MetricsTable
from radishlift.report.settings import ReportSettings
from radishlift.wire.network import PeerNetwork


@dataclass(frozen=True, slots=True)
class CollectedMetrics:
    """Snapshots of the daemons that replied, and the ids of the others."""

    snapshots: tuple[MetricsSnapshot, ...]
    missing: tuple[DaemonId, ...]


class MetricsCollector:
    """Serves this daemon's metrics to peers and requests theirs."""

    def __init__(
        self,
        metrics: MetricsTable,
        config: ConfigView,
        network: PeerNetwork,
        directory: MemberDirectory,
        settings: ReportSettings,
    ) -> None:
        self._metrics = metrics
        self._config = config
        self._network = network
        self._fleet = Fleet(directory, network.daemon_id)
        self._settings = settings
        network.register(MetricsFetch, self._handle_fetch)

    async def report(self) -> BurnReport | Failure:
        """Builds the burn report from the metrics of all daemons."""
        document = self._config.current()
        if document is None:
            reason = 'no configuration is in force in this daemon'
            return Failure(ErrorKind.no_configuration, reason)
        collected = await self.collect()
        return burn_report(document, collected.snapshots, collected.missing)

    async def collect(self) -> CollectedMetrics:
        """Queries all daemons; those that don't reply in time are missing."""
        replies = await query_all(
            self._network,
            self._fleet.peers(),
            MetricsFetch(),
            MetricsSnapshot,
            self._settings.peer_timeout_ms,
        )
        snapshots = (self._metrics.snapshot(), *replies.by_peer.values())
        return CollectedMetrics(snapshots, replies.missing)

    async def _handle_fetch(
        self,
        _sender: DaemonId,
        _fetch: MetricsFetch,
    ) -> MetricsSnapshot:
        return self._metrics.snapshot()


__all__ = ('CollectedMetrics', 'MetricsCollector')
