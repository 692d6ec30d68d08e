"""Tests of a leader's sessions: targets that are lost, restart or come back."""

import asyncio
import time
from dataclasses import replace
from functools import partial
from itertools import pairwise

import pytest

from radishlift.cell.ports import StartVerdict, TargetRef
from radishlift.cell.tables import TARGETS
from radishlift.steps.endings import EndKind
from radishlift.steps.settings import StepSettings
from tests.cell.fakes import UNKNOWN
from tests.cell.leader import MAX_LEASE_MS, SETTINGS, Cell
from tests.steps.builders import job, key, step

OTHER_JOB = 'b' * 16
NEW_ADDRESS = '10.0.0.2:1'
# Attempts that have run for this long are not suspected of a crash.
STEP_SETTINGS = StepSettings(crash_window_ms=20)
CONFIRMED_S = 0.15
OLD_CLOCK_MS = 1_000_000
LONG_LEASE_MS = 600
DAY_MS = 86_400_000


@pytest.fixture
async def cell():
    cell = Cell('t1', step_settings=STEP_SETTINGS)
    cell.targets['t1'].clock_ms = OLD_CLOCK_MS
    yield cell
    await cell.close()


def attempts(cell, task_key):
    return [
        (name, order.attempt)
        for name, fake in cell.targets.by_id.items()
        for order in fake.started
        if order.key == task_key
    ]


def started_count(cell, task_key):
    return sum(
        order.key == task_key
        for fake in cell.targets.by_id.values()
        for order in fake.started
    )


async def restart_with_a_running_task(cell):
    """Restarts `t1` while a task runs; waits until it runs there again."""
    cell.lead()
    cell.submit(job())
    fake = cell.targets['t1']
    await cell.until(lambda: bool(fake.running))
    await asyncio.sleep(CONFIRMED_S)
    fake.restart()
    await cell.until(lambda: bool(fake.running))
    await asyncio.sleep(CONFIRMED_S)


async def test_target_lost_for_longer_than_its_lease_is_used_again(cell):
    cell.lead()
    cell.submit(job())
    await cell.until(lambda: bool(cell.targets['t1'].running))
    cell.targets['t1'].is_unresponsive = True
    cell.add_target('t2')
    await cell.until(lambda: bool(cell.targets['t2'].running))
    # Its lease has expired, so it has ended its task.
    cell.targets['t1'].running.clear()
    cell.targets['t1'].is_unresponsive = False
    cell.submit(job(step(6), job_id=OTHER_JOB))
    await cell.until(lambda: len(cell.targets.running_tasks()) == 7)


async def test_tasks_of_a_target_lost_after_its_restart_run_elsewhere(cell):
    await restart_with_a_running_task(cell)
    cell.targets['t1'].is_unresponsive = True
    cell.add_target('t2')
    await cell.until(lambda: bool(cell.targets['t2'].started))


async def test_lease_granted_on_the_clock_before_a_restart_is_waited_for():
    # A target shortens a lease that ends on its earlier clock to the longest.
    settings = replace(SETTINGS, lease_share=0.1)
    cell = Cell(
        't1',
        settings=settings,
        max_lease_ms=LONG_LEASE_MS,
        step_settings=STEP_SETTINGS,
    )
    cell.targets['t1'].clock_ms = OLD_CLOCK_MS
    try:
        await restart_with_a_running_task(cell)
        restarted_s = time.monotonic()
        cell.targets['t1'].is_unresponsive = True
        cell.add_target('t2')
        await cell.until(lambda: bool(cell.targets['t2'].started))
        assert time.monotonic() - restarted_s > LONG_LEASE_MS / 1000 * 0.8
    finally:
        await cell.close()


async def test_start_accepted_after_an_unnoticed_restart_keeps_its_lease(
    monkeypatch,
):
    settings = replace(SETTINGS, lease_share=0.1)
    cell = Cell('t1', settings=settings, max_lease_ms=LONG_LEASE_MS)
    fake = cell.targets['t1']
    fake.clock_ms = OLD_CLOCK_MS
    try:
        cell.lead()
        first_id = cell.submit(job())
        await cell.until_state(first_id, 'completed')
        # A target without tasks is not polled.
        await asyncio.sleep(0.1)
        fake.restart()

        async def fail_to_hold(target, order):
            return UNKNOWN

        monkeypatch.setattr(cell.targets, 'hold', fail_to_hold)
        cell.submit(job(job_id=OTHER_JOB))
        await cell.until(lambda: bool(fake.running))
        started_s = time.monotonic()
        monkeypatch.undo()
        fake.is_unresponsive = True
        cell.add_target('t2')
        await cell.until(lambda: bool(cell.targets['t2'].started))
        assert time.monotonic() - started_s > LONG_LEASE_MS / 1000
    finally:
        await cell.close()


async def test_longest_lease_of_an_earlier_leader_is_waited_for():
    settings = replace(SETTINGS, lease_share=0.1)
    cell = Cell('t1', settings=settings, max_lease_ms=LONG_LEASE_MS)
    fake = cell.targets['t1']
    try:
        first = cell.lead()
        cell.submit(job())
        await cell.until(lambda: bool(fake.running))
        await cell.kill(first)
        cell.lead()
        await cell.until(lambda: fake.fencing_token == cell.epoch)
        taken_over_s = time.monotonic()
        # The new leader's own leases are shorter.
        await asyncio.sleep(CONFIRMED_S)
        fake.is_unresponsive = True
        cell.add_target('t2')
        await cell.until(lambda: bool(cell.targets['t2'].started))
        assert time.monotonic() - taken_over_s > LONG_LEASE_MS / 1000
    finally:
        await cell.close()


async def test_cursor_of_an_earlier_life_acknowledges_no_end(cell):
    cell.lead()
    first_id = cell.submit(job(step(4)))
    await cell.until_state(first_id, 'completed')
    # A target without tasks is not polled, so its restart is not noticed.
    await asyncio.sleep(0.1)
    cell.targets['t1'].restart()
    cell.targets['t1'].instant_end = EndKind.done
    second_id = cell.submit(job(job_id=OTHER_JOB))
    await cell.until(lambda: cell.state(second_id) == 'completed')
    await asyncio.sleep(0.1)
    assert started_count(cell, key(job_id=OTHER_JOB)) == 1


@pytest.mark.parametrize('is_store_down', [False, True])
@pytest.mark.parametrize('has_takeover', [False, True])
async def test_ends_behind_the_first_pages_are_not_taken_for_lost_tasks(
    is_store_down, has_takeover
):
    """Guards against tasks that run again although they have ended."""
    settings = replace(SETTINGS, unconfirmed_ms=2000)
    cell = Cell('t1', cores=16, settings=settings)
    fake = cell.targets['t1']
    fake.page_ends = 3
    try:
        term = cell.lead()
        job_id = cell.submit(job(step(10)))
        await cell.until(lambda: len(fake.running) == 10)
        await asyncio.sleep(CONFIRMED_S)
        if has_takeover:
            await cell.kill(term)
        cell.store.rejects_commits = is_store_down
        cell.end_all()
        if has_takeover:
            cell.lead()
        # The lists are requested several times without an acknowledgement.
        await asyncio.sleep(0.3)
        cell.store.rejects_commits = False
        await cell.until(lambda: cell.state(job_id) == 'completed')
        assert len(fake.started) == 10
        await cell.until(lambda: len(fake.ended) < fake.page_ends)
    finally:
        await cell.close()


async def test_task_that_is_lost_beside_pages_of_ends_runs_again():
    cell = Cell('t1', cores=16)
    fake = cell.targets['t1']
    fake.page_ends = 3
    try:
        cell.lead()
        job_id = cell.submit(job(step(10)))
        await cell.until(lambda: len(fake.running) == 10)
        await asyncio.sleep(CONFIRMED_S)
        del fake.running[key(9)]
        cell.end_all()
        await cell.until(lambda: bool(fake.running))
        assert list(fake.running) == [key(9)]
        await cell.until_state(job_id, 'completed')
    finally:
        await cell.close()


async def test_lease_is_renewed_while_ends_wait_for_their_commit():
    cell = Cell('t1', settings=replace(SETTINGS, unconfirmed_ms=2000))
    try:
        cell.lead()
        cell.submit(job(step(2)))
        fake = cell.targets['t1']
        await cell.until(lambda: len(fake.running) == 2)
        cell.store.rejects_commits = True
        fake.end(key(0), EndKind.done)
        await asyncio.sleep(0.1)
        # Holds still carry the end of a lease while the store is down.
        fake.until_ms = 0
        await cell.until(lambda: fake.until_ms > 0, within_s=1)
    finally:
        await cell.close()


async def test_attempt_that_ended_before_its_commit_is_not_started():
    cell = Cell(
        't1',
        settings=replace(SETTINGS, unconfirmed_ms=2000),
        step_settings=STEP_SETTINGS,
    )
    try:
        cell.lead()
        # Keeps the session polling.
        cell.submit(job(job_id=OTHER_JOB))
        fake = cell.targets['t1']
        await cell.until(lambda: bool(fake.running))
        await asyncio.sleep(CONFIRMED_S)
        cell.store.rejects_commits = True
        cell.submit(job())
        await asyncio.sleep(0.1)
        fake.is_unresponsive = True
        # The lease expires, and the next attempt goes to the other target.
        cell.add_target('t2')
        await asyncio.sleep(0.6)
        fake.running.clear()
        fake.is_unresponsive = False
        cell.store.rejects_commits = False
        await cell.until(lambda: bool(cell.targets.running_tasks()))
        await asyncio.sleep(0.2)
        assert attempts(cell, key()) == [('t2', 2)]
    finally:
        await cell.close()


async def test_start_goes_to_no_target_that_was_lost_during_its_commit():
    cell = Cell(
        't1',
        settings=replace(SETTINGS, unconfirmed_ms=2000),
        max_lease_ms=6000,
    )
    try:
        cell.lead()
        # Keeps the session polling.
        cell.submit(job(job_id=OTHER_JOB))
        fake = cell.targets['t1']
        await cell.until(lambda: bool(fake.running))
        cell.store.rejects_commits = True
        cell.submit(job())
        await asyncio.sleep(0.1)
        fake.is_unresponsive = True
        cell.add_target('t2')
        await asyncio.sleep(0.1)
        cell.store.rejects_commits = False
        await cell.until(lambda: bool(cell.targets['t2'].running), within_s=2)
        assert not fake.late
    finally:
        await cell.close()


async def test_late_start_is_blocked_on_a_target_that_was_removed_meanwhile(
    cell,
):
    fake = cell.targets['t1']
    cell.lead()
    await cell.until(lambda: fake.fencing_token == 1)
    await asyncio.sleep(0.05)
    fake.is_unresponsive = True
    cell.submit(job())
    await cell.until(lambda: bool(fake.late))
    cell.add_target('t2')
    await cell.until(lambda: bool(cell.targets['t2'].running))
    cell.write(TARGETS, 't1', None)
    await asyncio.sleep(0.05)
    fake.until_ms = 0
    fake.is_unresponsive = False
    cell.write_target('t1')
    # A second job needs the target, so that its lease is renewed.
    cell.submit(job(step(6), job_id=OTHER_JOB))
    await cell.until(lambda: fake.until_ms > 0)
    assert fake.run(fake.late[0]) is StartVerdict.fenced


async def test_late_start_is_blocked_after_an_idle_target_has_restarted(cell):
    fake = cell.targets['t1']
    cell.lead()
    fake.loses_answers = True
    job_id = cell.submit(job())
    await cell.until(lambda: key() in fake.blocked)
    late = fake.started[0]
    fake.loses_answers = False
    await cell.until_state(job_id, 'completed')
    # A target without tasks is not polled.
    await asyncio.sleep(0.1)
    fake.restart()
    cell.write_target('t1', life=2)
    await cell.until(
        lambda: fake.fencing_token > late.fencing_token, within_s=1
    )
    assert fake.run(late) is StartVerdict.fenced


async def test_late_hold_hides_no_end_of_a_restarted_target(cell, monkeypatch):
    # The task that ended unseen would run again.
    fake = cell.targets['t1']
    hold = cell.targets.hold
    sent = []

    async def record_hold(target, order):
        sent.append(order)
        return await hold(target, order)

    monkeypatch.setattr(cell.targets, 'hold', record_hold)
    cell.lead()
    cell.submit(job(step(2)))
    await cell.until(lambda: len(fake.running) == 2)
    cell.end_one('t1')
    await cell.until(lambda: not fake.ended)
    acknowledged_count = len(sent)
    await cell.until(lambda: len(sent) > acknowledged_count)
    late = sent[-1]
    fake.restart()
    fake.running[key(5)] = 1
    fake.end(key(5), EndKind.done)
    assert (await hold(TargetRef('t1', ''), late)).ended


async def test_other_process_at_an_earlier_address_ends_no_task(
    cell, monkeypatch
):
    fake = cell.targets['t1']
    hold = cell.targets.hold
    is_moved = asyncio.Event()

    async def answer_at_the_earlier_address(target, order):
        if target.address == NEW_ADDRESS or not fake.running:
            return await hold(target, order)
        await is_moved.wait()
        return StartVerdict.other_process

    monkeypatch.setattr(cell.targets, 'hold', answer_at_the_earlier_address)
    cell.lead()
    cell.submit(job())
    await cell.until(lambda: bool(fake.running))
    await asyncio.sleep(0.05)
    cell.write_target('t1', address=NEW_ADDRESS)
    cell.add_target('t2')
    await asyncio.sleep(0.05)
    is_moved.set()
    await asyncio.sleep(0.2)
    assert attempts(cell, key()) == [('t1', 1)]


async def test_late_start_is_blocked_again_after_a_restart(cell):
    fake = cell.targets['t1']
    cell.lead()
    cell.submit(job(job_id=OTHER_JOB))
    await cell.until(lambda: bool(fake.running))
    fake.loses_answers = True
    cell.submit(job())
    # The unanswered start is blocked by a stop.
    await cell.until(lambda: key() in fake.blocked)
    late = next(order for order in fake.started if order.key == key())
    fake.loses_answers = False
    fake.rejection = StartVerdict.refused
    fake.restart()
    cell.add_target('t2')
    await cell.until(lambda: len(cell.targets['t2'].running) == 2)
    fake.rejection = None
    assert fake.run(late) is StartVerdict.fenced


async def test_poll_is_not_repeated_without_a_pause_while_a_stop_fails(
    monkeypatch,
):
    settings = replace(SETTINGS, hold_retry_ms=50)
    cell = Cell('t1', settings=settings, max_lease_ms=6000)
    try:
        cell.lead()
        fake = cell.targets['t1']
        await cell.until(lambda: fake.fencing_token == 1)
        await asyncio.sleep(0.05)

        async def fail_to_stop(*_):
            return UNKNOWN

        monkeypatch.setattr(cell.targets, 'stop', fail_to_stop)
        fake.is_unresponsive = True
        cell.submit(job())
        await cell.until(lambda: bool(fake.late))
        await asyncio.sleep(0.1)
        sent_at_s = []
        hold = cell.targets.hold

        async def record_hold(*args):
            sent_at_s.append(time.monotonic())
            return await hold(*args)

        monkeypatch.setattr(cell.targets, 'hold', record_hold)
        fake.is_unresponsive = False
        await asyncio.sleep(0.5)
        pauses_ms = [1000 * (after - at) for at, after in pairwise(sent_at_s)]
        # Timers may fire early by the resolution of the clock.
        assert min(pauses_ms) >= settings.hold_retry_ms - 1
    finally:
        await cell.close()


async def test_target_that_answers_no_start_gets_no_more_of_them():
    cell = Cell('t1', max_lease_ms=4000)
    try:
        cell.lead()
        first_id = cell.submit(job())
        await cell.until_state(first_id, 'completed')
        fake = cell.targets['t1']
        # A target without tasks is not polled, so only the start fails.
        await asyncio.sleep(0.1)
        fake.is_unresponsive = True
        cell.submit(job(job_id=OTHER_JOB))
        await cell.until(lambda: bool(fake.late))
        await asyncio.sleep(0.2)
        cell.submit(job(job_id='c' * 16))
        await asyncio.sleep(0.2)
        assert {order.key for order in fake.late} == {key(job_id=OTHER_JOB)}
    finally:
        await cell.close()


def raise_in_next(monkeypatch, cell, name):
    """Lets the next call of a kind to a target raise an exception."""
    send = getattr(cell.targets, name)

    async def raise_once(*args):
        monkeypatch.setattr(cell.targets, name, send)
        raise RuntimeError('unexpected')

    monkeypatch.setattr(cell.targets, name, raise_once)


@pytest.mark.parametrize('call', ['hold', 'start'])
async def test_call_that_raises_leaves_no_attempt_open_for_ever(
    cell, monkeypatch, call
):
    """The term may end instead: the next leader knows nothing of the call."""
    term = cell.lead()
    await cell.until(lambda: cell.targets['t1'].fencing_token == 1)
    raise_in_next(monkeypatch, cell, call)
    job_id = cell.submit(job())
    async with asyncio.timeout(1):
        while cell.state(job_id) != 'completed' and not term.done():
            cell.end_all()
            await asyncio.sleep(0.003)


async def test_stop_that_raises_is_repeated(cell, monkeypatch):
    """The term may end instead: the next leader stops the task."""
    term = cell.lead()
    job_id = cell.submit(job())
    fake = cell.targets['t1']
    await cell.until(lambda: bool(fake.running))
    raise_in_next(monkeypatch, cell, 'stop')
    cell.cancel(job_id)
    await cell.until(lambda: not fake.running or term.done(), within_s=1)


async def test_cursor_goes_to_no_later_address_of_a_target(cell, monkeypatch):
    # The ends of the process at the later address would be lost unread.
    fake = cell.targets['t1']
    hold = cell.targets.hold
    sent = []
    is_moved = asyncio.Event()

    async def answer_at_the_earlier_address(target, order):
        sent.append((target.address, order.ended_cursor))
        if target.address != NEW_ADDRESS and order.ended_cursor:
            await is_moved.wait()
            return StartVerdict.other_process
        return await hold(target, order)

    monkeypatch.setattr(cell.targets, 'hold', answer_at_the_earlier_address)
    cell.lead()
    cell.submit(job(step(2)))
    await cell.until(lambda: len(fake.running) == 2)
    cell.end_one('t1')
    await cell.until(lambda: bool(sent) and sent[-1][1] > 0)
    cell.write_target('t1', address=NEW_ADDRESS, life=2)
    await asyncio.sleep(0.05)
    is_moved.set()
    await cell.until(lambda: sent[-1][0] == NEW_ADDRESS)
    cursors = [cursor for address, cursor in sent if address == NEW_ADDRESS]
    assert cursors[0] == 0


async def test_start_answered_by_a_new_process_is_not_stopped(
    cell, monkeypatch
):
    # The list of the new process was made before the repeated start.
    fake = cell.targets['t1']
    hold, start = cell.targets.hold, cell.targets.start
    is_listed, is_started = asyncio.Event(), asyncio.Event()
    calls = []

    async def answer_list_late(target, order):
        report = await hold(target, order)
        if fake.incarnation == 2 and not is_listed.is_set():
            is_listed.set()
            await is_started.wait()
        return report

    async def restart_at_first_start(target, order):
        calls.append(order)
        if len(calls) == 1:
            fake.restart()
            return UNKNOWN
        if len(calls) == 2:
            await is_listed.wait()
        verdict = await start(target, order)
        is_started.set()
        await asyncio.sleep(0)
        return verdict

    cell.lead()
    await cell.until(lambda: fake.fencing_token == 1)
    await asyncio.sleep(0.05)
    monkeypatch.setattr(cell.targets, 'hold', answer_list_late)
    monkeypatch.setattr(cell.targets, 'start', restart_at_first_start)
    cell.submit(job())
    await cell.until(lambda: len(calls) > 1 and bool(fake.started))
    await asyncio.sleep(0.2)
    assert [order.attempt for order in fake.started] == [1]
    assert not fake.blocked


def record_calls(cell, monkeypatch):
    """Records the calls to targets, so that each can be carried out again."""
    sent = []

    def wrap(send):
        async def record(*args):
            sent.append(partial(send, *args))
            return await send(*args)

        return record

    for name in ('hold', 'start', 'stop'):
        send = getattr(cell.targets, name)
        monkeypatch.setattr(cell.targets, name, wrap(send))
    return sent


async def run_on_the_first_process(cell):
    """Lets a target run a task, end one and stop one."""
    ended_id = cell.submit(job(job_id='d' * 16))
    await cell.until_state(ended_id, 'completed')
    stopped_id = cell.submit(job(job_id=OTHER_JOB))
    await cell.until(lambda: bool(cell.targets['t1'].running))
    cell.cancel(stopped_id)
    await cell.until(lambda: not cell.targets['t1'].running)
    cell.submit(job())
    await cell.until(lambda: bool(cell.targets['t1'].running))
    await asyncio.sleep(CONFIRMED_S)


async def restart_until_it_runs(cell):
    fake = cell.targets['t1']
    fake.restart()
    await cell.until(lambda: bool(fake.running))


@pytest.mark.parametrize('is_cut_off', [False, True])
@pytest.mark.parametrize('restarts_count', [1, 2])
async def test_late_calls_to_an_earlier_process_have_no_effect(
    cell, monkeypatch, restarts_count, is_cut_off
):
    """Guards against leases, starts, stops and cursors of an earlier life."""
    sent = record_calls(cell, monkeypatch)
    cell.lead()
    await run_on_the_first_process(cell)
    late = tuple(sent)
    fake = cell.targets['t1']
    for _ in range(restarts_count):
        await restart_until_it_runs(cell)
    fake.is_cut_off = is_cut_off
    await asyncio.sleep(0.05)
    fake.is_cut_off = False
    assert {await call() for call in late} == {StartVerdict.fenced}


@pytest.mark.parametrize('has_restarted', [False, True])
async def test_late_calls_of_an_earlier_leader_have_no_effect(
    cell, monkeypatch, has_restarted
):
    sent = record_calls(cell, monkeypatch)
    fake = cell.targets['t1']
    first = cell.lead()
    await run_on_the_first_process(cell)
    if has_restarted:
        await restart_until_it_runs(cell)
    await cell.kill(first)
    late = tuple(sent)
    cell.lead()
    await cell.until(lambda: fake.fencing_token >= cell.epoch)
    assert {await call() for call in late} == {StartVerdict.fenced}


async def test_late_start_in_an_unfenced_process_is_noticed(cell, monkeypatch):
    """Guards against a task that starts anew beside its own late start."""
    fake = cell.targets['t1']
    hold = cell.targets.hold
    late = []

    async def start_behind_the_first_list(target, order):
        report = await hold(target, order)
        if target.target_id == 't1' and fake.incarnation == 2 and late:
            assert fake.run(late.pop()) is StartVerdict.started
        return report

    monkeypatch.setattr(cell.targets, 'hold', start_behind_the_first_list)
    cell.lead()
    cell.submit(job())
    await cell.until(lambda: bool(fake.running))
    await asyncio.sleep(CONFIRMED_S)
    late.append(fake.started[0])
    cell.add_target('t2')
    fake.restart()
    await cell.until(lambda: len(fake.started) > 1)
    await asyncio.sleep(CONFIRMED_S)
    assert attempts(cell, key()) == [('t1', 1), ('t1', 1)]


async def test_start_overtaken_by_a_later_call_is_repeated(cell, monkeypatch):
    """Guards against a term that ends because of its own raised token."""
    fake = cell.targets['t1']
    start = cell.targets.start
    tokens = []

    async def overtake_first(target, order):
        tokens.append(order.fencing_token)
        if len(tokens) == 1:
            cell.write_target('t1', life=2)
            await cell.until(lambda: fake.fencing_token > tokens[0])
        return await start(target, order)

    monkeypatch.setattr(cell.targets, 'start', overtake_first)
    term = cell.lead()
    cell.submit(job())
    await cell.until(lambda: bool(fake.running))
    assert tokens[1] > tokens[0]
    assert not term.done()


async def lose_target_with_a_late_start(cell, monkeypatch):
    """Starts a task twice on `t1`; returns the copy without an answer."""
    fake = cell.targets['t1']
    start = cell.targets.start
    late = []

    async def lose_first(target, order):
        if not late:
            late.append(order)
            return UNKNOWN
        return await start(target, order)

    monkeypatch.setattr(cell.targets, 'start', lose_first)
    cell.lead()
    cell.submit(job())
    await cell.until(lambda: bool(fake.running))
    await asyncio.sleep(CONFIRMED_S)
    fake.is_unresponsive = True
    cell.add_target('t2')
    # An open poll ends before the process does.
    await asyncio.sleep(0.05)
    return late[0]


async def test_late_start_of_a_process_that_no_call_has_reached_is_awaited(
    cell, monkeypatch
):
    """Guards against a task that a new process starts beside another one."""
    late = await lose_target_with_a_late_start(cell, monkeypatch)
    fake = cell.targets['t1']
    fake.restart()
    cell.write_target('t1', life=2)
    await asyncio.sleep(3 * MAX_LEASE_MS / 1000)
    assert fake.run(late) is StartVerdict.started
    fake.is_unresponsive = False
    await asyncio.sleep(CONFIRMED_S)
    assert attempts(cell, key()) == [('t1', 1), ('t1', 1)]


@pytest.mark.parametrize('is_listed', [False, True])
async def test_lost_task_starts_elsewhere_unless_a_new_process_may_start_it(
    cell, monkeypatch, is_listed
):
    """Guards against waits for processes that don't run."""
    await lose_target_with_a_late_start(cell, monkeypatch)
    if not is_listed:
        cell.targets['t1'].restart()
        cell.write_target('t1', life=2)
        cell.write(TARGETS, 't1', None)
    await cell.until(lambda: bool(cell.targets['t2'].running), within_s=2)


async def test_new_process_is_fenced_while_a_poll_is_open(cell, monkeypatch):
    """Guards against late calls until a poll that waits has timed out."""
    fake = cell.targets['t1']
    hold = cell.targets.hold
    is_stuck = asyncio.Event()

    async def stick(target, order):
        if not is_stuck.is_set() and fake.running:
            is_stuck.set()
            await asyncio.Event().wait()
        return await hold(target, order)

    monkeypatch.setattr(cell.targets, 'hold', stick)
    cell.lead()
    cell.submit(job())
    await cell.until(is_stuck.is_set)
    fake.restart()
    cell.write_target('t1', life=2)
    await cell.until(lambda: fake.fencing_token > 1, within_s=1)


@pytest.mark.parametrize('has_restarted', [False, True])
async def test_next_leader_awaits_a_task_from_before_a_restart(
    cell, monkeypatch, has_restarted
):
    """Guards against a late start of an earlier leader in a cut-off target."""
    fake = cell.targets['t1']
    accepted_at_ms = DAY_MS
    first = cell.lead()
    cell.submit(job(accepted_at_ms=accepted_at_ms))
    await cell.until(lambda: bool(fake.running))
    late = fake.started[0]
    await cell.kill(first)
    fake.is_unresponsive = True
    fake.restart()
    cell.write_target('t1', life=2 * DAY_MS if has_restarted else 1)
    cell.add_target('t2')
    cell.lead()
    await asyncio.sleep(6 * MAX_LEASE_MS / 1000)
    assert bool(cell.targets['t2'].running) is not has_restarted
    if has_restarted:
        assert fake.run(late) is StartVerdict.started
        fake.is_unresponsive = False
        await asyncio.sleep(CONFIRMED_S)
        assert not cell.targets['t2'].started
