"""Tests which attempts are suspects when a target crashes."""

import pytest

from radishlift.steps.crashes import (
    give_up_repeated,
    lost_end_kind,
    mark_suspects,
)
from radishlift.steps.endings import EndKind, apply_end
from radishlift.steps.ids import TargetId
from radishlift.steps.runs import JobState, TaskState
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import Target
from tests.only import only
from tests.steps.builders import core, entry, job, key, step

SETTINGS = StepSettings(crash_window_ms=300, max_crashes_count=2)


def target_with_starts(**sent_at_ms) -> Target:
    """Returns a target; `a=5` is a start of task 0 of job `a` sent at 5 ms."""
    target = Target(entry('t1', 16))
    for name, sent_ms in sent_at_ms.items():
        task_key = key(job_id=name * 16)
        target.allocate(task_key, 1, core())
        if sent_ms is not None:
            target.record_start(task_key, 1, sent_ms)
    return target


def suspects(target, gangs=(), *, is_proven=True):
    marked = mark_suspects(target, set(gangs), SETTINGS, is_proven=is_proven)
    return [task_key.step_key.job_id[0] for task_key in marked]


def place(run, *keys, attempt=1):
    for task_key in keys:
        task = run.find_task(task_key)
        task.state = TaskState.placed
        task.attempt = attempt
        task.target_id = TargetId('t1')


def test_lost_targets_without_recent_starts_make_no_suspects():
    target = target_with_starts(a=0, b=100)
    target.record_answer(400)
    assert not suspects(target)
    assert lost_end_kind(target, key(job_id='a' * 16), 1) is EndKind.lost


def test_loss_behind_a_partition_is_not_attributed_to_a_lone_task():
    target = target_with_starts(a=0)
    target.confirm_start(key(job_id='a' * 16), 1)
    assert suspects(target, is_proven=False) == ['a']
    assert lost_end_kind(target, key(job_id='a' * 16), 1) is (
        EndKind.maybe_crashed
    )


@pytest.mark.parametrize(
    ('failed_at_ms', 'kind'),
    [
        (9, EndKind.maybe_crashed),
        (10, EndKind.crashed_alone),
        (310, EndKind.crashed_alone),
        (311, EndKind.maybe_crashed),
    ],
)
def test_task_is_not_blamed_for_a_crash_that_may_be_long_after_its_start(
    failed_at_ms, kind
):
    target = target_with_starts(a=10)
    target.record_failure(failed_at_ms)
    target.record_failure(320)
    # The repeated start may have found the attempt running.
    target.record_start(key(), 1, 330)
    target.confirm_start(key(), 1)
    assert suspects(target) == ['a']
    assert lost_end_kind(target, key(), 1) is kind


def test_inherited_task_is_not_blamed_for_a_crash_before_its_first_report():
    target = target_with_starts(a=0)
    only(target.allocations.values()).is_inherited = True
    assert suspects(target) == ['a']
    assert lost_end_kind(target, key(job_id='a' * 16), 1) is (
        EndKind.maybe_crashed
    )


def test_answer_to_a_call_sent_too_soon_clears_nothing():
    target = target_with_starts(a=0, b=100)
    target.record_answer(399)
    target.record_answer(350)
    assert suspects(target) == ['b']
    assert lost_end_kind(target, key(job_id='b' * 16), 1) is (
        EndKind.crashed_alone
    )


def test_attempt_that_was_never_sent_is_no_suspect():
    target = target_with_starts(a=10, b=None)
    assert suspects(target) == ['a']
    assert lost_end_kind(target, key(job_id='b' * 16), 1) is EndKind.lost


def test_crash_among_several_suspects_is_attributed_to_none():
    target = target_with_starts(a=10, b=20)
    target.confirm_start(key(job_id='a' * 16), 1)
    assert suspects(target) == ['a', 'b']
    kinds = [lost_end_kind(target, key(job_id=name * 16), 1) for name in 'ab']
    assert kinds == [EndKind.crashed, EndKind.maybe_crashed]


def test_members_of_one_gang_are_one_suspect():
    target = Target(entry('t1', 16))
    members = [key(0), key(1)]
    for member in members:
        target.allocate(member, 1, core())
        target.record_start(member, 1, 10)
    assert suspects(target, members) == ['a', 'a']
    assert lost_end_kind(target, key(1), 1) is EndKind.crashed_alone


def test_start_repeated_to_the_next_process_is_no_suspect():
    target = target_with_starts(a=10)
    suspects(target)
    target.record_start(key(), 1, 700)
    assert lost_end_kind(target, key(), 1) is EndKind.lost


@pytest.mark.parametrize(('first_sent_ms', 'found'), [(None, []), (10, ['a'])])
def test_start_without_a_connection_is_not_counted(first_sent_ms, found):
    target = target_with_starts(a=first_sent_ms)
    previous_ms = target.record_start(key(), 1, 20)
    target.retract_start(key(), 1, previous_ms)
    assert suspects(target) == found


def test_crash_of_an_earlier_attempt_is_not_that_of_the_latest():
    target = target_with_starts(a=10)
    suspects(target)
    assert lost_end_kind(target, key(), 2) is EndKind.lost


def crash(run, task_key, attempt, kind):
    place(run, task_key, attempt=attempt)
    apply_end(run, task_key, attempt, kind, '')
    return give_up_repeated(run, run.find_task(task_key), kind, SETTINGS)


@pytest.mark.parametrize(
    ('kinds', 'state'),
    [
        ([EndKind.crashed_alone], JobState.queued),
        ([EndKind.crashed, EndKind.crashed], JobState.queued),
        ([EndKind.maybe_crashed, EndKind.crashed_alone], JobState.queued),
        ([EndKind.crashed, EndKind.crashed_alone], JobState.failed),
        ([EndKind.crashed_alone, EndKind.crashed_alone], JobState.failed),
    ],
)
def test_only_a_repeated_crash_without_other_suspects_fails_the_job(
    kinds, state
):
    run = job()
    for attempt, kind in enumerate(kinds, 1):
        crash(run, key(), attempt, kind)
    assert run.state is state
    assert bool(run.reason) == run.is_ended


def test_cancelled_job_stays_cancelled():
    run = job()
    crash(run, key(), 1, EndKind.crashed_alone)
    place(run, key(), attempt=2)
    run.state = JobState.cancelled
    apply_end(run, key(), 2, EndKind.crashed_alone, '')
    task = run.find_task(key())
    assert not give_up_repeated(run, task, EndKind.crashed_alone, SETTINGS)
    assert (run.state, run.reason) == (JobState.cancelled, '')


@pytest.mark.parametrize('is_long_running', [False, True])
def test_normal_end_clears_a_suspect(is_long_running):
    run = job(step(1, is_long_running=is_long_running))
    crash(run, key(), 1, EndKind.crashed_alone)
    place(run, key(), attempt=2)
    apply_end(run, key(), 2, EndKind.failed, '')
    assert run.find_task(key()).crashes_count == 0
    assert not crash(run, key(), 3, EndKind.crashed_alone)


def test_long_running_task_is_given_up():
    run = job(step(1, is_long_running=True))
    assert not crash(run, key(), 1, EndKind.crashed_alone)
    assert crash(run, key(), 2, EndKind.crashed_alone)


def test_two_targets_of_a_gang_that_crash_at_once_count_once():
    run = job(step(2, is_gang=True))
    place(run, key(0), key(1))
    for number in range(2):
        apply_end(run, key(number), 1, EndKind.crashed_alone, '')
    counts = [run.find_task(key(number)).crashes_count for number in range(2)]
    assert counts == [1, 1]


def test_crashes_under_different_members_do_not_give_up_a_gang():
    """Guards against a gang that fails though no task had two crashes."""
    run = job(step(2, is_gang=True))
    for number in range(2):
        place(run, key(0), key(1), attempt=number + 1)
        assert not crash(run, key(number), number + 1, EndKind.crashed_alone)
    assert not run.is_ended
    place(run, key(0), attempt=3)
    assert crash(run, key(0), 3, EndKind.crashed_alone)


def test_failed_member_clears_no_other_member():
    """Guards against a member that crashes targets and is never given up."""
    run = job(step(2, is_gang=True))
    crash(run, key(0), 1, EndKind.crashed_alone)
    place(run, key(0), key(1), attempt=2)
    apply_end(run, key(1), 2, EndKind.failed, '')
    assert run.find_task(key(0)).crashes_count == 1


@pytest.mark.parametrize(
    ('is_answered', 'kind'),
    [(False, EndKind.maybe_crashed), (True, EndKind.crashed_alone)],
)
def test_start_that_may_never_have_begun_is_not_blamed(is_answered, kind):
    """Guards against jobs given up for starts that no target has read."""
    target = target_with_starts(a=10)
    target.record_unanswered(key(), 1, has_timed_out=True)
    target.record_failure(100)
    if is_answered:
        target.confirm_start(key(), 1)
    suspects(target)
    assert lost_end_kind(target, key(), 1) is kind


def test_target_that_fell_silent_did_not_crash_at_a_known_time():
    """Guards against blame for a time-out that ends shortly after a start."""
    target = target_with_starts(a=10)
    target.confirm_start(key(), 1)
    target.record_failure(100, has_timed_out=True)
    target.record_failure(110)
    suspects(target)
    assert lost_end_kind(target, key(), 1) is EndKind.maybe_crashed


@pytest.mark.parametrize(
    ('kinds', 'is_given_up'),
    [
        ('alone alone alone', False),
        ('alone alone alone alone', True),
        # A task may start only twice more after three crashes.
        ('maybe maybe alone alone', True),
    ],
)
def test_required_crashes_are_bounded(kinds, is_given_up):
    """Guards against a task that crashes targets without end."""
    named = {'alone': EndKind.crashed_alone, 'maybe': EndKind.maybe_crashed}
    run = job()
    for attempt, name in enumerate(kinds.split(), 1):
        place(run, key(), attempt=attempt)
        apply_end(run, key(), attempt, named[name], '')
        task = run.find_task(key())
        give_up_repeated(run, task, named[name], SETTINGS, required_count=4)
    assert run.is_ended is is_given_up
