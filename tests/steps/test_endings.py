"""Tests of the effects of an attempt's end."""

import pytest

from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import TargetId
from radishlift.steps.runs import JobState, TaskState
from tests.steps.builders import job, key, step


def place(run, *keys, attempt=1, target='t1'):
    for task_key in keys:
        task = run.find_task(task_key)
        task.state = TaskState.placed
        task.attempt = attempt
        task.target_id = TargetId(target)


def test_end_of_the_last_task_completes_the_job_and_unblocks_steps():
    run = job(step(2), step(1, depends_on=(0,)))
    place(run, key(0), key(1))
    apply_end(run, key(0), 1, EndKind.done, '')
    assert not run.steps[0, 1].is_unblocked
    apply_end(run, key(1), 1, EndKind.done, '')
    assert run.steps[0, 1].is_unblocked
    place(run, key(0, 1))
    apply_end(run, key(0, 1), 1, EndKind.done, '')
    assert run.state is JobState.completed


@pytest.mark.parametrize(
    'kind', [EndKind.stopped, EndKind.lapsed, EndKind.broken, EndKind.lost]
)
def test_interrupted_attempt_counts_no_failure_and_keeps_its_checkpoint(kind):
    run = job(step(1))
    place(run, key())
    assert apply_end(run, key(), 1, kind, 'c1')
    task = run.find_task(key())
    assert (task.state, task.failures_count) == (TaskState.waiting, 0)
    assert task.checkpoint == 'c1'


def test_failures_end_the_job_at_the_limit():
    run = job(step(1), max_attempts=2)
    for attempt in (1, 2):
        assert run.state is not JobState.failed
        place(run, key(), attempt=attempt)
        apply_end(run, key(), attempt, EndKind.failed, '')
    assert run.state is JobState.failed


@pytest.mark.parametrize('attempt', [1, 3])
def test_end_of_another_attempt_changes_nothing(attempt):
    run = job(step(1))
    place(run, key(), attempt=2)
    assert not apply_end(run, key(), attempt, EndKind.done, '')
    assert run.find_task(key()).state is TaskState.placed


def test_failure_reported_by_two_members_counts_once():
    run = job(step(3, is_gang=True), max_attempts=2)
    members = [key(number) for number in range(3)]
    place(run, *members)
    apply_end(run, members[0], 1, EndKind.failed, '')
    apply_end(run, members[1], 1, EndKind.failed, '')
    apply_end(run, members[2], 1, EndKind.broken, '')
    assert run.state is not JobState.failed
    assert {run.find_task(member).failures_count for member in members} == {1}


def test_done_member_completes_the_gang():
    run = job(step(3, is_gang=True))
    place(run, key(0), key(1), key(2))
    apply_end(run, key(1), 1, EndKind.done, '')
    assert run.state is JobState.completed


def test_members_of_a_gang_resume_from_the_same_checkpoint():
    run = job(step(2, is_gang=True))
    place(run, key(0), key(1))
    apply_end(run, key(0), 1, EndKind.stopped, 'c7')
    assert run.find_task(key(1)).checkpoint == 'c7'


def test_long_running_tasks_start_again_however_they_end():
    run = job(step(1, is_long_running=True), max_attempts=1)
    for attempt, kind in enumerate((EndKind.done, EndKind.failed), 1):
        place(run, key(), attempt=attempt)
        apply_end(run, key(), attempt, kind, '')
        assert run.find_task(key()).state is TaskState.waiting
    assert not run.is_ended
