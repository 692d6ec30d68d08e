"""Versions that the daemons report to have in force."""

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
    """The version that a daemon last reported, and the age of the report.

    `version` is None if the daemon has not answered the last message,
    `age_ms` if it has never reported a version.
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
    """Local version, version per daemon, and versions in force everywhere."""

    version: ConfigVersion
    daemons: tuple[DaemonVersion, ...]
    everywhere: tuple[EverywhereSince, ...]

    def everywhere_at_ms(self, version: ConfigVersion) -> int | None:
        """Returns the wall time since when all daemons have a version, or None.

        A later version in force on all daemons implies the earlier ones.
        """
        for since in self.everywhere:
            if since.version >= version:
                return since.at_ms
        return None


class RolloutProgress:
    """Tracks which version each daemon has, and which all of them have.

    The number of versions known to be in force on all daemons is bounded.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_reports: dict[DaemonId, _LastReport] = {}
        self._everywhere: deque[EverywhereSince] = deque(
            maxlen=_MAX_EVERYWHERE_COUNT,
        )

    @property
    def everywhere_version(self) -> ConfigVersion:
        """Returns the newest version known to be in force on all daemons."""
        return self._everywhere[-1].version if self._everywhere else _NO_VERSION

    def version_of(self, daemon_id: DaemonId) -> ConfigVersion | None:
        """Returns the version last reported, or None without an answer."""
        return self._last_reports.get(daemon_id, _NO_REPORT)[0]

    def record_version(
        self, daemon_id: DaemonId, version: ConfigVersion
    ) -> None:
        """Records a reported version; a restart may lower it."""
        self._last_reports[daemon_id] = (version, self._clock.monotonic_ms())

    def mark_unresponsive(self, daemon_id: DaemonId) -> None:
        """Records that a daemon did not answer."""
        _, reported_ms = self._last_reports.get(daemon_id, _NO_REPORT)
        self._last_reports[daemon_id] = (None, reported_ms)

    def keep_only(self, members: Iterable[DaemonId]) -> None:
        """Removes daemons that are no longer members."""
        kept = frozenset(members)
        for daemon_id in tuple(self._last_reports):
            if daemon_id not in kept:
                self._last_reports.pop(daemon_id)

    def lowest_version(self, members: Iterable[DaemonId]) -> ConfigVersion:
        """Returns the highest version that all members are known to have."""
        return min(
            (self.version_of(member) or _NO_VERSION for member in members),
            default=_NO_VERSION,
        )

    def record_everywhere(self, version: ConfigVersion, at_ms: int) -> bool:
        """Records a version in force on all daemons; returns whether new."""
        if version <= self.everywhere_version:
            return False
        self._everywhere.append(EverywhereSince(version, at_ms))
        return True

    def status(
        self,
        version: ConfigVersion,
        members: Iterable[DaemonId],
    ) -> ConfigStatus:
        """Returns the versions known at present."""
        now_ms = self._clock.monotonic_ms()
        daemons = []
        for member in members:
            reported, reported_ms = self._last_reports.get(member, _NO_REPORT)
            age_ms = None if reported_ms is None else now_ms - reported_ms
            daemons.append(DaemonVersion(member, reported, age_ms))
        return ConfigStatus(version, tuple(daemons), tuple(self._everywhere))


__all__ = (
    'ConfigStatus',
    'DaemonVersion',
    'EverywhereSince',
    'RolloutProgress',
)
