"""Tests of the learned speeds of targets."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from radishlift.core.ids import JobId
from radishlift.steps.ids import QueueName, StepKey, TargetIncarnation
from radishlift.steps.speeds import SpeedTable, life_digest
from radishlift.steps.step_run_times import TaskRunTime
from tests.steps.builders import entry

# Factors below are fast, and above not.
FAST_LIMIT = 0.75
USUAL_LIMIT = 0.85
SLOW_LIMIT = 1.6

QUEUE = QueueName('batch')
FAST = 0.55
USUAL = 1.2
HALF = 0.5


def by_label(target):
    return FAST if 'fast' in target.labels else USUAL


def no_difference(_):
    return 1


def fleet(count=40, **fields):
    return [entry(f't{number:02}', **fields) for number in range(count)]


class Runs:
    """Seeded run times of tasks on targets of known speeds."""

    def __init__(self, seed=1, tail_share=0.03):
        self.table = SpeedTable()
        self.random = random.Random(seed)
        self.tail_share = tail_share
        self.now_ms = 0
        self.steps_count = 0

    def end_step(self, targets, factor_of, bias=1, tasks_count=4):
        """Ends the tasks of a step whose estimate is wrong."""
        self.steps_count += 1
        step_key = StepKey(JobId(f'{self.steps_count:016x}'), 0, 0)
        run_ms = 540 * self.random.lognormvariate(0, 0.5)
        estimate_ms = run_ms / bias * self.random.uniform(0.1, 1.9)
        ends = sorted(
            (run_ms * self.draw_factor(factor_of(target)), target.target_id)
            for target in self.random.sample(targets, tasks_count)
        )
        by_id = {target.target_id: target for target in targets}
        for task_run_ms, target_id in ends:
            self.now_ms += 5
            run_time = TaskRunTime(
                step_key,
                QUEUE,
                tasks_count,
                int(estimate_ms) + 1,
                int(task_run_ms),
            )
            self.table.observe(by_id[target_id], run_time, self.now_ms)

    def draw_factor(self, target_factor):
        tail = 7 if self.random.random() < self.tail_share else 1
        return target_factor * self.random.uniform(0.85, 1) * tail


def is_fast(target):
    return int(target.target_id[1:]) % 4 == 0


def every_fourth(target):
    return FAST if is_fast(target) else USUAL


@settings(max_examples=10, deadline=None)
@given(seed=st.integers(0, 1000), bias=st.sampled_from((0.3, 1, 4)))
def test_fast_targets_are_found_despite_wrong_estimates_and_tails(seed, bias):
    """Guards against taking a queue's error or a rare tail for a speed."""
    targets = fleet()
    runs = Runs(seed)
    for _ in range(200):
        runs.end_step(targets, every_fourth, bias)
    factors = runs.table.refresh(targets, runs.now_ms)
    right_count = sum(
        (factors[target.target_id] < FAST_LIMIT) == is_fast(target)
        for target in targets
    )
    assert right_count >= 37


def test_factors_and_expected_runs_do_not_drift_in_common():
    """Guards against factors that rise while the queue's line falls.

    Tight steps would then be taken for short ones, and leave fast targets.
    """
    targets = fleet()
    runs = Runs()
    for _ in range(4000):
        runs.end_step(targets, every_fourth)
        runs.table.refresh(targets, runs.now_ms)
    expected_ms = runs.table.expected_run_ms(QUEUE, 540)
    assert 400 <= expected_ms <= 900


def test_a_target_that_turns_slow_is_believed_within_a_few_ends():
    """Guards against averages that hide a change for long."""
    targets = fleet()
    runs = Runs(tail_share=0)
    for _ in range(200):
        runs.end_step(targets, no_difference)
    turned = targets[0]

    def turned_slow(target):
        return 3 if target is turned else 1

    for _ in range(5):
        others = runs.random.sample(targets[1:], 3)
        runs.end_step([turned, *others], turned_slow)
    assert runs.table.factor(turned) > SLOW_LIMIT


def test_one_tail_changes_a_known_target_little():
    targets = fleet()
    runs = Runs(tail_share=0)
    for _ in range(200):
        runs.end_step(targets, no_difference)
    before = runs.table.factor(targets[0])
    step_key = StepKey(JobId('f' * 16), 0, 0)
    tail = TaskRunTime(step_key, QUEUE, 1, 540, 7 * 540)
    runs.table.observe(targets[0], tail, runs.now_ms)
    assert runs.table.factor(targets[0]) < 1.2 * before


def test_a_new_process_begins_from_the_targets_of_its_kind():
    """Guards against speeds of a process that has been replaced."""
    fast = fleet(20, labels=frozenset(('fast',)))
    others = [
        entry(f'u{number:02}', labels=frozenset(('usual',)))
        for number in range(20)
    ]
    runs = Runs(tail_share=0)
    for _ in range(300):
        runs.end_step([*fast, *others], by_label)
    runs.table.refresh([*fast, *others], runs.now_ms)
    restarted = entry(
        't00', labels=frozenset(('usual',)), life=TargetIncarnation(2)
    )
    assert runs.table.factor(fast[0]) < FAST_LIMIT
    assert runs.table.factor(restarted) > USUAL_LIMIT
    same_kind = entry('t99', labels=frozenset(('fast',)))
    assert runs.table.factor(same_kind) < USUAL_LIMIT


def test_nothing_is_known_without_ends():
    table = SpeedTable()
    assert set(table.refresh(fleet(), 0).values()) == {1}
    assert table.expected_run_ms(QUEUE, 700) == 700


def test_stored_factors_count_for_the_same_process_only():
    table = SpeedTable()
    known = entry('t1')
    table.load({known.target_id: (50, life_digest(known.life))})
    assert round(table.factor(known), 2) == HALF
    assert table.factor(entry('t1', life=TargetIncarnation(2))) == 1
