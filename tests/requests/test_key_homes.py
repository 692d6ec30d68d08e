"""Keyed requests while the set of partitions changes."""

import asyncio
from functools import partial
from random import Random

import pytest

from radishlift.core.clock import ManualClock
from radishlift.core.errors import Failure, Outcome
from radishlift.core.ids import DaemonId
from radishlift.ownership.fixed_homes import JobHomes
from radishlift.ownership.homes_loader import HomesLoader
from radishlift.requests.api import ServiceAnswer
from tests.config.head_rows import put_head
from tests.requests.daemons import request, run_fleet, wait_until
from tests.requests.key_homes import (
    ChangingPartitions,
    DaemonConfig,
    HomesOfDocument,
    make_document,
)
from tests.standins.request_checks import keys_that_ran_twice
from tests.standins.tables import Fault, MemoryTableStore

KEYS_COUNT = 40
NAMES = 'abc'


def make_partitions(homes_type=JobHomes):
    partitions = ChangingPartitions(
        make_document(1, 'p1', 'p2'), homes_type=homes_type
    )
    put_head(partitions.store.tables, 1)
    partitions.assign('p1', 'a')
    partitions.assign('p2', 'b')
    return partitions


def has_run(fleet, least_count):
    return len({execution.key for execution in fleet.executions}) > least_count


async def load_all(partitions):
    for homes in partitions.homes.values():
        await homes.load()


async def send(fleet, name, number, **options):
    router = fleet.daemons[name].router
    return await router.handle(request(number, key=f'k{number}', **options))


@pytest.mark.parametrize('is_broken', [False, True])
async def test_added_partitions_run_no_key_again(
    unused_tcp_port_factory, is_broken
):
    """Daemons with different documents must not run a key twice.

    They would if each chose the home of a key by its own document.
    """
    partitions = make_partitions(HomesOfDocument if is_broken else JobHomes)
    random = Random(1)
    sends = [number for number in range(KEYS_COUNT) for _ in range(3)]
    random.shuffle(sends)
    async with run_fleet(
        unused_tcp_port_factory, NAMES, service_ms=1, partitions=partitions
    ) as fleet:
        await load_all(partitions)
        partitions.assign('p3', 'c')
        partitions.assign('p4', 'a')
        for index, name in enumerate(NAMES):
            part = sends[index * KEYS_COUNT : (index + 1) * KEYS_COUNT]
            sending = asyncio.gather(
                *(send(fleet, random.choice(NAMES), number) for number in part)
            )
            await wait_until(partial(has_run, fleet, index))
            # The document reaches one daemon after another.
            changed = make_document(2, 'p1', 'p2', 'p3', 'p4')
            partitions.configs[DaemonId(name)].document = changed
            answers = await sending
            if not is_broken:
                assert all(
                    isinstance(answer, ServiceAnswer) for answer in answers
                )
        assert bool(keys_that_ran_twice(fleet.executions)) is is_broken
        if not is_broken:
            assert len(fleet.executions) == KEYS_COUNT


async def test_key_is_refused_until_its_home_is_known(unused_tcp_port_factory):
    """No home must be assumed while the store is down at the start."""
    partitions = make_partitions()
    async with run_fleet(
        unused_tcp_port_factory, NAMES, service_ms=1, partitions=partitions
    ) as fleet:
        partitions.store.fault = Fault.down
        await load_all(partitions)
        refused = await send(fleet, 'a', 1, deadline_ms=150)
        assert isinstance(refused, Failure)
        assert refused.answer.outcome is Outcome.not_run
        assert not fleet.executions
        waiting = asyncio.create_task(send(fleet, 'a', 1))
        partitions.store.fault = Fault.none
        await load_all(partitions)
        assert isinstance(await waiting, ServiceAnswer)
        assert len(fleet.executions) == 1


async def test_loader_retries_at_intervals_and_on_a_new_document():
    """Loads must be rate limited, and start at once for a new document."""
    partitions = make_partitions()
    config = DaemonConfig(None)
    clock = ManualClock(1)
    loader = HomesLoader(partitions.store, config, clock)
    reads = count_reads(partitions.store)
    await loader.step()
    await loader.step()
    assert len(reads) == 1
    clock.advance(1_000)
    await loader.step()
    assert len(reads) == 2
    config.document = partitions.document
    await loader.step()
    assert loader.homes.partitions == ('p1', 'p2')
    await asyncio.wait_for(loader.run(), 1)


def count_reads(store: MemoryTableStore) -> list[str]:
    reads: list[str] = []
    read = store.read

    async def counted(table, key):
        reads.append(table)
        return await read(table, key)

    store.read = counted
    return reads
