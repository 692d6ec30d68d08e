"""Tests of outages of the store, in virtual time."""

import asyncio

import pytest

from radishlift.cell.tables import JOBS
from radishlift.core.errors import Outcome
from radishlift.core.ids import JobId
from tests.cell.outage_cell import outage_cell
from tests.standins.tables import Fault, Tables
from tests.standins.virtual_time import run_virtual


def is_stored(tables, number):
    return bool(tables.read(JOBS, JobId(f'{number:016x}')).version)


def silence(daemons, *, is_silent):
    for daemon in daemons:
        daemon.store.is_silent = is_silent


@pytest.mark.parametrize('outage_s', [1.5, 2.5, 4.0, 8.0])
def test_silent_store_is_known_soon_and_its_return_as_well(outage_s):
    """Guards against an outage that lasts longer for callers than for us.

    Waits for single calls would take 1.8 s at its begin and again at its end.
    """

    async def play():
        tables = Tables()
        async with outage_cell(tables, 5) as daemons:
            silence(daemons, is_silent=True)
            # The first call without an answer starts the doubt.
            queries = [
                asyncio.create_task(daemon.service.read_status(JobId('0' * 16)))
                for daemon in daemons
            ]
            await asyncio.sleep(0.9)
            assert all(query.done() for query in queries)
            assert all(daemon.watch.is_lost for daemon in daemons)
            failure, took_ms = await daemons[0].submit(1)
            # Refused at once, and nothing was sent that may still arrive.
            assert failure.answer.outcome is Outcome.not_run
            assert took_ms < 50
            assert not any(daemon.store.sent for daemon in daemons)
            await asyncio.sleep(outage_s - 0.9)
            silence(daemons, is_silent=False)
            await asyncio.sleep(0.41)
            assert not any(daemon.watch.is_lost for daemon in daemons)
            assert (await daemons[0].submit(1))[0] is None
            # At most one probe in 150 ms, and fewer with time.
            assert daemons[0].store.probes_count <= 4 + 8 * outage_s

    run_virtual(play)


@pytest.mark.parametrize('outage_s', [1.0, 1.9, 2.4])
def test_write_in_flight_becomes_accepted_once_the_store_returns(outage_s):
    """Guards against 504 for callers whose job could still be stored."""

    async def play():
        tables = Tables()
        async with outage_cell(tables, 3) as daemons:
            silence(daemons, is_silent=True)
            pending = [
                asyncio.create_task(daemon.submit(number))
                for number, daemon in enumerate(daemons)
            ]
            await asyncio.sleep(outage_s)
            silence(daemons, is_silent=False)
            for number, task in enumerate(pending):
                failure, took_ms = await task
                assert failure is None
                assert took_ms < outage_s * 1000 + 450
                assert is_stored(tables, number)

    run_virtual(play)


def test_write_stays_unknown_while_the_store_is_silent():
    """Guards against 503 for a job that the store may still add."""

    async def play():
        async with outage_cell(Tables(), 3) as daemons:
            silence(daemons, is_silent=True)
            failure, took_ms = await daemons[0].submit(1)
            assert failure.answer.outcome is Outcome.unknown
            assert 2800 <= took_ms <= 3000

    run_virtual(play)


def test_daemon_that_is_cut_off_alone_uses_its_peers():
    """Guards against a caller that waits for a daemon without the store."""

    async def play():
        tables = Tables()
        async with outage_cell(tables, 4) as daemons:
            daemons[0].store.is_silent = True
            failure, took_ms = await daemons[0].submit(1)
            assert failure is None
            assert took_ms < 1000
            failure, took_ms = await daemons[0].submit(2)
            assert failure is None
            assert took_ms < 50
            assert is_stored(tables, 2)
            assert not any(daemon.watch.is_lost for daemon in daemons[1:])

    run_virtual(play)


@pytest.mark.parametrize('way_ms', [2, 120, 300])
def test_slow_store_raises_no_doubt(way_ms):
    """Guards against false alarms: a slow store still accepts jobs."""

    async def play():
        tables = Tables()
        async with outage_cell(tables, 3) as daemons:
            for daemon in daemons:
                daemon.store.way_s = way_ms / 1000
            for number in range(60):
                failure, took_ms = await daemons[number % 3].submit(number)
                assert failure is None
                assert took_ms <= 2 * way_ms + 2
                await asyncio.sleep(0.07)
                assert not any(daemon.watch.is_lost for daemon in daemons)
            writes_count = sum(len(daemon.store.sent) for daemon in daemons)
            probes_count = sum(daemon.store.probes_count for daemon in daemons)
            assert writes_count == 60
            assert probes_count <= 3 * writes_count
            if way_ms == 2:
                assert not probes_count

    run_virtual(play)


def test_refusal_of_one_call_is_not_an_outage():
    """Guards against a busy shard that stops all calls of a daemon."""

    async def play():
        async with outage_cell(Tables(), 1) as daemons:
            daemon = daemons[0]
            daemon.store.rejects_commits = True
            failure, _ = await daemon.submit(1)
            assert failure.answer.outcome is Outcome.not_run
            await asyncio.sleep(0.1)
            assert daemon.store.probes_count
            assert not daemon.watch.is_lost
            daemon.store.rejects_commits = False
            assert (await daemon.submit(1))[0] is None

    run_virtual(play)


def test_store_that_refuses_all_calls_is_lost_at_once():
    async def play():
        async with outage_cell(Tables(), 1) as daemons:
            daemon = daemons[0]
            daemon.store.fault = Fault.down
            await daemon.submit(1)
            await asyncio.sleep(0.05)
            assert daemon.watch.is_lost
            await asyncio.sleep(2)
            daemon.store.fault = Fault.none
            await asyncio.sleep(0.16)
            assert not daemon.watch.is_lost

    run_virtual(play)
