"""Settings of the configuration's storage and spreading."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('config')
@dataclass(frozen=True, slots=True)
class ConfigSettings:
    """Limits and intervals of the configuration.

    `kept_versions_count` bounds the history; older versions are deleted. A
    change must be settled within `change_timeout_ms`, else its answer is
    "outcome unknown". `poll_interval_ms` is that of reading the head row; a
    poll that finds a newer version waits `push_grace_ms` for its push.
    """

    change_timeout_ms: int = bounded(4_000, 100, 60_000)
    retry_pause_ms: int = bounded(50, 1, 10_000)
    max_races_count: int = bounded(16, 1, 1000)
    kept_versions_count: int = bounded(2_000, 10, 1_000_000)
    push_grace_ms: int = bounded(250, 0, 60_000)
    poll_interval_ms: int = bounded(2_000, 10, 60_000)
    peer_timeout_ms: int = bounded(1_000, 10, 60_000)


__all__ = ('ConfigSettings',)
