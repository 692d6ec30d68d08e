"""Histograms of durations, bounded in number, range and memory."""

import binascii
import zlib
from typing import Any, Final

from hdrh.codec import HdrCookieException, HdrLengthException
from hdrh.histogram import HdrHistogram

from radishlift.core.errors import ErrorKind, Failure
from radishlift.report.messages import HistogramSnapshot

# Two digits from 1 ms to 1 h take 17.4 KB; three digits from 1 us take 188 KB.
LOWEST_MS: Final = 1
HIGHEST_MS: Final = 3_600_000
DIGITS_COUNT: Final = 2

_DECODE_ERRORS: Final = (
    HdrCookieException,
    HdrLengthException,
    IndexError,
    ValueError,
    binascii.Error,
    zlib.error,
)

HistogramKey = tuple[str, str]
"""Subject, which is a department or a service, and indicator."""


class HistogramTable:
    """One histogram for each subject and indicator, up to a limit."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._histograms: dict[HistogramKey, Any] = {}
        self.dropped_count = 0

    def record(self, key: HistogramKey, duration_ms: int) -> None:
        """Records a duration, clamped to the range of the histogram.

        Durations of a new key above the limit are only counted as dropped.
        """
        histogram = self._find_or_create(key)
        if histogram is None:
            self.dropped_count += 1
            return
        histogram.record_value(min(max(duration_ms, LOWEST_MS), HIGHEST_MS))

    def quantile_ms(self, key: HistogramKey, quantile: float) -> int | None:
        """Returns a quantile from 0 to 1; None without any duration."""
        histogram = self._histograms.get(key)
        if histogram is None or not histogram.get_total_count():
            return None
        return int(histogram.get_value_at_percentile(100 * quantile))

    def count(self, key: HistogramKey) -> int:
        """Returns the number of durations recorded."""
        histogram = self._histograms.get(key)
        return 0 if histogram is None else int(histogram.get_total_count())

    def sorted_keys(self) -> tuple[HistogramKey, ...]:
        """Returns the keys of all histograms, sorted."""
        return tuple(sorted(self._histograms))

    def snapshot(self) -> tuple[HistogramSnapshot, ...]:
        """Encodes all histograms."""
        return tuple(
            HistogramSnapshot(*key, self._histograms[key].encode().decode())
            for key in self.sorted_keys()
        )

    def merge(self, snapshot: HistogramSnapshot) -> Failure | None:
        """Adds a histogram of another daemon; fails if it can't be decoded."""
        histogram = self._find_or_create((snapshot.subject, snapshot.indicator))
        if histogram is None:
            self.dropped_count += 1
            return None
        try:
            histogram.decode_and_add(snapshot.encoded.encode())
        except _DECODE_ERRORS as error:
            reason = f'histogram of {snapshot.subject}: {error!r}'
            return Failure(ErrorKind.bad_frame, reason)
        return None

    def _find_or_create(self, key: HistogramKey) -> Any | None:
        histogram = self._histograms.get(key)
        if histogram is None and len(self._histograms) < self._max_count:
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS_COUNT)
            self._histograms[key] = histogram
        return histogram


__all__ = ('HIGHEST_MS', 'LOWEST_MS', 'HistogramTable')
