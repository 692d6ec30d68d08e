"""Which targets a step prefers by their speed.

A step that would miss its objective on a slow target prefers fast ones, then
those of which nothing is known. Other steps leave fast ones to it: they prefer
usual targets, and slow ones on which they still meet their objective.
Differences within the dead band change nothing.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from radishlift.steps.ids import TargetId
from radishlift.steps.placing import TargetPreference, no_preference
from radishlift.steps.ranking import chain_estimate_ms, objective_at_ms
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.speeds import SpeedTable
from radishlift.steps.targets import Target

_REFRESH_MS: Final = 100

# Ranks of targets for one step, the lowest first.
_PREFERRED: Final = 0
_UNTRIED: Final = 0.5
_USABLE: Final = 1
_LAST: Final = 2


class SpeedPreferences:
    """Compares the factors of targets with their median.

    `fast_count` and `slow_count` are the numbers of targets whose factor is
    beyond the dead band.
    """

    def __init__(self, speeds: SpeedTable, settings: StepSettings) -> None:
        self._speeds = speeds
        self._settings = settings
        self._ratios: dict[TargetId, float] = {}
        self._untried: set[TargetId] = set()
        self._refreshed_at_ms = -_REFRESH_MS
        self.fast_count = 0
        self.slow_count = 0

    def expire(self) -> None:
        """Lets the next refresh read all factors."""
        self._refreshed_at_ms = -_REFRESH_MS

    @property
    def is_read(self) -> bool:
        """Returns whether the factors were read since they last expired."""
        return self._refreshed_at_ms >= 0

    def refresh(self, targets: Iterable[Target], now_ms: int) -> None:
        """Reads the factors of targets again if they are old."""
        if now_ms - self._refreshed_at_ms < _REFRESH_MS:
            return
        self._refreshed_at_ms = now_ms
        factors = self._speeds.refresh(
            [target.entry for target in targets], now_ms
        )
        self._untried = {
            target_id
            for target_id in factors
            if not self._speeds.is_known(target_id)
        }
        ordered = sorted(factors.values())
        median = ordered[len(ordered) // 2] if ordered else 1
        band = self._settings.speed_band_ratio
        self._ratios = {
            target_id: factor / median
            for target_id, factor in factors.items()
            if factor * band < median or factor > median * band
        }
        self.fast_count = sum(ratio < 1 for ratio in self._ratios.values())
        self.slow_count = len(self._ratios) - self.fast_count

    def ratio(self, target_id: TargetId) -> float:
        """Returns the run time on a target, relative to the median target.

        It is 1 within the dead band.
        """
        return self._ratios.get(target_id, 1)

    @property
    def ratios(self) -> Mapping[TargetId, float]:
        """Returns the ratios of targets beyond the dead band."""
        return self._ratios

    @property
    def best_ratio(self) -> float:
        """Returns the ratio of the fastest target."""
        return min(self._ratios.values(), default=1)

    @property
    def worst_ratio(self) -> float:
        """Returns the ratio of the slowest target."""
        return max(self._ratios.values(), default=1)

    def expected_run_ms(
        self, job: JobRun, step: StepRun, target_id: TargetId
    ) -> float:
        """Returns how long a task of a step probably takes on a target."""
        run_ms = self._speeds.expected_run_ms(
            job.terms.queue, step.spec.expected_run_ms
        )
        return self.ratio(target_id) * run_ms

    def for_step(
        self, job: JobRun, step: StepRun, wall_ms: int
    ) -> TargetPreference:
        """Returns the preference of a step at a Unix time in milliseconds."""
        if not self._ratios:
            return no_preference
        run_ms = self._speeds.expected_run_ms(
            job.terms.queue, step.spec.expected_run_ms
        )
        slack_ms = self._slack_ms(job, step, wall_ms, run_ms)
        if self._is_tight(slack_ms, run_ms):
            return self._prefer_fast
        # The longest run that still meets the objective.
        max_ratio = max(1, 1 + slack_ms / max(1, run_ms))

        def prefer_usual(target: Target) -> float:
            ratio = self._ratios.get(target.entry.target_id, 1)
            if ratio > max_ratio:
                return _LAST
            return _USABLE if ratio < 1 else _PREFERRED

        return prefer_usual

    def _prefer_fast(self, target: Target) -> float:
        ratio = self._ratios.get(target.entry.target_id, 1)
        if ratio < 1:
            return _PREFERRED
        if ratio > 1:
            return _LAST
        is_untried = target.entry.target_id in self._untried
        return _UNTRIED if is_untried else _USABLE

    def _is_tight(self, slack_ms: float, run_ms: float) -> bool:
        """Returns whether the objective depends on a fast target.

        A step that is late on any target is not tight.
        """
        gained_ms = run_ms * (1 - self.best_ratio)
        spare_ms = self._settings.tight_run_share * run_ms
        spare_ms += self._settings.tight_slack_ms
        return -gained_ms <= slack_ms < spare_ms

    def _slack_ms(
        self, job: JobRun, step: StepRun, wall_ms: int, run_ms: float
    ) -> float:
        """Returns how much longer the step may take than a usual run."""
        spec = step.spec
        own_ms = chain_estimate_ms(job, step.key.step)
        later_ms = max(0, own_ms - spec.estimate_ms)
        # The objective grows with the true run times, not the estimates.
        error_ms = run_ms - spec.estimate_ms
        objective_ms = objective_at_ms(job, step)
        objective_ms += int(job.terms.stretch * error_ms)
        return objective_ms - wall_ms - later_ms - run_ms


__all__ = ('SpeedPreferences',)
