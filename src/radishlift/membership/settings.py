"""Settings of the membership."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('membership')
@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Rates and sizes of heartbeats.

    Every `heartbeat_interval_ms` a daemon sends a heartbeat to the next
    `targets_count` peers of its group, so that the traffic of a daemon does
    not grow with the group. A peer is suspected after `suspect_count`
    intervals without contact; here the interval is `heartbeat_interval_ms`, or
    `interval_per_peer_ms` times the number of peers if that is longer. The
    load summaries of one heartbeat have at most `summary_bytes`.
    """

    heartbeat_interval_ms: int = bounded(1000, 10, 60_000)
    targets_count: int = bounded(4, 1, 28)
    interval_per_peer_ms: int = bounded(100, 0, 10_000)
    suspect_count: int = bounded(3, 1, 100)
    group_count: int = bounded(28, 2, 28)
    summary_bytes: int = bounded(128, 0, 4096)


__all__ = ('MembershipSettings',)
