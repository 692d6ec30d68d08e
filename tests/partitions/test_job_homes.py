"""Homes of job ids while the set of partitions changes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from radishlift.config.document import Partition
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.ids import ConfigVersion, JobId, PartitionId
from radishlift.partitions.homes import generate_job_id
from radishlift.partitions.messages import JobStatus, JobSubmitted
from tests.partitions.cell import (
    OTHER_PARTITION,
    PARTITION,
    Cell,
    Owner,
    make_job,
    open_cell,
)
from tests.standins.conditions import until, until_after
from tests.standins.tables import Fault, MemoryTableStore

ADDED = PartitionId('p3')
LATER = PartitionId('p4')
JOB_IDS = [f'j{number}' for number in range(12)] + ['p3.wash', 'p4.wash']


@asynccontextmanager
async def open_cell_with_added_partitions() -> AsyncIterator[
    tuple[Cell, Owner, Owner]
]:
    """Opens two daemons; only the second knows the added partitions."""
    async with open_cell() as cell:
        await cell.add_worker(rack='r2')
        first = await cell.add_owner('a')
        document = cell.document
        cell.document = replace(
            document,
            version=ConfigVersion(2),
            partitions={
                **document.partitions,
                ADDED: Partition(('r3',)),
                LATER: Partition(('r4',)),
            },
        )
        second = await cell.add_owner('b')
        await first.claim(PARTITION)
        await first.claim(OTHER_PARTITION)
        await second.claim(ADDED)
        await second.claim(LATER)
        for owner in (first, second):
            for partition_id in (PARTITION, OTHER_PARTITION, ADDED, LATER):
                await owner.lookup.refresh(partition_id)
        yield cell, first, second


async def test_repeated_job_id_runs_once_when_partitions_are_added():
    """Guards against a job that runs in its old and its new home."""
    async with open_cell_with_added_partitions() as (cell, first, second):
        for job_id in JOB_IDS:
            accepted = await first.router.submit(make_job(job_id), 2_000)
            assert isinstance(accepted, JobSubmitted), accepted
            repeated = await second.router.submit(make_job(job_id), 2_000)
            assert repeated == accepted
        await until(lambda: cell.executions() == len(JOB_IDS))
        cell.check()


async def test_generated_id_names_its_partition_or_is_refused():
    """Guards against a generated id that is hashed by a daemon.

    This happens if the daemon does not know the partition in the id yet.
    """
    async with open_cell() as cell:
        first = await cell.add_owner('a')
        await first.claim(PARTITION)
        await first.claim(OTHER_PARTITION)
        job_id = generate_job_id(ADDED)
        refused = await first.router.submit(make_job(job_id), 100)
        assert isinstance(refused, Failure)
        assert refused.kind is ErrorKind.no_owner
        assert refused.answer.outcome is Outcome.not_run
        await first.claim(ADDED)
        await first.lookup.refresh(ADDED)
        accepted = await first.router.submit(make_job(job_id), 2_000)
        assert isinstance(accepted, JobSubmitted), accepted
        assert accepted.partition_id == ADDED


@pytest.mark.parametrize('job_id', ['j1', 'p1.job'])
async def test_given_id_is_refused_until_the_homes_are_known(job_id):
    """Guards against a wrong home if the store is down when a daemon starts."""
    async with open_cell() as cell:
        first = await cell.add_owner('a')
        await first.claim(PARTITION)
        await first.claim(OTHER_PARTITION)
        store = MemoryTableStore(cell.store.tables)
        store.fault = Fault.down
        late = await cell.add_owner('b', store=store)
        refused = await late.router.submit(make_job(job_id), 100)
        assert isinstance(refused, Failure)
        assert refused.kind is ErrorKind.store_unavailable
        assert 'not known yet' in refused.reason
        job_status = await late.router.status(JobId(job_id), 100)
        assert isinstance(job_status, Failure)
        assert job_status.kind is ErrorKind.store_unavailable
        assert not cell.executions()


async def test_home_without_racks_hands_its_jobs_off():
    """Guards against jobs that wait forever in a home without racks."""
    async with open_cell(workers_count=0) as cell:
        await cell.add_worker(rack='r2')
        partitions = {**cell.document.partitions, PARTITION: Partition(())}
        cell.document = replace(cell.document, partitions=partitions)
        owner = await cell.add_owner('a')
        await owner.claim(PARTITION)
        await owner.claim(OTHER_PARTITION)
        accepted = await owner.router.submit(make_job('p1.j'), 2_000)
        assert isinstance(accepted, JobSubmitted), accepted
        await until_after(owner.hand_off_sender.run_once, cell.executions)
        job_status = await owner.router.status(JobId('p1.j'), 2_000)
        assert isinstance(job_status, JobStatus)
        assert job_status.partition_id == OTHER_PARTITION
