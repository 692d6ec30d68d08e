"""Settings of the daemon's communication with workers."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('workers')
@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Leases, polling and connections.

    A lease lasts for several polls, so that one lost message ends no task.
    `report_interval_ms` is the time between polls of a worker with attempts,
    `idle_interval_ms` that of a worker without, at most a quarter of the
    lease: an idle worker has no usage to report, and a refused start reveals a
    restart as well as a report does. Both intervals are increased when a
    daemon would need more than `polls_per_s`. Up to `end_polls_per_s` more
    polls are made when a task is likely to have ended, at least
    `end_interval_ms` after the last poll of its worker. `retry_interval_ms` is
    the delay after a failed request. A worker that was never on the host list
    of this daemon is treated as removed by a list that was read at least
    `host_list_lag_ms` after the daemon learned of the worker.
    """

    lease_ms: int = bounded(10_000, 100, 600_000)
    polls_per_s: int = bounded(200, 1, 100_000)
    end_polls_per_s: int = bounded(100, 0, 100_000)
    end_interval_ms: int = bounded(100, 1, 60_000)
    report_interval_ms: int = bounded(1_000, 10, 60_000)
    idle_interval_ms: int = bounded(2_500, 10, 60_000)
    retry_interval_ms: int = bounded(200, 10, 60_000)
    timeout_ms: int = bounded(1_000, 10, 60_000)
    host_list_lag_ms: int = bounded(30_000, 0, 600_000)
    connections_count: int = bounded(256, 1, 10_000)


__all__ = ('WorkerSettings',)
