"""Keys while the set of partitions changes."""

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
from tests.requests.daemons import fleet, request, wait_until
from tests.requests.key_homes import (
    ChangingPartitions,
    ConfiguredHomes,
    SeenConfig,
    make_document,
)
from tests.standins.request_checks import keys_that_ran_twice
from tests.standins.tables import Fault, MemoryTableStore

KEYS_COUNT = 40
NAMES = 'abc'


def make_partitions(homes_type=JobHomes):
    made = ChangingPartitions(
        make_document(1, 'p1', 'p2'), homes_type=homes_type
    )
    put_head(made.store.tables, 1)
    made.own('p1', 'a')
    made.own('p2', 'b')
    return made


def has_run(made, least_count):
    return len({each.key for each in made.executions}) > least_count


async def load_all(partitions):
    for homes in partitions.homes.values():
        await homes.load()


async def send(made, name, number, **options):
    router = made.daemons[name].router
    return await router.handle(request(number, key=f'k{number}', **options))


@pytest.mark.parametrize('is_broken', [False, True])
async def test_added_partitions_run_no_key_again(
    unused_tcp_port_factory, is_broken
):
    """Guards against a second run through daemons with other documents."""
    partitions = make_partitions(ConfiguredHomes if is_broken else JobHomes)
    random = Random(1)
    sends = [number for number in range(KEYS_COUNT) for _ in range(3)]
    random.shuffle(sends)
    async with fleet(
        unused_tcp_port_factory, NAMES, service_ms=1, partitions=partitions
    ) as made:
        await load_all(partitions)
        partitions.own('p3', 'c')
        partitions.own('p4', 'a')
        for late, name in enumerate(NAMES):
            part = sends[late * KEYS_COUNT : (late + 1) * KEYS_COUNT]
            sending = asyncio.gather(
                *(send(made, random.choice(NAMES), number) for number in part)
            )
            await wait_until(partial(has_run, made, late))
            # The document reaches one daemon after another.
            changed = make_document(2, 'p1', 'p2', 'p3', 'p4')
            partitions.configs[DaemonId(name)].document = changed
            answers = await sending
            if not is_broken:
                assert all(isinstance(each, ServiceAnswer) for each in answers)
        assert bool(keys_that_ran_twice(made.executions)) is is_broken
        if not is_broken:
            assert len(made.executions) == KEYS_COUNT


async def test_key_is_refused_until_its_home_is_known(unused_tcp_port_factory):
    """Guards against a guessed home while the store is down at the start."""
    partitions = make_partitions()
    async with fleet(
        unused_tcp_port_factory, NAMES, service_ms=1, partitions=partitions
    ) as made:
        partitions.store.fault = Fault.down
        await load_all(partitions)
        refused = await send(made, 'a', 1, deadline_ms=150)
        assert isinstance(refused, Failure)
        assert refused.answer.outcome is Outcome.not_run
        assert not made.executions
        waiting = asyncio.create_task(send(made, 'a', 1))
        partitions.store.fault = Fault.none
        await load_all(partitions)
        assert isinstance(await waiting, ServiceAnswer)
        assert len(made.executions) == 1


async def test_loader_retries_at_intervals_and_on_a_new_document():
    """Guards against a load on the store, and against a late first try."""
    partitions = make_partitions()
    config = SeenConfig(None)
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
