"""Estimates of how long requests run, per service and urgency."""

from dataclasses import dataclass
from typing import Final

from radishlift.core.ids import ServiceName

_MEAN_GAIN: Final = 0.1
_DEVIATION_FACTOR: Final = 2
_TYPICAL_STEP_RATIO: Final = 1.4


@dataclass(slots=True)
class _Estimate:
    mean_ms: float
    deviation_ms: float
    typical_ms: float


class ServiceTimes:
    """Moving averages; classes that are not urgent share one."""

    def __init__(self) -> None:
        self._estimates: dict[tuple[ServiceName, int], _Estimate] = {}

    def observe(self, service: ServiceName, rank: int, run_ms: float) -> None:
        """Adds the time of a completed request."""
        estimate = self._estimates.get((service, rank))
        if estimate is None:
            self._estimates[service, rank] = _Estimate(run_ms, 0, run_ms)
            return
        error_ms = run_ms - estimate.mean_ms
        estimate.mean_ms += _MEAN_GAIN * error_ms
        deviation_error_ms = abs(error_ms) - estimate.deviation_ms
        estimate.deviation_ms += _MEAN_GAIN * deviation_error_ms
        if run_ms > estimate.typical_ms:
            estimate.typical_ms *= _TYPICAL_STEP_RATIO
        else:
            estimate.typical_ms /= _TYPICAL_STEP_RATIO
        # A time of 0 ms could not grow again by factors.
        estimate.typical_ms = max(1, estimate.typical_ms)

    def mean_ms(self, service: ServiceName, rank: int) -> float:
        """Returns the mean; 0 before the first completed request."""
        estimate = self._estimates.get((service, rank))
        return 0 if estimate is None else estimate.mean_ms

    def typical_ms(self, service: ServiceName, rank: int) -> float:
        """Returns about the median; 0 when unknown.

        Unlike the mean it hardly moves when one executor becomes slow, and
        it follows a change of the mix within about ten requests.
        """
        estimate = self._estimates.get((service, rank))
        return 0 if estimate is None else estimate.typical_ms

    def likely_ms(self, service: ServiceName, rank: int) -> float:
        """Returns a time that most requests keep; 0 when unknown."""
        estimate = self._estimates.get((service, rank))
        if estimate is None:
            return 0
        return estimate.mean_ms + _DEVIATION_FACTOR * estimate.deviation_ms


__all__ = ('ServiceTimes',)
