"""Tests of the stored form of job progress."""

import pytest

from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import TargetId, TaskKey, parse_task_key
from radishlift.steps.progress import dump_progress, load_progress
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
