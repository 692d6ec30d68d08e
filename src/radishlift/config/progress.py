"""What a daemon knows of the versions in force on all daemons."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.ids import ConfigVersion, DaemonId

_LastReport = tuple[ConfigVersion | None, int | None]

_NO_VERSION: Final = ConfigVersion(0)
_NO_REPORT: Final[_LastReport] = (None, None)
_MAX_EVERYWHERE_COUNT: Final = 256


@dataclass(frozen=True, slots=True)
class DaemonVersion:
    """The version last heard from a daemon and how long ago.

    `version` is None when the daemon has not answered the last message, and
    `age_ms` when it has never been heard.
    """

    daemon_id: DaemonId
    version: ConfigVersion | None
    age_ms: int | None


@dataclass(frozen=True, slots=True)
class EverywhereSince:
    """A version and the wall time at which all daemons had it in force."""

    version: ConfigVersion
    at_ms: int


@dataclass(frozen=True, slots=True)
class ConfigStatus:
    """Version here, version per daemon, and versions in force everywhere."""

    version: ConfigVersion
    daemons: tuple[DaemonVersion, ...]
    everywhere: tuple[EverywhereSince, ...]

    def everywhere_at_ms(self, version: ConfigVersion) -> int | None:
        """Returns since when a version is in force on all daemons.

        A later version that is in force everywhere implies the earlier.
        """
        for since in self.everywhere:
            if since.version >= version:
                return since.at_ms
        return None


class RolloutProgress:
    """Versions acknowledged by daemons, bounded in number."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_reports: dict[DaemonId, _LastReport] = {}
        self._everywhere: deque[EverywhereSince] = deque(
            maxlen=_MAX_EVERYWHERE_COUNT,
        )

    @property
    def everywhere_version(self) -> ConfigVersion:
        """Returns the newest version known to be in force everywhere."""
        return self._everywhere[-1].version if self._everywhere else _NO_VERSION

    def version_of(self, daemon_id: DaemonId) -> ConfigVersion | None:
        """Returns the version last heard from a daemon, if it answers."""
        return self._last_reports.get(daemon_id, _NO_REPORT)[0]

    def record_version(
        self, daemon_id: DaemonId, version: ConfigVersion
    ) -> None:
        """Notes a daemon's answer; a restarted daemon may be lower."""
        self._last_reports[daemon_id] = (version, self._clock.monotonic_ms())

    def mark_unresponsive(self, daemon_id: DaemonId) -> None:
        """Notes that a daemon did not answer."""
        _, heard_ms = self._last_reports.get(daemon_id, _NO_REPORT)
        self._last_reports[daemon_id] = (None, heard_ms)

    def keep_only(self, members: Iterable[DaemonId]) -> None:
        """Drops daemons that are no longer members."""
        kept = frozenset(members)
        for daemon_id in tuple(self._last_reports):
            if daemon_id not in kept:
                self._last_reports.pop(daemon_id)

    def lowest_version(self, members: Iterable[DaemonId]) -> ConfigVersion:
        """Returns the version that all members are known to have."""
        return min(
            (self.version_of(member) or _NO_VERSION for member in members),
            default=_NO_VERSION,
        )

    def record_everywhere(self, version: ConfigVersion, at_ms: int) -> bool:
        """Records that all have a version; tells whether it was news."""
        if version <= self.everywhere_version:
            return False
        self._everywhere.append(EverywhereSince(version, at_ms))
        return True

    def status(
        self,
        version: ConfigVersion,
        members: Iterable[DaemonId],
    ) -> ConfigStatus:
        """Returns what is known now."""
        now_ms = self._clock.monotonic_ms()
        daemons = []
        for member in members:
            heard, heard_ms = self._last_reports.get(member, _NO_REPORT)
            age_ms = None if heard_ms is None else now_ms - heard_ms
            daemons.append(DaemonVersion(member, heard, age_ms))
        return ConfigStatus(version, tuple(daemons), tuple(self._everywhere))


__all__ = (
    'ConfigStatus',
    'DaemonVersion',
    'EverywhereSince',
    'RolloutProgress',
)
