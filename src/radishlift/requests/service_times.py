"""Estimates of the run times of requests, by service and urgency."""

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
    """Moving averages by service and rank.

    All classes that are not urgent have the same rank.
    """

    def __init__(self) -> None:
        self._estimates: dict[tuple[ServiceName, int], _Estimate] = {}

    def observe(self, service: ServiceName, rank: int, run_ms: float) -> None:
        """Adds the run time of a completed request."""
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
        # An estimate of 0 ms could not grow again by factors.
        estimate.typical_ms = max(1, estimate.typical_ms)

    def mean_ms(self, service: ServiceName, rank: int) -> float:
        """Returns the mean; 0 before the first completed request."""
        estimate = self._estimates.get((service, rank))
        return 0 if estimate is None else estimate.mean_ms

    def typical_ms(self, service: ServiceName, rank: int) -> float:
        """Returns an estimate of the median; 0 if unknown.

        Unlike the mean it hardly changes when one executor becomes slow, and
        it follows a change of the traffic within about ten requests.
        """
        estimate = self._estimates.get((service, rank))
        return 0 if estimate is None else estimate.typical_ms

    def likely_ms(self, service: ServiceName, rank: int) -> float:
        """Returns a time within which most requests end; 0 if unknown."""
        estimate = self._estimates.get((service, rank))
        if estimate is None:
            return 0
        return estimate.mean_ms + _DEVIATION_FACTOR * estimate.deviation_ms


__all__ = ('ServiceTimes',)
