"""Counters and latencies of one daemon."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from enum import Enum, unique
from typing import Final

from radishlift.report.histograms import HistogramTable
from radishlift.report.samples import (
    Sample,
    format_exposition,
    histogram_samples,
)

_MAX_HISTOGRAMS: Final = 32
_OUTCOME_FIELDS: Final = ('outcome', 'how', 'verdict', 'state')


@unique
class Operation(Enum):
    """Operations of callers whose latency is measured."""

    submit = 'submit'
    state = 'state'
    cancel = 'cancel'
    count = 'count'


class CellMetrics:
    """Counts log events by outcome and records latencies of operations.

    Events are counted even if their log line is dropped.
    """

    def __init__(
        self, get_config_age_ms: Callable[[], int | None] | None = None
    ) -> None:
        self._get_config_age_ms = get_config_age_ms
        self._events: Counter[tuple[str, str]] = Counter()
        self._histograms = HistogramTable(_MAX_HISTOGRAMS)

    def count_event(
        self,
        event: str,
        _level: str,
        fields: Mapping[str, object],
    ) -> None:
        """Counts an event; called by the log for each event."""
        outcome = ''
        for name in _OUTCOME_FIELDS:
            if name in fields:
                value = fields[name]
                outcome = str(value.value if isinstance(value, Enum) else value)
                break
        self._events[event, outcome] += 1

    def observe(self, operation: Operation, duration_ms: int) -> None:
        """Records how long a caller waited for its answer."""
        self._histograms.record((operation.value, 'latency'), duration_ms)

    def render(self) -> str:
        """Returns all metrics as text in the exposition format."""
        return format_exposition(self._samples())

    def _samples(self) -> Iterator[Sample]:
        for (event, outcome), number in sorted(self._events.items()):
            labels = {'event': event, 'outcome': outcome}
            yield Sample('radishlift_events_total', number, labels)
        yield from histogram_samples(self._histograms)
        if self._get_config_age_ms is not None:
            age_ms = self._get_config_age_ms()
            if age_ms is not None:
                yield Sample('radishlift_config_age_ms', age_ms)


__all__ = ('CellMetrics', 'Operation')
