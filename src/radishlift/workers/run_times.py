"""Predicts when tasks end from recent run times of tasks of the same name.

Declared run times are wrong by a factor of 0.2 to 5 and are not used. An end
is predicted only if recent tasks of the same name took similar times.
"""

from bisect import bisect_right, insort
from collections import OrderedDict, deque
from typing import Final

MAX_NAMES_COUNT: Final = 500
"""Names that are kept, about 1 KB each; the least recently used is dropped."""
MAX_SAMPLES_COUNT: Final = 32
MIN_SAMPLES_COUNT: Final = 4
"""With fewer run times no end is predicted."""

_QUARTERS_COUNT: Final = 4


class _Samples:
    """Recent run times of one name, by age and in ascending order."""

    __slots__ = ('latest', 'ordered')

    def __init__(self) -> None:
        self.latest: deque[int] = deque()
        self.ordered: list[int] = []

    def add(self, run_ms: int) -> None:
        if len(self.latest) == MAX_SAMPLES_COUNT:
            self.ordered.remove(self.latest.popleft())
        self.latest.append(run_ms)
        insort(self.ordered, run_ms)


class RunTimes:
    """Recent run times of finished tasks by task name, in bounded memory."""

    def __init__(self) -> None:
        self._samples: OrderedDict[str, _Samples] = OrderedDict()

    def __len__(self) -> int:
        return len(self._samples)

    def observe(self, name: str, run_ms: int) -> None:
        """Adds the run time of a task that has finished."""
        samples = self._samples.setdefault(name, _Samples())
        self._samples.move_to_end(name)
        samples.add(run_ms)
        if len(self._samples) > MAX_NAMES_COUNT:
            self._samples.popitem(last=False)

    def likely_end_ms(
        self,
        name: str,
        elapsed_ms: int,
        max_spread_ms: int,
    ) -> int | None:
        """Returns the run time by which a task has probably ended.

        This is the third quartile of the known run times above `elapsed_ms`.
        Returns None if the first and third quartiles are more than
        `max_spread_ms` apart: a poll at that time would then be hardly more
        likely to find the end than a poll at any other time.
        """
        samples = self._samples.get(name)
        if samples is None or len(samples.ordered) < MIN_SAMPLES_COUNT:
            return None
        run_times_ms = samples.ordered
        longer_index = bisect_right(run_times_ms, elapsed_ms)
        longer_count = len(run_times_ms) - longer_index
        if not longer_count:
            return None
        quarter_count = (longer_count - 1) // _QUARTERS_COUNT
        upper_ms = run_times_ms[len(run_times_ms) - 1 - quarter_count]
        if (
            upper_ms - run_times_ms[longer_index + quarter_count]
            > max_spread_ms
        ):
            return None
        return upper_ms


__all__ = (
    'MAX_NAMES_COUNT',
    'MAX_SAMPLES_COUNT',
    'MIN_SAMPLES_COUNT',
    'RunTimes',
)
