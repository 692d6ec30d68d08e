"""Tests of a complete leader: takeovers, lost targets, cancels and limits."""

import asyncio
import time
from contextlib import contextmanager

import pytest

from radishlift.cell.fences import last_token
from radishlift.cell.job_rows import load_job
from radishlift.cell.tables import (
    CANCELS,
    CELL,
    COMMITS,
    HEARTBEAT_KEY,
    JOBS,
    PROGRESS,
    TARGETS,
    UNRENEWED_KEY,
)
from radishlift.core.logs import add_event_sink, remove_event_sink
from radishlift.steps.endings import EndKind
from radishlift.steps.ids import FencingToken
from radishlift.steps.planner import Planner
from tests.cell.leader import MAX_LEASE_MS, Cell
from tests.only import only
from tests.standins.tables import Fault
from tests.steps.builders import ADVICE, job, key, step


@pytest.fixture
async def cell():
    cell = Cell('t1', 't2')
    yield cell
    await cell.close()


@contextmanager
def event_sink(sink):
    add_event_sink(sink)
    try:
        yield
    finally:
        remove_event_sink(sink)


def attempts(cell, task_key):
    return [
        (name, order.attempt)
        for name, fake in cell.targets.by_id.items()
        for order in fake.started
        if order.key == task_key
    ]


async def test_job_of_steps_runs_to_its_end(cell):
    cell.lead()
    job_id = cell.submit(job(step(3), step(2, depends_on=(0,))))
    await cell.until(lambda: len(cell.targets.running_tasks()) == 3)
    await cell.until_state(job_id, 'completed')
    started = [
        order for fake in cell.targets.by_id.values() for order in fake.started
    ]
    assert len(started) == 5
    assert {order.key.step_key.step for order in started[:3]} == {0}


async def test_advised_tasks_carry_their_ticket(cell):
    cell.advice.forbidden.add('t1')
    cell.lead()
    cell.submit(job(step(1), advice=ADVICE))
    await cell.until(lambda: bool(cell.targets['t2'].started))
    order = only(cell.targets['t2'].started)
    assert order.ticket == f'{key().step_key}@t2'


async def test_nothing_starts_before_it_is_committed(cell):
    cell.lead()
    await cell.until(lambda: cell.targets['t1'].fencing_token == 1)
    run = job()
    cell.submit(run)
    cell.store.fault = Fault.down
    await asyncio.sleep(0.05)
    assert not cell.targets.running_tasks()
    cell.store.fault = Fault.none
    await cell.until(lambda: bool(cell.targets.running_tasks()))


async def test_end_is_acknowledged_only_after_its_commit(cell):
    cell.lead()
    job_id = cell.submit(job())
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    cell.store.fault = Fault.down
    cell.end_all()
    await asyncio.sleep(0.06)
    assert any(fake.ended for fake in cell.targets.by_id.values())
    cell.store.fault = Fault.none
    await cell.until(lambda: cell.state(job_id) == 'completed')


async def test_next_leader_keeps_running_tasks(cell):
    cell.lead()
    job_id = cell.submit(job(step(4)))
    await cell.until(lambda: len(cell.targets.running_tasks()) == 4)
    cell.lead()
    await cell.until(lambda: cell.targets['t1'].fencing_token == cell.epoch)
    await asyncio.sleep(0.05)
    assert len(cell.targets.running_tasks()) == 4
    await cell.until_state(job_id, 'completed')
    assert len(attempts(cell, key(0))) == 1


async def test_next_leader_restarts_tasks_that_were_committed_but_not_sent(
    cell,
):
    for fake in cell.targets.by_id.values():
        fake.rejection = None
    first = cell.lead()
    await cell.until(lambda: cell.targets['t2'].fencing_token == 1)
    for fake in cell.targets.by_id.values():
        fake.is_unresponsive = True
    cell.submit(job())
    await cell.until(
        lambda: any(fake.late for fake in cell.targets.by_id.values())
    )
    await cell.kill(first)
    for fake in cell.targets.by_id.values():
        fake.is_unresponsive = False
    cell.lead()
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    _, attempt = only(attempts(cell, key()))
    assert attempt == 2


async def test_deposed_leader_ends_its_term(cell):
    first = cell.lead()
    await cell.until(lambda: cell.targets['t1'].fencing_token == 1)
    cell.lead()
    await asyncio.wait_for(first, 2)


async def test_unresponsive_target_loses_its_tasks_after_its_lease(cell):
    cell.lead()
    cell.submit(job())
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    name = only(cell.targets.running_tasks().values())
    other = {'t1': 't2', 't2': 't1'}[name]
    cell.targets[name].is_unresponsive = True
    await asyncio.sleep(0.1)
    assert not cell.targets[other].started
    await cell.until(lambda: bool(cell.targets[other].started))
    order = only(cell.targets[other].started)
    assert order.attempt == 2


async def test_tasks_of_a_target_removed_before_the_takeover_run_again(cell):
    first = cell.lead()
    cell.submit(job())
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    name = only(cell.targets.running_tasks().values())
    await cell.kill(first)
    cell.write(TARGETS, name, None)
    cell.targets[name].is_unresponsive = True
    other = {'t1': 't2', 't2': 't1'}[name]
    cell.lead()
    # The other target keeps writing heartbeats during this time.
    for _ in range(300):
        cell.write_target(other)
        await asyncio.sleep(0.005)
        if cell.targets[other].started:
            break
    assert cell.targets[other].started[0].attempt == 2


async def test_takeovers_do_not_delay_tasks_of_a_lost_target_forever(cell):
    term = cell.lead()
    cell.submit(job())
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    name = only(cell.targets.running_tasks().values())
    other = {'t1': 't2', 't2': 't1'}[name]
    await cell.kill(term)
    cell.write(TARGETS, name, None)
    cell.targets[name].is_unresponsive = True
    # Each term is shorter than the wait for the leases of earlier leaders.
    for _ in range(6):
        term = cell.lead()
        await asyncio.sleep(0.2)
        await cell.kill(term)
    assert cell.targets[other].started


async def test_slow_restore_keeps_the_stored_waits(cell, monkeypatch):
    read = cell.store.snapshot

    async def delay(table, *partial):
        if table == JOBS:
            await asyncio.sleep(0.2)
        return await read(table, *partial)

    monkeypatch.setattr(cell.store, 'snapshot', delay)
    stored = {'epoch': 0, 'remaining_ms': {'t3': 300}}
    cell.write(COMMITS, UNRENEWED_KEY, stored)
    cell.lead()
    await asyncio.sleep(0.1)
    row = cell.store.tables.read(COMMITS, UNRENEWED_KEY)
    assert row.value['epoch'] == last_token(FencingToken(1))
    assert 0 < row.value['remaining_ms']['t3'] < 300


async def test_heartbeat_does_not_replace_the_stored_waits_before_their_read(
    cell, monkeypatch
):
    read = cell.store.read
    snapshot = cell.store.snapshot

    async def delay_read(table, key):
        if key == UNRENEWED_KEY:
            await asyncio.sleep(0.1)
        return await read(table, key)

    async def delay_jobs(table, *partial):
        if table == JOBS:
            await asyncio.sleep(0.3)
        return await snapshot(table, *partial)

    monkeypatch.setattr(cell.store, 'read', delay_read)
    monkeypatch.setattr(cell.store, 'snapshot', delay_jobs)
    stored = {'epoch': 0, 'remaining_ms': {'t3': 300}}
    cell.write(COMMITS, UNRENEWED_KEY, stored)
    cell.lead()
    await asyncio.sleep(0.2)
    row = cell.store.tables.read(COMMITS, UNRENEWED_KEY)
    assert row.value['epoch'] == last_token(FencingToken(1))
    assert 0 < row.value['remaining_ms']['t3'] < 300


async def test_drained_target_that_has_left_frees_its_tasks_at_once():
    cell = Cell('t1', 't2', target_heartbeat_ms=1000)
    try:
        cell.lead()
        cell.submit(job())
        await cell.until(lambda: bool(cell.targets.running_tasks()))
        name = only(cell.targets.running_tasks().values())
        cell.write_target(name, state='draining')
        await asyncio.sleep(0.02)
        cell.targets[name].leave()
        cell.write(TARGETS, name, None)
        other = {'t1': 't2', 't2': 't1'}[name]
        await cell.until(lambda: bool(cell.targets[other].started), 0.15)
    finally:
        await cell.close()


@pytest.mark.parametrize('state', ['ready', 'draining'])
@pytest.mark.parametrize('is_history_dropped', [False, True])
async def test_removed_entry_of_a_running_target_starts_no_task_twice(
    cell, state, is_history_dropped
):
    # Entries expire while the store is down, also those of running targets.
    cell.lead()
    job_id = cell.submit(job(step(2)))
    await cell.until(lambda: len(cell.targets.running_tasks()) == 2)
    names = set(cell.targets.running_tasks().values())
    for name in names:
        cell.write_target(name, state=state)
    await asyncio.sleep(0.02)
    cell.store.is_history_dropped = is_history_dropped
    for name in names:
        cell.write(TARGETS, name, None)
    # The leases are renewed meanwhile.
    await asyncio.sleep(2 * MAX_LEASE_MS / 1000)
    cell.add_target('t3')
    await asyncio.sleep(0.05)
    assert len(cell.targets.running_tasks()) == 2
    assert [attempt for _, attempt in attempts(cell, key(0))] == [1]
    for name in names:
        cell.write_target(name, state=state)
    await cell.until_state(job_id, 'completed')
    assert [attempt for _, attempt in attempts(cell, key(1))] == [1]


async def test_silent_target_without_an_entry_keeps_its_tasks_for_its_lease():
    # The entry is missing because neither side reaches the store.
    cell = Cell('t1', max_lease_ms=600)
    try:
        cell.lead()
        cell.submit(job())
        await cell.until(lambda: bool(cell.targets.running_tasks()))
        cell.write_target('t1', state='draining')
        cell.add_target('t2')
        await asyncio.sleep(0.02)
        cell.targets['t1'].is_unresponsive = True
        cell.write(TARGETS, 't1', None)
        await asyncio.sleep(0.3)
        assert not cell.targets['t2'].started
        await cell.until(lambda: bool(cell.targets['t2'].started))
    finally:
        await cell.close()


async def test_refused_connection_to_a_target_without_entry_ends_no_task():
    # A network that rejects connections looks like a process that has ended.
    cell = Cell('t1', max_lease_ms=600)
    try:
        cell.lead()
        cell.submit(job())
        await cell.until(lambda: bool(cell.targets.running_tasks()))
        cell.add_target('t2')
        await asyncio.sleep(0.02)
        cell.write(TARGETS, 't1', None)
        cell.targets['t1'].is_cut_off = True
        await asyncio.sleep(0.3)
        assert not cell.targets['t2'].started
        await cell.until(lambda: bool(cell.targets['t2'].started))
    finally:
        await cell.close()


@pytest.mark.parametrize('has_outage', [False, True])
async def test_silent_target_frees_its_tasks_once_it_has_removed_its_entry(
    has_outage,
):
    # After an outage of the store the entry may have expired instead.
    cell = Cell('t1', max_lease_ms=1000, target_heartbeat_ms=1000)
    try:
        cell.lead()
        cell.submit(job())
        await cell.until(lambda: bool(cell.targets.running_tasks()))
        cell.write_target('t1', state='draining')
        cell.add_target('t2')
        await asyncio.sleep(0.05)
        if has_outage:
            cell.store.unreadable_tables.add(TARGETS)
            await asyncio.sleep(0.05)
        cell.targets['t1'].is_unresponsive = True
        cell.write(TARGETS, 't1', None)
        cell.store.unreadable_tables.clear()
        await asyncio.sleep(0.3)
        assert bool(cell.targets['t2'].started) is not has_outage
    finally:
        await cell.close()


@pytest.mark.parametrize('is_replaced', [False, True])
async def test_silent_target_that_has_not_left_keeps_its_tasks_for_its_lease(
    is_replaced,
):
    # Another writer's row is no write of the target, whose entry expires.
    cell = Cell('t1', max_lease_ms=1000, target_heartbeat_ms=200)
    try:
        cell.lead()
        cell.submit(job())
        await cell.until(lambda: bool(cell.targets.running_tasks()))
        remaining_ms = 0 if is_replaced else 60_000
        cell.write_target('t1', state='draining', remaining_ms=remaining_ms)
        cell.add_target('t2')
        if is_replaced:
            await asyncio.sleep(0.55)
            cell.write(TARGETS, 't1', {})
        await asyncio.sleep(0.05)
        cell.targets['t1'].is_unresponsive = True
        cell.write(TARGETS, 't1', None)
        await asyncio.sleep(0.3)
        assert not cell.targets['t2'].started
        await cell.until(lambda: bool(cell.targets['t2'].started))
    finally:
        await cell.close()


async def test_next_leader_waits_for_the_lease_of_a_target_without_an_entry():
    cell = Cell('t1', max_lease_ms=600)
    try:
        first = cell.lead()
        cell.submit(job())
        await cell.until(lambda: bool(cell.targets.running_tasks()))
        cell.write_target('t1', state='draining')
        await asyncio.sleep(0.02)
        await cell.kill(first)
        cell.write(TARGETS, 't1', None)
        cell.add_target('t2')
        cell.lead()
        await asyncio.sleep(0.3)
        assert not cell.targets['t2'].started
        # The entry is back before the lease expires.
        cell.write_target('t1', state='draining')
        await asyncio.sleep(0.6)
        assert not cell.targets['t2'].started
        assert len(cell.targets.running_tasks()) == 1
    finally:
        await cell.close()


@pytest.mark.parametrize('state', ['ready', 'draining'])
async def test_unreadable_entry_of_a_running_target_only_keeps_starts_off(
    state,
):
    """Guards against an entry of another writer that counts as a removal."""
    cell = Cell('t1', target_heartbeat_ms=1000)
    fake = cell.targets['t1']
    try:
        cell.lead()
        job_id = cell.submit(job(step(2)))
        await cell.until(lambda: len(fake.running) == 2)
        cell.write_target('t1', state=state)
        await asyncio.sleep(0.05)
        cell.write(TARGETS, 't1', {})
        await asyncio.sleep(0.05)
        cell.submit(job(job_id='b' * 16))
        await asyncio.sleep(2 * MAX_LEASE_MS / 1000)
        assert len(fake.started) == 2
        assert len(fake.running) == 2
        cell.write_target('t1')
        await cell.until(lambda: len(fake.started) == 3)
        await cell.until_state(job_id, 'completed')
        assert len(fake.started) == 3
    finally:
        await cell.close()


async def test_job_that_cannot_be_read_keeps_its_progress(cell):
    """Guards against a job that a later release can read and runs again."""
    bad = 'a' * 16
    done = {'state': 'completed', 'steps': []}
    cell.write(JOBS, bad, {})
    cell.write(PROGRESS, bad, done)
    cell.lead()
    good = cell.submit(job(job_id='b' * 16))
    await cell.until_state(good, 'completed')
    await asyncio.sleep(0.05)
    assert cell.store.tables.read(PROGRESS, bad).value == done


async def test_target_that_leaves_after_its_tasks_is_forgotten(cell):
    cell.lead()
    job_id = cell.submit(job())
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    name = only(cell.targets.running_tasks().values())
    cell.write_target(name, state='draining')
    await asyncio.sleep(0.02)
    cell.write(TARGETS, name, None)
    removed = []
    with event_sink(
        lambda event, _, fields: removed.extend(
            [fields['target']] if event == 'target_removed' else ()
        )
    ):
        await cell.until_state(job_id, 'completed')
        await cell.until(lambda: removed == [name])


async def test_tasks_of_a_restarted_target_run_again(cell):
    cell.lead()
    job_id = cell.submit(job(step(1)))
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    name = only(cell.targets.running_tasks().values())
    fake = cell.targets[name]
    fake.running.clear()
    fake.ended.clear()
    fake.blocked.clear()
    fake.ended_count = 0
    fake.incarnation = 2
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    await cell.until_state(job_id, 'completed')


async def test_cancel_stops_running_tasks(cell):
    cell.lead()
    job_id = cell.submit(job(step(2)))
    await cell.until(lambda: len(cell.targets.running_tasks()) == 2)
    cell.cancel(job_id)
    await cell.until(lambda: cell.state(job_id) == 'cancelled')
    await cell.until(lambda: not cell.targets.running_tasks())


async def test_cancel_before_a_takeover_applies_after_it(cell):
    job_id = cell.submit(job())
    cell.cancel(job_id)
    cell.lead()
    await cell.until(lambda: cell.state(job_id) == 'cancelled')
    assert not cell.targets.running_tasks()


async def test_job_that_arrives_after_its_cancel_does_not_run(cell):
    # A daemon of an earlier release inserts it all the same.
    cell.lead()
    cell.cancel('a' * 16)
    await asyncio.sleep(0.05)
    late = cell.submit(job(job_id='a' * 16))
    other = cell.submit(job(job_id='b' * 16))
    await cell.until_state(other, 'completed')
    await cell.until(lambda: cell.state(late) == 'cancelled')
    assert not attempts(cell, key(job_id=late))


async def test_next_leader_starts_nothing_before_it_knows_the_cancels(
    cell, monkeypatch
):
    """Guards against starts of cancelled jobs right after a takeover."""
    snapshot = cell.store.snapshot

    async def delay(table, *partial):
        if table == CANCELS:
            await asyncio.sleep(0.2)
        return await snapshot(table, *partial)

    monkeypatch.setattr(cell.store, 'snapshot', delay)
    cancelled = cell.submit(job(job_id='a' * 16))
    cell.cancel(cancelled)
    other = cell.submit(job(job_id='b' * 16))
    cell.lead()
    await cell.until_state(other, 'completed')
    assert not attempts(cell, key(job_id=cancelled))


async def test_job_that_always_fails_ends_after_its_attempts(cell):
    cell.lead()
    job_id = cell.submit(job(step(1), max_attempts=3))
    await cell.until_state(job_id, 'failed', EndKind.failed)
    assert len(attempts(cell, key())) == 3


async def test_interrupted_gang_runs_again_as_a_whole(cell):
    cell.lead()
    job_id = cell.submit(job(step(4, is_gang=True)))
    await cell.until(lambda: len(cell.targets.running_tasks()) == 4)
    name = cell.targets.running_tasks()[key(0)]
    cell.targets[name].end(key(0), EndKind.failed)
    await cell.until(
        lambda: (
            sorted(
                attempt
                for fake in cell.targets.by_id.values()
                for attempt in fake.running.values()
            )
            == [2, 2, 2, 2]
        )
    )
    await cell.until_state(job_id, 'completed')


async def test_no_target_is_overcommitted_under_a_backlog(cell):
    cell.lead()
    ids = [cell.submit(job(step(3), job_id=f'{n:016x}')) for n in range(20)]
    for _ in range(1000):
        if all(cell.state(job_id) == 'completed' for job_id in ids):
            break
        for fake in cell.targets.by_id.values():
            assert len(fake.running) <= 4
        cell.end_all()
        await asyncio.sleep(0.003)
    started = [
        order for fake in cell.targets.by_id.values() for order in fake.started
    ]
    assert len(started) == 60
    assert {cell.state(job_id) for job_id in ids} == {'completed'}


async def test_late_orders_of_a_deposed_leader_do_nothing(cell):
    first = cell.lead()
    await cell.until(lambda: cell.targets['t2'].fencing_token == 1)
    for fake in cell.targets.by_id.values():
        fake.is_unresponsive = True
    cell.submit(job())
    await cell.until(
        lambda: any(fake.late for fake in cell.targets.by_id.values())
    )
    await cell.kill(first)
    late = [
        (fake, order)
        for fake in cell.targets.by_id.values()
        for order in fake.late
    ]
    for fake in cell.targets.by_id.values():
        fake.is_unresponsive = False
    cell.lead()
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    for fake, order in late:
        fake.run(order)
    assert len(cell.targets.running_tasks()) == 1


async def test_job_with_invalid_progress_is_not_run(cell):
    bad = cell.submit(job(job_id='a' * 16))
    cell.write(PROGRESS, bad, {'state': 'strange', 'steps': []})
    cell.lead()
    good = cell.submit(job(job_id='b' * 16))
    await cell.until_state(good, 'completed')
    assert not attempts(cell, key(job_id=bad))
    assert cell.state(bad) == 'strange'


async def test_failed_session_does_not_leave_its_target_unused(
    cell, monkeypatch
):
    async def fail(target, order):
        raise ValueError('malformed report')

    monkeypatch.setattr(cell.targets, 'hold', fail)
    await asyncio.wait_for(cell.lead(), 1)


async def test_next_leader_shows_earlier_counts_until_it_has_read_the_jobs(
    cell,
):
    """Guards against a count of 0 while jobs wait, right after a takeover."""

    def heartbeat():
        return cell.store.tables.read(CELL, HEARTBEAT_KEY).value or {}

    run = job()
    for target in cell.targets.by_id.values():
        target.is_unresponsive = True
    cell.submit(run)
    counts = {run.terms.queue: 1}
    first_term = cell.lead()
    await cell.until(lambda: heartbeat().get('pending') == counts)
    await cell.kill(first_term)
    cell.store.unreadable_tables = {JOBS}
    term = cell.lead()
    await cell.until(lambda: heartbeat().get('epoch') == cell.epoch)
    jobs = cell.leader_terms[-1].scheduler.jobs
    assert heartbeat()['pending'] == counts
    assert jobs.heartbeat_fields() == {'pending': counts}
    cell.store.unreadable_tables = set()
    await cell.until(lambda: run.spec.job_id in jobs)
    assert jobs.heartbeat_fields() == {'pending': counts}
    assert not term.done()


async def test_task_whose_end_is_known_does_not_start_in_a_new_process(cell):
    """Guards against a repeated start that runs a completed job again."""
    fake = cell.targets['t1']
    fake.loses_answers = True
    cell.targets.answer_s = 0.1
    cell.lead()
    job_id = cell.submit(job())
    await cell.until_state(job_id, 'completed')
    started = list(fake.started)
    fake.restart()
    await asyncio.sleep(0.3)
    assert fake.started == started
    assert not fake.running


def _count_heartbeats(cell):
    return sum(
        write.key == HEARTBEAT_KEY
        for transaction in cell.store.tables.history
        for write in transaction.writes
    )


async def test_heartbeats_go_on_while_many_jobs_are_added(cell, monkeypatch):
    """Guards against a new leader that loses the lead while it loads jobs."""

    def load_slowly(plain):
        time.sleep(0.01)
        return load_job(plain)

    monkeypatch.setattr('radishlift.cell.leader_term.load_job', load_slowly)
    jobs = [cell.submit(job(job_id=f'{number:016x}')) for number in range(40)]
    cell.lead()
    await cell.until(lambda: bool(cell.targets.running_tasks()))
    # Heartbeats are due every 20 ms, and the jobs take 400 ms.
    assert _count_heartbeats(cell) > 8
    await cell.until_state(jobs[-1], 'completed')


async def test_heartbeats_go_on_while_steps_are_planned(cell, monkeypatch):
    """Guards against a leader that loses the lead while it plans."""
    plan_step = Planner._plan_step

    def plan_slowly(*arguments):
        time.sleep(0.01)
        plan_step(*arguments)

    monkeypatch.setattr(Planner, '_plan_step', plan_slowly)
    for number in range(40):
        cell.submit(job(step(cores=9), job_id=f'{number:016x}'))
    cell.lead()
    await asyncio.sleep(0.5)
    before = _count_heartbeats(cell)
    await asyncio.sleep(0.5)
    assert _count_heartbeats(cell) - before > 8
