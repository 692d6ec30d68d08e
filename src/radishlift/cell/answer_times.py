"""Time limits of calls to the store, from the times that its answers took.

While the store loses answers, a call without an answer is repeated soon. While
it is slow, the limit grows, so that repeats do not add to its load.
"""

from radishlift.cell.settings import CellSettings

# Weights of one answer in the moving averages, as for timeouts of TCP
# (RFC 6298).
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATION_FACTOR = 4
_MAX_DOUBLINGS = 8
# Calls in a row without any answer after which the store counts as slow; that
# many answers are rarely lost one after another.
_LOST_COUNT = 2


class AnswerTimes:
    """Estimates how long the answer to a call may take."""

    def __init__(self, settings: CellSettings) -> None:
        self._min_ms = settings.min_answer_limit_ms
        self._max_ms = settings.max_answer_limit_ms
        self._mean_ms: float | None = None
        self._deviation_ms: float = 0
        self._unanswered_count = 0
        self._answered_at_ms = 0
        self._grown_at_ms = 0

    @property
    def max_limit_ms(self) -> int:
        """Returns the longest time limit."""
        return self._max_ms

    def limit_ms(self) -> int:
        """Returns the time limit of the next call.

        Without any answer so far the store may be slow, so that the limit is
        the longest one.
        """
        if self._mean_ms is None:
            return self._max_ms
        typical_ms = self._mean_ms + _DEVIATION_FACTOR * self._deviation_ms
        doublings_count = max(0, self._unanswered_count - _LOST_COUNT)
        limit_ms = max(self._min_ms, typical_ms) * 2**doublings_count
        return min(self._max_ms, int(limit_ms))

    def record_contact(self, now_ms: int) -> None:
        """Records that the store answers, whatever time the call took."""
        self._unanswered_count = 0
        self._answered_at_ms = now_ms

    def record_answer(self, sent_at_ms: int, now_ms: int) -> None:
        """Records an answered call."""
        self.record_contact(now_ms)
        took_ms = now_ms - sent_at_ms
        if self._mean_ms is None:
            self._mean_ms = took_ms
            self._deviation_ms = took_ms / 2
            return
        error_ms = took_ms - self._mean_ms
        self._deviation_ms += _DEVIATION_GAIN * (
            abs(error_ms) - self._deviation_ms
        )
        self._mean_ms += _MEAN_GAIN * error_ms

    def record_timeout(self, sent_at_ms: int, limit_ms: int) -> None:
        """Records a call that was not answered within its limit.

        If calls were answered meanwhile, the answer was probably lost. Else the
        limit grows, once for all calls of the same time.
        """
        if sent_at_ms <= max(self._answered_at_ms, self._grown_at_ms):
            return
        self._grown_at_ms = sent_at_ms + limit_ms
        self._unanswered_count = min(
            _LOST_COUNT + _MAX_DOUBLINGS, self._unanswered_count + 1
        )


__all__ = ('AnswerTimes',)
