"""Metrics of one daemon for services and departments."""

from collections.abc import Iterable
from enum import Enum, unique

from radishlift.config.api import ConfigView
from radishlift.config.document import ConfigDocument, Objective
from radishlift.core.clock import Clock
from radishlift.report.histograms import HistogramTable
from radishlift.report.messages import MetricsSnapshot, ObjectiveCounts
from radishlift.report.saved_counts import SavedObjective
from radishlift.report.settings import ReportSettings
from radishlift.report.windows import WindowCounts


@unique
class Indicator(Enum):
    """What an objective measures; the names are those in the document."""

    latency = 'latency'
    waiting = 'waiting'
    availability = 'availability'


class _TrackedObjective:
    """An objective and its counts."""

    __slots__ = ('counts', 'objective')

    def __init__(self, objective: Objective, now_ms: int) -> None:
        self.objective = objective
        self.counts = WindowCounts(now_ms)


class MetricsTable:
    """Durations per subject and indicator, and counts per objective.

    An event is good if it succeeded and, except for availability, took no
    longer than the objective's limit. A fast error must not count as good.
    """

    def __init__(
        self,
        config: ConfigView,
        settings: ReportSettings,
        clock: Clock,
    ) -> None:
        self.histograms = HistogramTable(settings.max_histograms_count)
        self._config = config
        self._settings = settings
        self._clock = clock
        self.document: ConfigDocument | None = None
        self._tracked: dict[str, _TrackedObjective] = {}
        self._by_subject: dict[tuple[str, str], list[_TrackedObjective]] = {}
        self._pending_saved: dict[str, SavedObjective] = {}
        self._saved_at_ms = 0

    def dump(self) -> tuple[SavedObjective, ...]:
        """Returns the counts of all objectives, for `load`."""
        self._update_document()
        now_ms = self._clock.monotonic_ms()
        return tuple(
            SavedObjective(
                name,
                definition_of(tracked.objective),
                tracked.counts.covered_ms(now_ms),
                tracked.counts.dump(now_ms),
            )
            for name, tracked in self._tracked.items()
        )

    def load(self, saved: Iterable[SavedObjective], passed_ms: int) -> None:
        """Adds counts of a previous process, saved `passed_ms` ago.

        Counts of an objective that is not known yet are kept until the
        document with that objective arrives.
        """
        self._saved_at_ms = self._clock.monotonic_ms() - passed_ms
        self._pending_saved = {objective.name: objective for objective in saved}
        for name, tracked in self._tracked.items():
            self._load_saved(name, tracked)

    def observe(
        self,
        subject: str,
        indicator: Indicator,
        duration_ms: int,
        *,
        is_ok: bool = True,
    ) -> None:
        """Records one event of a department or service."""
        key = (subject, indicator.value)
        if indicator is not Indicator.availability:
            self.histograms.record(key, duration_ms)
        self._update_document()
        now_ms = self._clock.monotonic_ms()
        for tracked in self._by_subject.get(key, ()):
            limit_ms = tracked.objective.limit_ms
            is_timely = (
                indicator is Indicator.availability or duration_ms <= limit_ms
            )
            tracked.counts.record(now_ms, is_good=is_ok and is_timely)

    def snapshot(self) -> MetricsSnapshot:
        """Returns this daemon's metrics for merging."""
        self._update_document()
        now_ms = self._clock.monotonic_ms()
        objectives = tuple(
            ObjectiveCounts(
                name,
                definition_of(tracked.objective),
                tracked.counts.covered_ms(now_ms),
                tracked.counts.counts(now_ms),
            )
            for name, tracked in self._tracked.items()
        )
        return MetricsSnapshot(self.histograms.snapshot(), objectives)

    def _update_document(self) -> None:
        document = self._config.current()
        if document is None or document is self.document:
            return
        is_changed = (
            self.document is None
            or document.objectives != self.document.objectives
        )
        self.document = document
        if is_changed:
            self._track_objectives(document.objectives)

    def _track_objectives(self, objectives: dict[str, Objective]) -> None:
        now_ms = self._clock.monotonic_ms()
        previous = self._tracked
        self._tracked = {}
        self._by_subject = {}
        names = sorted(objectives)[: self._settings.max_objectives_count]
        for name in names:
            objective = objectives[name]
            tracked = previous.get(name)
            if tracked is None or not _is_comparable(tracked, objective):
                tracked = _TrackedObjective(objective, now_ms)
            tracked.objective = objective
            self._tracked[name] = tracked
            self._load_saved(name, tracked)
            key = (objective.subject, objective.indicator)
            self._by_subject.setdefault(key, []).append(tracked)

    def _load_saved(self, name: str, tracked: _TrackedObjective) -> None:
        saved = self._pending_saved.pop(name, None)
        if saved is None or saved.definition != definition_of(
            tracked.objective,
        ):
            return
        now_ms = self._clock.monotonic_ms()
        tracked.counts.load(
            now_ms,
            saved.windows,
            now_ms - self._saved_at_ms,
            saved.covered_ms,
        )


def definition_of(objective: Objective) -> str:
    """Describes what makes an event of an objective good.

    Counts of different definitions are not comparable. The target ratio is
    not part of the definition, so a change of it keeps the counts.
    """
    return f'{objective.subject} {objective.indicator} {objective.limit_ms}'


def _is_comparable(tracked: _TrackedObjective, objective: Objective) -> bool:
    return definition_of(tracked.objective) == definition_of(objective)


__all__ = ('Indicator', 'MetricsTable', 'definition_of')
