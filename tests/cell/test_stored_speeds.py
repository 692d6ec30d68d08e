"""Tests of the speeds that a leader stores for the next one."""

import asyncio

import pytest

from radishlift.cell import stored_speeds
from radishlift.cell.tables import COMMITS, SPEEDS_KEY
from radishlift.core.clock import BootClock, ManualClock
from radishlift.core.logs import add_event_sink, remove_event_sink
from radishlift.services.api import Row
from radishlift.steps.planner import Planner
from radishlift.steps.settings import StepSettings
from radishlift.steps.speeds import life_digest
from radishlift.steps.targets import TargetTable
from radishlift.steps.tickets import TicketTable
from tests.cell.leader import Cell
from tests.steps.builders import entry, job, step

FAST = 't3'
NAMES = ('t1', 't2', 't3', 't4')
URGENT = {'stretch': 1.5, 'objective_ms': 0}
PATIENT = {'stretch': 9, 'objective_ms': 60_000}


@pytest.fixture
async def cell(monkeypatch):
    monkeypatch.setattr(stored_speeds, '_WRITE_EVERY_MS', 10)
    cell = Cell(*NAMES, cores=8)
    yield cell
    await cell.close()


def stored(cell):
    row = cell.store.tables.read(COMMITS, SPEEDS_KEY)
    return (row.value or {}).get('speeds', {})


async def run_step(cell, number):
    """Runs a step whose tasks end sooner on the fast target."""
    count = 4 * len(NAMES)
    spec = step(count, cores=2, estimate_ms=60)
    cell.submit(job(spec, job_id=f'{number:016x}', **PATIENT))
    await cell.until(lambda: len(cell.targets.running_tasks()) == count)
    await asyncio.sleep(0.02)
    for name in sorted(NAMES, key=FAST.__ne__):
        for _ in range(4):
            cell.end_one(name)
        if name == FAST:
            await asyncio.sleep(0.06)
    await cell.until(lambda: not cell.targets.running_tasks())


async def test_the_next_leader_places_tight_steps_on_fast_targets(cell):
    """Guards against a takeover after which the speeds are learned anew."""
    term = cell.lead()
    number = 0
    while FAST not in stored(cell):
        number += 1
        assert number < 30
        await run_step(cell, number)
    await cell.kill(term)
    cell.targets[FAST].started.clear()
    cell.lead()
    await cell.until(
        lambda: all(
            cell.targets[name].fencing_token == cell.epoch for name in NAMES
        )
    )
    now_ms = BootClock().wall_ms()
    spec = step(2, estimate_ms=600)
    cell.submit(job(spec, job_id='f' * 16, accepted_at_ms=now_ms, **URGENT))
    await cell.until(lambda: len(cell.targets.running_tasks()) == 2)
    assert len(cell.targets[FAST].started) == 2


def test_loaded_speeds_are_not_replaced_before_they_are_used():
    """Guards against a second takeover that loses all speeds."""
    tables = TargetTable()
    planner = Planner(tables, TicketTable(), StepSettings())
    speeds = stored_speeds.StoredSpeeds(planner, tables, ManualClock())
    digest = life_digest(entry(FAST).life)
    pair = [50, digest]
    speeds.load(Row(COMMITS, SPEEDS_KEY, 1, {'speeds': {FAST: pair}}))
    assert not speeds.list_writes()
    tables.update(entry(FAST))
    planner.plan(0, 0)
    assert speeds.list_writes()


async def test_an_unreadable_row_is_ignored(cell):
    """Guards against a leader that does not start for a bad row."""
    events = []

    def record(event, _level, _fields):
        events.append(event)

    add_event_sink(record)
    cell.write(COMMITS, SPEEDS_KEY, {'speeds': {'t1': 'fast'}})
    cell.lead()
    cell.submit(job())
    await cell.until(lambda: len(cell.targets.running_tasks()) == 1)
    remove_event_sink(record)
    assert 'bad_speeds_row' in events


async def test_the_summary_of_speeds_is_logged(cell):
    """Guards against an event that is unknown, which would end the term."""
    events = []

    def record(event, _level, _fields):
        events.append(event)

    add_event_sink(record)
    cell.lead()
    await run_step(cell, 1)
    await cell.until(lambda: 'target_speeds' in events)
    remove_event_sink(record)
