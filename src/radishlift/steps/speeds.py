"""Learns how long targets take for tasks, compared with each other.

The factor of a target is its run time of a task divided by that of a usual
target: 0.5 is twice as fast. Run times are compared in logarithms:

    ln(run) = f(ln(estimate)) + step + target + noise

- `f` is a line per queue, fitted to the ends of its tasks. Estimates may be
  wrong for a whole queue, and so rough that run times barely depend on them.
- `step` is the error of the estimate that all tasks of a step share. For each
  target it is the mean residual of the other targets of the step; tasks on the
  same target tell nothing about it.
- `target` is the logarithm of the factor. It is a Kalman filter with one
  state per target, whose variance grows with time.

A target without ends has the mean of the targets that share its labels,
shrunk towards neutral. A residual beyond two standard deviations is clipped,
because a few tasks take many times as long; a second one of the same sign in
succession opens the filter, so that a change is believed within a few ends.
"""

import math
import statistics
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from radishlift.steps.ids import QueueName, TargetId, TargetIncarnation
from radishlift.steps.queue_runs import QueueRuns
from radishlift.steps.step_run_times import (
    CollectedSteps,
    StepRunTimes,
    TaskRunTime,
    common_errors,
)
from radishlift.steps.targets import TargetEntry

# Variances of logarithms: of the factors of different targets, of factors that
# a previous leader has stored, of the run times of one step on the same target,
# and by how much that of a factor grows per second.
_PRIOR_VARIANCE: Final = 0.12
_STORED_VARIANCE: Final = 0.03
_TASK_VARIANCE: Final = 0.04
_DRIFT_PER_S: Final = 0.002
_CLIP_DEVIATIONS: Final = 2
# Number of targets with a label for which its mean counts half.
_LABEL_TARGETS_COUNT: Final = 8
_MS_PER_S: Final = 1000


@dataclass(slots=True)
class _Learned:
    life: TargetIncarnation
    labels: frozenset[str]
    log_factor: float
    variance: float
    updated_at_ms: int
    outlier_sign: int = 0

    def update(self, measured: float, variance: float, now_ms: int) -> None:
        """Adds a measured logarithm of the factor with its variance."""
        passed_s = max(0, now_ms - self.updated_at_ms) / _MS_PER_S
        self.updated_at_ms = now_ms
        self.variance = min(
            _PRIOR_VARIANCE, self.variance + _DRIFT_PER_S * passed_s
        )
        residual = measured - self.log_factor
        if self._is_outlier(residual, variance):
            sign = 1 if residual > 0 else -1
            if sign == self.outlier_sign:
                self.variance = _PRIOR_VARIANCE
            self.outlier_sign = sign
        else:
            self.outlier_sign = 0
        limit = self._limit(variance)
        gain = self.variance / (self.variance + variance)
        self.log_factor += gain * max(-limit, min(limit, residual))
        self.variance *= 1 - gain

    def _is_outlier(self, residual: float, variance: float) -> bool:
        return abs(residual) > self._limit(variance)

    def _limit(self, variance: float) -> float:
        return _CLIP_DEVIATIONS * math.sqrt(self.variance + variance)


_End = tuple[_Learned, float]
"""A target and the logarithm of a run time relative to the expected one."""


@dataclass(slots=True)
class _LabelMeans:
    """Means of the factors' logarithms by label."""

    sums: dict[str, float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def add(self, learned: _Learned) -> None:
        """Adds a target with ends."""
        for label in learned.labels:
            self.sums[label] = self.sums.get(label, 0) + learned.log_factor
            self.counts[label] = self.counts.get(label, 0) + 1

    def prior(self, labels: frozenset[str]) -> float:
        """Returns the expected logarithm of the factor of a new target."""
        means = [
            self.sums.get(label, 0)
            / (self.counts.get(label, 0) + _LABEL_TARGETS_COUNT)
            for label in labels
        ]
        return sum(means) / len(means) if means else 0


class SpeedTable:
    """The factors of all targets; times are monotonic milliseconds.

    A new process at a target's address and changed labels discard what was
    learned of it. `observed_count` is the number of run times so far.
    """

    def __init__(self) -> None:
        self._learned: dict[TargetId, _Learned] = {}
        self._queues: dict[QueueName, QueueRuns] = {}
        self._steps = CollectedSteps()
        self._label_means = _LabelMeans()
        self._loaded: dict[TargetId, tuple[int, int]] = {}
        self.observed_count = 0

    def observe(
        self, entry: TargetEntry, run_time: TaskRunTime, now_ms: int
    ) -> None:
        """Learns from the run time of a task on a target."""
        if run_time.estimate_ms <= 0 or run_time.run_ms <= 0:
            return
        self.observed_count += 1
        step = self._steps.add(entry, run_time, now_ms)
        if step is not None:
            self._learn(step, now_ms)

    def refresh(
        self, entries: Iterable[TargetEntry], now_ms: int
    ) -> dict[TargetId, float]:
        """Returns the factors of targets; forgets all other targets.

        Moves the median factor to 1. Only ratios of run times are measured, so
        that all factors could otherwise drift in common.
        """
        for step in self._steps.pop_due(now_ms):
            self._learn(step, now_ms)
        listed = list(entries)
        kept = {
            entry.target_id: learned
            for entry in listed
            if (learned := self._find(entry)) is not None
        }
        self._center(list(kept.values()))
        means = _LabelMeans()
        for learned in kept.values():
            means.add(learned)
        self._learned = kept
        self._label_means = means
        return {entry.target_id: self.factor(entry) for entry in listed}

    def factor(self, entry: TargetEntry) -> float:
        """Returns the run time on a target, relative to a usual target."""
        learned = self._find(entry)
        if learned is not None:
            return math.exp(learned.log_factor)
        return math.exp(self._prior(entry))

    def is_known(self, target_id: TargetId) -> bool:
        """Returns whether a run time on a target is known, or was stored."""
        return target_id in self._learned or target_id in self._loaded

    def expected_run_ms(self, queue: QueueName, estimate_ms: int) -> float:
        """Returns how long a usual target probably takes for a task.

        It is the estimate until enough tasks of the queue have ended.
        """
        runs = self._queues.get(queue)
        if runs is None or estimate_ms <= 0:
            return estimate_ms
        return math.exp(runs.expected_log(estimate_ms))

    def load(self, factors: Mapping[TargetId, tuple[int, int]]) -> None:
        """Loads the factors that a previous leader has stored.

        They are pairs of a factor in percent and a digest of the process.
        """
        self._loaded = dict(factors)

    def _learn(self, step: StepRunTimes, now_ms: int) -> None:
        """Learns from the run times of a step."""
        first = step.ends[0][1]
        queue = self._queues.setdefault(first.queue, QueueRuns())
        expected_log = queue.expected_log(first.estimate_ms)
        ends = [
            (self._learned_of(entry, now_ms), log_run - expected_log)
            for entry, log_run in step.median_logs()
        ]
        residual = statistics.median(_residuals(ends))
        _compare(ends, queue.step_variance, now_ms)
        queue.add(
            first.estimate_ms,
            expected_log + statistics.median(_residuals(ends)),
            residual,
        )

    def _learned_of(self, entry: TargetEntry, now_ms: int) -> _Learned:
        learned = self._find(entry)
        if learned is None:
            learned = self._begin(entry, now_ms)
            self._learned[entry.target_id] = learned
        return learned

    def _center(self, learned: list[_Learned]) -> None:
        if not learned:
            return
        offset = statistics.median(target.log_factor for target in learned)
        for target in learned:
            target.log_factor -= offset
        for queue in self._queues.values():
            queue.shift(offset)

    def _find(self, entry: TargetEntry) -> _Learned | None:
        learned = self._learned.get(entry.target_id)
        if learned is None:
            return None
        known = learned.life, learned.labels
        return learned if known == (entry.life, entry.labels) else None

    def _begin(self, entry: TargetEntry, now_ms: int) -> _Learned:
        stored = self._stored_log(entry)
        if stored is None:
            prior = self._label_means.prior(entry.labels)
            variance = _PRIOR_VARIANCE
        else:
            prior, variance = stored, _STORED_VARIANCE
        return _Learned(entry.life, entry.labels, prior, variance, now_ms)

    def _prior(self, entry: TargetEntry) -> float:
        stored = self._stored_log(entry)
        return (
            self._label_means.prior(entry.labels) if stored is None else stored
        )

    def _stored_log(self, entry: TargetEntry) -> float | None:
        """Returns the logarithm of a stored factor of the same process."""
        percent, digest = self._loaded.get(entry.target_id, (0, 0))
        if percent <= 0 or digest != life_digest(entry.life):
            return None
        return math.log(percent / 100)


def _residuals(ends: list[_End]) -> list[float]:
    return [log_run - learned.log_factor for learned, log_run in ends]


def _compare(ends: list[_End], step_variance: float, now_ms: int) -> None:
    """Updates the targets of a step by comparing them with each other."""
    prior_weight = _TASK_VARIANCE / step_variance
    errors = common_errors(_residuals(ends), prior_weight)
    variance = _TASK_VARIANCE / (len(ends) - 1 + prior_weight)
    for (learned, log_run), error in zip(ends, errors, strict=True):
        learned.update(log_run - error, variance + _TASK_VARIANCE, now_ms)


def life_digest(life: TargetIncarnation) -> int:
    """Returns a short digest that tells processes of a target apart."""
    return life % 997


__all__ = ('SpeedTable', 'life_digest')
