"""When tasks are likely to end, from the run times of their kind.

Declared run times are off by 0.2-5x and are not used. Only what tasks of the
same name took lately predicts an end, if they took about the same time.
"""

from bisect import bisect_right, insort
from collections import OrderedDict, deque
from typing import Final

MAX_NAMES_COUNT: Final = 500
"""Names that are kept, about 1 KB each; the longest unused is dropped."""
MAX_SAMPLES_COUNT: Final = 32
MIN_SAMPLES_COUNT: Final = 4
"""Fewer run times say too little."""

_QUARTERS_COUNT: Final = 4


class _Samples:
    """The latest run times of one name, also in ascending order."""

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
    """Run times of finished tasks by their name, in bounded memory."""

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
        """Returns the run time at which a task has ended most likely.

        That is the third quartile of the known run times above `elapsed_ms`.
        None if the two outer quartiles are more than `spread_ms` apart: a
        poll would then hardly find more than one at any other time.
        """
        samples = self._samples.get(name)
        if samples is None or len(samples.ordered) < MIN_SAMPLES_COUNT:
            return None
        run_times_ms = samples.ordered
        first_longer = bisect_right(run_times_ms, elapsed_ms)
        longer_count = len(run_times_ms) - first_longer
        if not longer_count:
            return None
        quarter_count = (longer_count - 1) // _QUARTERS_COUNT
        upper_ms = run_times_ms[len(run_times_ms) - 1 - quarter_count]
        if (
            upper_ms - run_times_ms[first_longer + quarter_count]
            > max_spread_ms
        ):
            return None
        return upper_ms


__all__ = (
    'MIN_SAMPLES_COUNT',
    'MAX_NAMES_COUNT',
    'MAX_SAMPLES_COUNT',
    'RunTimes',
)
