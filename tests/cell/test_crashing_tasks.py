"""Tests of tasks that crash the targets that start them."""

import asyncio
from collections import Counter

import pytest

from radishlift.cell.tables import PROGRESS, TARGETS
from radishlift.core.logs import add_event_sink, remove_event_sink
from radishlift.steps.crashes import CRASH_REASON
from radishlift.steps.endings import EndKind
from radishlift.steps.settings import StepSettings
from tests.cell.fakes import SILENT
from tests.cell.leader import Cell
from tests.only import only
from tests.steps.builders import job, key, step

# The users' limit: three crashes, and fewer than three more starts.
MAX_CRASHES_COUNT = 5
STEP_SETTINGS = StepSettings(crash_window_ms=40)


@pytest.fixture
async def cell():
    cell = Cell('t1', 't2', 't3', 't4', step_settings=STEP_SETTINGS)
    yield cell
    await cell.close()


async def until_crashed(cell, count):
    await cell.until(lambda: len(cell.targets.crashed) == count)


def crashes_counts(cell, job_id):
    """Returns the stored crashes of each task that has any."""
    row = cell.store.tables.read(PROGRESS, job_id)
    crashes = (row.value or {}).get('crashes', ())
    return {number: count for _, _, number, count, _ in crashes}


def stored_attempt(cell, job_id):
    """Returns the stored attempt of a job's only task."""
    row = cell.store.tables.read(PROGRESS, job_id)
    return only(only(row.value['steps'])[-1])[2]


async def until_quiet(cell, name):
    """Waits until starts on a target are known to have been survived."""
    fake = cell.targets[name]
    await cell.until(lambda: bool(fake.running))
    await asyncio.sleep(2 * STEP_SETTINGS.crash_window_ms / 1000)
    # The second list from now on is requested after the window, and the third
    # after the leader has applied it.
    holds_count = fake.holds_count + 3
    await cell.until(lambda: fake.holds_count >= holds_count)


async def test_task_that_crashes_targets_is_given_up_after_two(cell):
    cell.targets.crashing.add(key())
    cell.lead()
    job_id = cell.submit(job())
    await cell.until(lambda: cell.state(job_id) == 'failed')
    assert len(cell.targets.crashed) == 2
    row = cell.store.tables.read(PROGRESS, job_id)
    assert row.value['reason'] == CRASH_REASON


async def test_crash_of_a_target_that_stays_away_is_counted(cell):
    cell.targets.restart_s = None
    cell.targets.crashing.add(key())
    cell.lead()
    job_id = cell.submit(job())
    for count in (1, 2):
        await until_crashed(cell, count)
        # The platform removes the entry of a target that stays away.
        cell.write(TARGETS, cell.targets.crashed[-1][0], None)
    await cell.until(lambda: cell.state(job_id) == 'failed')
    assert len(cell.targets.crashed) == 2


async def test_task_beside_a_crashing_one_completes(cell):
    cell.targets.crashing.add(key(0, job_id='a' * 16))
    cell.lead()
    bad = cell.submit(job(job_id='a' * 16))
    good = [cell.submit(job(step(2), job_id=name * 16)) for name in 'bcd']
    for job_id in good:
        await cell.until_state(job_id, 'completed')
    await cell.until_state(bad, 'failed')
    assert len(cell.targets.crashed) <= MAX_CRASHES_COUNT


async def test_jobs_of_two_crashing_tasks_are_both_given_up(cell):
    ids = [name * 16 for name in 'ab']
    cell.targets.crashing.update(key(job_id=job_id) for job_id in ids)
    cell.lead()
    for job_id in ids:
        cell.submit(job(job_id=job_id))
    await cell.until(lambda: {cell.state(name) for name in ids} == {'failed'})
    crashes = Counter(task_key for _, task_key in cell.targets.crashed)
    assert max(crashes.values()) <= MAX_CRASHES_COUNT


async def test_takeover_does_not_forget_crashes(cell):
    # The only target is removed, so that the takeover is between the first
    # and the second start.
    for name in ('t2', 't3', 't4'):
        cell.write_target(name, state='draining')
    cell.targets.restart_s = None
    cell.targets.crashing.add(key())
    first = cell.lead()
    job_id = cell.submit(job())
    await until_crashed(cell, 1)
    cell.write(TARGETS, 't1', None)
    await cell.until(lambda: crashes_counts(cell, job_id) == {0: 1})
    await cell.kill(first)
    assert len(cell.targets.crashed) == 1
    cell.targets.restart_s = 0.1
    cell.targets['t1'].is_unresponsive = False
    cell.write_target('t1')
    cell.lead()
    await cell.until(lambda: cell.state(job_id) == 'failed')
    assert len(cell.targets.crashed) == 2


async def test_crash_before_a_takeover_makes_suspects(cell):
    first = cell.lead()
    job_id = cell.submit(job())
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    name = only(cell.targets.running_tasks().values())
    await cell.kill(first)
    cell.write(TARGETS, name, None)
    cell.targets[name].is_unresponsive = True
    cell.lead()
    await cell.until(lambda: crashes_counts(cell, job_id) == {0: 1})
    await cell.until_state(job_id, 'completed')


@pytest.mark.parametrize('is_removed', [False, True])
async def test_crash_of_a_draining_target_counts_for_nobody(cell, is_removed):
    cell.lead()
    job_id = cell.submit(job())
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    name = only(cell.targets.running_tasks().values())
    cell.write_target(name, state='draining')
    await asyncio.sleep(0.02)
    cell.targets[name].restart()
    cell.targets[name].is_unresponsive = True
    if is_removed:
        cell.write(TARGETS, name, None)
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    assert not crashes_counts(cell, job_id)


async def test_crash_long_after_a_start_counts_for_nobody(cell):
    cell.lead()
    job_id = cell.submit(job())
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    name = only(cell.targets.running_tasks().values())
    await until_quiet(cell, name)
    cell.targets.crash(cell.targets[name])
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    assert not crashes_counts(cell, job_id)
    await cell.until_state(job_id, 'completed')


async def test_partitions_do_not_give_up_a_task(cell):
    cell.lead()
    job_id = cell.submit(job())
    lost = set()
    while len(lost) < 2:
        await asyncio.sleep(0.01)
        # The entries of these targets stay, and their processes run on.
        for name in cell.targets.running_tasks().values():
            cell.targets[name].is_unresponsive = True
            lost.add(name)
    await asyncio.sleep(0.8)
    assert cell.state(job_id) != 'failed'


async def test_task_that_no_target_ran_is_not_given_up(cell):
    cell.lead()
    await asyncio.sleep(0.2)
    for fake in cell.targets.by_id.values():
        fake.is_unresponsive = True
    job_id = cell.submit(job())
    await asyncio.sleep(1.5)
    assert cell.state(job_id) != 'failed'


async def until_running(cell):
    await cell.until(lambda: bool(cell.targets.running_tasks()))


async def crash_the_running_target(cell):
    await until_running(cell)
    name = only(cell.targets.running_tasks().values())
    cell.targets.crash(cell.targets[name])


async def test_task_that_survives_its_trial_is_no_suspect_any_more(cell):
    cell.lead()
    job_id = cell.submit(job())
    for _ in range(3):
        await crash_the_running_target(cell)
        await until_running(cell)
        await until_quiet(cell, only(cell.targets.running_tasks().values()))
        await crash_the_running_target(cell)
    await cell.until_state(job_id, 'completed')


async def test_gang_with_a_crashing_member_is_given_up(cell):
    cell.targets.crashing.add(key(3))
    cell.lead()
    job_id = cell.submit(job(step(6, is_gang=True)))
    other = cell.submit(job(step(2), job_id='b' * 16))
    await cell.until(lambda: cell.state(job_id) == 'failed')
    assert len(cell.targets.crashed) <= MAX_CRASHES_COUNT
    await cell.until_state(other, 'completed')
    await cell.until(lambda: not cell.targets.running_tasks())


async def crash_first_member(cell):
    """Crashes the target of a gang's first member; waits for its start."""
    await cell.until(lambda: len(cell.targets.running_tasks()) == 2)
    name = cell.targets.running_tasks()[key(0)]
    cell.targets.crash(cell.targets[name])
    await cell.until(lambda: len(cell.targets.running_tasks()) == 2)
    for running in set(cell.targets.running_tasks().values()):
        await until_quiet(cell, running)


async def test_member_that_survives_its_start_is_no_suspect_any_more(cell):
    """Guards against a gang that fails for crashes long apart."""
    cell.lead()
    job_id = cell.submit(job(step(2, cores=4, is_gang=True)))
    for _ in range(3):
        # The first crash is at a start, the second one is not.
        await crash_first_member(cell)
        assert not crashes_counts(cell, job_id)
        await crash_first_member(cell)
    await cell.until_state(job_id, 'completed')


async def test_other_tasks_of_a_given_up_job_are_stopped(cell):
    cell.targets.crashing.add(key(0))
    cell.lead()
    job_id = cell.submit(job(step(6)))
    await cell.until(lambda: cell.state(job_id) == 'failed')
    await cell.until(lambda: not cell.targets.running_tasks())


async def test_no_overcommit_with_trials(cell):
    ids = [f'{number:016x}' for number in range(12)]
    cell.targets.crashing.update(key(1, job_id=job_id) for job_id in ids[:2])
    cell.lead()
    for job_id in ids:
        cell.submit(job(step(3), job_id=job_id))
    async with asyncio.timeout(10):
        while any(cell.state(job_id) == 'queued' for job_id in ids):
            for fake in cell.targets.by_id.values():
                assert len(fake.running) <= 4
            cell.end_all(EndKind.done)
            await asyncio.sleep(0.003)
    states = [cell.state(job_id) for job_id in ids]
    assert states == ['failed', 'failed', *('completed' for _ in ids[2:])]


async def lead_with_a_suspect(cell):
    """Leads with a task that ran in one crash, and no target to start it on."""
    cell.write_target('t1', state='draining')
    job_id = cell.submit(job())
    cell.write(
        PROGRESS,
        job_id,
        {
            'state': 'queued',
            'steps': [[0, 0, [[0, 'w', 1, 0, '', '']]]],
            'crashes': [[0, 0, 0, 1, 1]],
        },
    )
    cell.lead()
    await cell.until(lambda: cell.targets['t1'].fencing_token == 1)
    # Targets without tasks are not polled once their clock is known.
    await asyncio.sleep(0.05)
    return job_id


@pytest.mark.parametrize('is_answered', [False, True])
async def test_silent_target_that_crashes_later_gives_up_no_task(is_answered):
    cell = Cell('t1', max_lease_ms=4000, step_settings=STEP_SETTINGS)
    fake = cell.targets['t1']
    fake.timeout_s = 0.06
    try:
        job_id = await lead_with_a_suspect(cell)
        fake.is_unresponsive = not is_answered
        cell.write_target('t1')
        await cell.until(
            lambda: bool(fake.started if is_answered else fake.late)
        )
        await asyncio.sleep(0)
        fake.is_unresponsive = True
        await asyncio.sleep(0.15)
        fake.restart()
        fake.is_unresponsive = False
        await cell.until(lambda: crashes_counts(cell, job_id) != {0: 1})
        assert cell.state(job_id) != 'failed'
        await cell.until_state(job_id, 'completed')
    finally:
        await cell.close()


async def test_task_that_runs_in_a_new_process_is_not_blamed_for_the_earlier():
    settings = StepSettings(crash_window_ms=100)
    cell = Cell('t1', max_lease_ms=4000, step_settings=settings)
    fake = cell.targets['t1']
    try:
        job_id = await lead_with_a_suspect(cell)
        # A target without tasks is not polled, so its restart is not noticed.
        fake.restart()
        cell.write_target('t1')
        await until_quiet(cell, 't1')
        fake.restart()
        await until_running(cell)
        assert cell.state(job_id) != 'failed'
        await cell.until_state(job_id, 'completed')
    finally:
        await cell.close()


async def test_takeover_does_not_try_a_task_again_that_survived_its_trial():
    cell = Cell('t1', step_settings=STEP_SETTINGS)
    try:
        job_id = await lead_with_a_suspect(cell)
        cell.write_target('t1')
        await until_running(cell)
        await cell.until(lambda: not crashes_counts(cell, job_id))
    finally:
        await cell.close()


async def test_suspect_that_runs_during_a_takeover_is_cleared():
    cell = Cell('t1', step_settings=STEP_SETTINGS)
    try:
        await lead_with_a_suspect(cell)
        cell.write_target('t1')
        await until_running(cell)
        # The first leader ends before its target has survived the start.
        await cell.kill(cell.terms[0])
        cell.lead()
        await cell.until(lambda: not crashes_counts(cell, 'a' * 16))
    finally:
        await cell.close()


async def test_takeover_does_not_restore_crashes_before_a_survived_trial(cell):
    """Guards against jobs that are given up for a crash long ago."""
    cell.targets.crashing.add(key())
    cell.lead()
    job_id = cell.submit(job())
    await until_crashed(cell, 1)
    cell.targets.crashing.clear()
    await cell.until(lambda: crashes_counts(cell, job_id) == {0: 1})
    await cell.until(lambda: key() in cell.targets.running_tasks())
    await cell.until(lambda: not crashes_counts(cell, job_id), within_s=1)


async def test_attempt_that_ran_on_after_a_takeover_clears_its_task(cell):
    """Guards against suspects that no later leader clears."""
    cell.targets.crashing.add(key())
    first = cell.lead()
    job_id = cell.submit(job())
    await until_crashed(cell, 1)
    cell.targets.crashing.clear()
    await cell.until(lambda: key() in cell.targets.running_tasks())
    await cell.kill(first)
    # The first leader may have stored that the target survived the start.
    progress = dict(cell.store.tables.read(PROGRESS, job_id).value)
    cell.write(PROGRESS, job_id, {**progress, 'crashes': [[0, 0, 0, 1, 1]]})
    cell.lead()
    await asyncio.sleep(0.3)
    attempt = stored_attempt(cell, job_id)
    await crash_the_running_target(cell)
    await cell.until(lambda: stored_attempt(cell, job_id) > attempt)
    assert not crashes_counts(cell, job_id)


async def test_task_that_silent_targets_never_began_is_not_given_up(
    monkeypatch,
):
    """Guards against blame for targets that return from a cut anew."""
    cell = Cell('t1', max_lease_ms=4000, step_settings=STEP_SETTINGS)
    fake = cell.targets['t1']

    async def time_out(*_):
        await asyncio.sleep(0.02)
        return SILENT

    try:
        job_id = await lead_with_a_suspect(cell)
        monkeypatch.setattr(cell.targets, 'start', time_out)
        monkeypatch.setattr(cell.targets, 'hold', time_out)
        cell.write_target('t1')
        await asyncio.sleep(0.03)
        monkeypatch.undo()
        fake.restart()
        await cell.until(lambda: crashes_counts(cell, job_id) != {0: 1})
        assert cell.state(job_id) != 'failed'
        await cell.until_state(job_id, 'completed')
    finally:
        await cell.close()


@pytest.mark.parametrize(
    ('has_crashes', 'expected_count'), [(False, 2), (True, 4)]
)
async def test_task_is_tried_more_often_while_targets_crash_anyway(
    cell, has_crashes, expected_count
):
    """Guards against jobs given up for crashes that no start explains."""
    cell.lead()
    other = cell.submit(job(step(4, cores=4), job_id='b' * 16))
    await cell.until(lambda: len(cell.targets.running_tasks()) == 4)
    for name in cell.targets.by_id:
        await until_quiet(cell, name)
    if has_crashes:
        for fake in cell.targets.by_id.values():
            cell.targets.crash(fake)
        await cell.until(lambda: len(cell.targets.running_tasks()) == 4)
    await cell.until_state(other, 'completed')
    cell.targets.crashing.add(key())
    job_id = cell.submit(job())
    await cell.until(lambda: cell.state(job_id) == 'failed')
    assert len(cell.targets.crashed) == expected_count


async def test_log_tells_which_crashes_gave_a_job_up(cell):
    """Guards against a failed job whose crashes nobody can look up."""
    logged = []

    def record(event, _, fields):
        if event == 'task_suspected':
            logged.append(fields)

    add_event_sink(record)
    try:
        cell.targets.crashing.add(key())
        cell.lead()
        job_id = cell.submit(job())
        await cell.until(lambda: cell.state(job_id) == 'failed')
    finally:
        remove_event_sink(record)
    assert [fields['confirmed_count'] for fields in logged] == [1, 2]
    for fields in logged:
        assert fields['process'] is not None
        assert 0 <= fields['delay_ms'] <= STEP_SETTINGS.crash_window_ms
        assert (fields['suspects_count'], fields['is_answered']) == (1, False)
