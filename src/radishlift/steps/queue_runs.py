"""Learns how run times follow the estimates of a queue."""

import math
from typing import Final

# Steps over which the line of a queue is fitted, and the number of steps before
# which its estimates are taken as they are.
_FITTED_COUNT: Final = 200
_MIN_FITTED_COUNT: Final = 20
# Below this variance of the estimates' logarithms a slope is not known.
_MIN_ESTIMATE_VARIANCE: Final = 0.01
# Variance of estimates' errors in logarithms before ends are known, its
# minimum, and the largest residual that counts; rare tasks take much longer.
_STEP_VARIANCE: Final = 0.25
_MIN_STEP_VARIANCE: Final = 0.01
_MAX_RESIDUAL: Final = 1.5


class QueueRuns:
    """Line of the logarithm of run times over that of their estimates.

    It is a least-squares fit over recent steps. `step_variance` is the variance
    of the residuals.
    """

    def __init__(self) -> None:
        self._count = 0
        self._mean_estimate: float = 0
        self._mean_run: float = 0
        self._estimate_variance: float = 0
        self._covariance: float = 0
        self.step_variance = _STEP_VARIANCE

    def expected_log(self, estimate_ms: float) -> float:
        """Returns the expected logarithm of the run time in milliseconds."""
        log_estimate = math.log(estimate_ms)
        if self._count < _MIN_FITTED_COUNT:
            return log_estimate
        return self._mean_run + self._slope * (
            log_estimate - self._mean_estimate
        )

    def add(self, estimate_ms: float, log_run: float, residual: float) -> None:
        """Adds the logarithm of a step's run time, and its residual."""
        limited = max(-_MAX_RESIDUAL, min(_MAX_RESIDUAL, residual))
        # A tail must not move the line.
        log_run += limited - residual
        log_estimate = math.log(estimate_ms)
        self._count += 1
        gain = 1 / min(self._count, _FITTED_COUNT)
        above = log_estimate - self._mean_estimate
        self._mean_estimate += gain * above
        self._mean_run += gain * (log_run - self._mean_run)
        run_above = log_run - self._mean_run
        self._estimate_variance += gain * (
            above * above - self._estimate_variance
        )
        self._covariance += gain * (above * run_above - self._covariance)
        self.step_variance = max(
            _MIN_STEP_VARIANCE,
            self.step_variance
            + (limited * limited - self.step_variance) / _FITTED_COUNT,
        )

    def shift(self, offset: float) -> None:
        """Moves the line up by a difference of logarithms."""
        self._mean_run += offset

    @property
    def _slope(self) -> float:
        if self._estimate_variance < _MIN_ESTIMATE_VARIANCE:
            return 1
        return max(0, min(1, self._covariance / self._estimate_variance))


__all__ = ('QueueRuns',)
