"""Tests of cancellations that check the records of the workers.

Each test also runs a broken variant, which shows that its check can fail.
"""

import asyncio
import time

import pytest

from radishlift.core.errors import Failure
from radishlift.core.ids import JobId
from radishlift.partitions.job_commands import cancel, submit
from radishlift.placement.jobs import Priority, Resources
from radishlift.workers.dispatcher import Dispatcher
from tests.partitions import variants
from tests.partitions.cell import make_job, open_cell, wait_for_reports
from tests.standins.checks import overcommitted_workers
from tests.standins.conditions import until
from tests.standins.worker import Network

WHOLE_WORKER = Resources(30_000, 2_000)
URGENT_WAIT_MS = 1_800


@pytest.mark.parametrize(
    'variant', [Dispatcher, variants.TreatsUnconfirmedAsNotSent]
)
async def test_cancel_races_a_start(variant):
    """Guards against freed capacity that a late start still uses."""
    async with open_cell() as cell:
        worker = cell.workers[0]
        owner = await cell.add_owner('a', variant)
        await owner.claim()
        await wait_for_reports(cell.workers, 1)
        worker.set_network(Network.hold_starts)
        await submit(owner.partition(), make_job(demand=WHOLE_WORKER), 2000)
        await until(lambda: worker.waiting_count)
        await cancel(owner.partition(), JobId('j1'), 2000)
        await submit(
            owner.partition(), make_job('j2', demand=WHOLE_WORKER), 2000
        )
        await wait_for_reports(cell.workers, 3)
        worker.set_network(Network.normal)
        await until(lambda: cell.running())
        is_broken = variant is not Dispatcher
        await wait_for_reports(cell.workers, 5)
        assert bool(overcommitted_workers(cell.records())) is is_broken


@pytest.mark.parametrize('variant', [Dispatcher, variants.DropsOrders])
async def test_burst_of_cancellations(variant):
    """Guards against a burst that loses stops or delays urgent jobs."""
    async with open_cell(4, lease_ms=60_000, timeout_ms=5_000) as cell:
        owner = await cell.add_owner('a', variant)
        await owner.claim()
        partition = owner.partition()
        jobs = [make_job(f'j{number}') for number in range(10_000)]
        await asyncio.gather(*(submit(partition, job, 20_000) for job in jobs))
        await until(lambda: cell.running() == 120)
        cancellations = asyncio.gather(
            *(cancel(partition, job.job_id, 20_000) for job in jobs)
        )
        if variant is Dispatcher:
            urgent = make_job('urgent', priority=Priority.urgent)
            # Processor time is measured, as all daemons and workers run in
            # this process and wall time depends on the load of the machine.
            begin_s = time.process_time()
            await submit(partition, urgent, 20_000)
            await until(lambda: cell.executions() > 120)
            waited_ms = (time.process_time() - begin_s) * 1000
            assert waited_ms < URGENT_WAIT_MS
        outcomes = await cancellations
        assert not any(isinstance(outcome, Failure) for outcome in outcomes)
        if variant is Dispatcher:
            await until(lambda: cell.running() == 1)
            cell.check()
        else:
            assert cell.running() == 120
