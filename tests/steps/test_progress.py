"""Tests of the stored form of job progress."""

import json

import pytest

from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import TargetId, TaskKey, parse_task_key
from radishlift.steps.progress import (
    dump_progress,
    load_progress,
    max_progress_bytes,
)
from radishlift.steps.runs import JobState, TaskState
from tests.steps.builders import job, key, step


def test_progress_survives_a_takeover():
    run = job(step(3), step(1, depends_on=(0,)), max_attempts=4)
    for number in range(2):
        task = run.find_task(key(number))
        task.state = TaskState.placed
        task.attempt = 2
        task.target_id = TargetId('t5')
    run.state = JobState.running
    apply_end(run, key(0), 2, EndKind.done, '')
    apply_end(run, key(1), 2, EndKind.failed, 'c9')
    restored = job(step(3), step(1, depends_on=(0,)), max_attempts=4)
    load_progress(restored, dump_progress(run))
    assert dump_progress(restored) == dump_progress(run)
    assert restored.steps[0, 0].unfinished_count == 2
    assert restored.has_started
    assert restored.find_task(key(1)).failures_count == 1


@pytest.mark.parametrize('steps_count', [1, 40])
def test_progress_is_no_larger_than_what_is_expected_of_a_job(steps_count):
    """Guards against an accepted job that no leader can commit."""
    run = job(*(step(25, saves_checkpoints=True) for _ in range(steps_count)))
    for task in run.all_tasks():
        task.state = TaskState.placed
        task.attempt = 9999
        task.failures_count = 99
        task.target_id = TargetId('i-0123456789')
        task.checkpoint = 'c' * 60
    text = json.dumps(dump_progress(run), separators=(',', ':'))
    assert len(text) <= max_progress_bytes(run.spec)


def test_takeover_keeps_the_crashes_of_a_task():
    run = job(step(2))
    task = run.find_task(key(1))
    for attempt, kind in (
        (1, EndKind.maybe_crashed),
        (2, EndKind.crashed_alone),
    ):
        task.state = TaskState.placed
        task.attempt = attempt
        apply_end(run, key(1), attempt, kind, '')
    restored = job(step(2))
    load_progress(restored, dump_progress(run))
    assert [task.crashes_count for task in restored.all_tasks()] == [0, 2]
    assert restored.find_task(key(1)).confirmed_crashes_count == 1


def test_progress_of_an_earlier_version_is_loaded():
    run = job(step(2))
    tasks = [[1, 'w', 3, 2, '', 'c1']]
    load_progress(run, {'state': 'running', 'steps': [[0, 0, tasks]]})
    task = run.find_task(key(1))
    assert (task.attempt, task.failures_count) == (3, 2)
    assert (task.crashes_count, run.reason) == (0, '')


def test_reason_of_a_failed_job_is_stored():
    run = job()
    run.state = JobState.failed
    run.reason = 'why'
    plain = dump_progress(run)
    assert plain == {'state': 'failed', 'reason': 'why', 'steps': []}
    restored = job()
    load_progress(restored, plain)
    assert restored.reason == 'why'


def test_tasks_without_attempts_are_not_stored():
    assert dump_progress(job(step(60))) == {'state': 'queued', 'steps': []}


def test_only_the_state_of_an_ended_job_is_stored():
    run = job(step(1))
    task = run.find_task(key())
    task.state = TaskState.placed
    task.attempt = 1
    apply_end(run, key(), 1, EndKind.done, '')
    assert dump_progress(run) == {'state': 'completed', 'steps': []}


@pytest.mark.parametrize(
    'text', ['', 'a.b.c.d', 'a.1.2', 'a.1.2.3.4', 'a.1.2.-3']
)
def test_invalid_task_keys_are_rejected(text):
    assert parse_task_key(text) is None


def test_task_key_is_parsed_from_its_text():
    task_key = key(7, 2)
    assert isinstance(task_key, TaskKey)
    assert parse_task_key(str(task_key)) == task_key


def test_crash_of_a_gang_is_not_counted_again_after_a_takeover():
    run = job(step(2, is_gang=True))
    for member in run.steps[0, 0].tasks:
        member.state = TaskState.placed
        member.attempt = 1
    apply_end(run, key(0), 1, EndKind.crashed_alone, '')
    restored = job(step(2, is_gang=True))
    load_progress(restored, dump_progress(run))
    apply_end(restored, key(1), 1, EndKind.crashed_alone, '')
    assert restored.find_task(key(1)).crashes_count == 1
