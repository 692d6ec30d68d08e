"""Settings for storing and distributing the configuration."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('config')
@dataclass(frozen=True, slots=True)
class ConfigSettings:
    """Limits and intervals of the configuration.

    `kept_versions_count` bounds the history; older versions are deleted. If
    a change has no known outcome after `change_timeout_ms`, its answer is
    "outcome unknown". The head row is read every `poll_interval_ms`; a poll
    that finds a newer version waits `push_grace_ms` for its push.
    """

    change_timeout_ms: int = bounded(4_000, 100, 60_000)
    retry_pause_ms: int = bounded(50, 1, 10_000)
    max_races_count: int = bounded(16, 1, 1000)
    kept_versions_count: int = bounded(2_000, 10, 1_000_000)
    push_grace_ms: int = bounded(250, 0, 60_000)
    poll_interval_ms: int = bounded(2_000, 10, 60_000)
    peer_timeout_ms: int = bounded(1_000, 10, 60_000)


__all__ = ('ConfigSettings',)
