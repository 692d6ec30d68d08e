"""Faults of the soak test: daemons and the store."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from radishlift.core.registry import Registry
from tests.platform.garbage import UNREADABLE
from tests.standins.proxy import ConnectionFault

if TYPE_CHECKING:
    from tests.platform.soak import Soak

FAULT_DURATION_S = (0.5, 2.5)
# Up to longer than any lease.
LONG_PAUSE_S = (0.5, 8.0)
MAX_START_WAIT_S = 2.0

Fault = Callable[['Soak'], Awaitable[None]]
FAULTS: Registry[Fault] = Registry('fault')


@FAULTS.register('kill')
async def kill(soak):
    await soak.end_process(soak.any_daemon(), signal.SIGKILL)


@FAULTS.register('kill_leader')
async def kill_leader(soak):
    await soak.end_process(soak.stored_leader() or 'd1', signal.SIGKILL)


@FAULTS.register('stop_as_planned')
async def stop_as_planned(soak):
    await soak.end_process(soak.any_daemon(), signal.SIGTERM)


@FAULTS.register('kill_all')
async def kill_all(soak):
    ends = [soak.end_process(name, signal.SIGKILL) for name in soak.names]
    await asyncio.gather(*ends)


@FAULTS.register('pause')
async def pause(soak):
    duration_s = soak.random.uniform(*FAULT_DURATION_S)
    await pause_process(soak, soak.stored_leader() or 'd1', duration_s)


@FAULTS.register('pause_several')
async def pause_several(soak):
    several = soak.random.randint(2, len(soak.names))
    names = soak.random.sample(soak.names, several)
    pauses = [
        pause_process(soak, name, soak.random.uniform(*LONG_PAUSE_S))
        for name in names
    ]
    await asyncio.gather(*pauses)


@FAULTS.register('pause_after_start')
async def pause_after_start(soak):
    starts_count = soak.starts_count()
    with suppress(TimeoutError):
        async with asyncio.timeout(MAX_START_WAIT_S):
            while soak.starts_count() == starts_count:
                await asyncio.sleep(0.001)
    duration_s = soak.random.uniform(*LONG_PAUSE_S)
    await pause_process(soak, soak.stored_leader() or 'd1', duration_s)


async def pause_process(soak, name, duration_s):
    process = soak.daemons[name]
    if process.returncode is None:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)


@FAULTS.register('store_down')
async def store_down(soak):
    with soak.store_outage():
        await soak.wait_fault_duration()


@FAULTS.register('store_slow')
async def store_slow(soak):
    soak.store.part_ms = 150
    await soak.wait_fault_duration()
    soak.store.part_ms = 0


@FAULTS.register('history_dropped')
async def history_dropped(soak):
    soak.store.drop_history()


async def apply_fault(soak, proxy, fault):
    proxy.fault = fault
    await soak.wait_fault_duration()
    proxy.fault = ConnectionFault.none
    proxy.reset()


@FAULTS.register('store_reset')
async def store_reset(soak):
    soak.proxies[soak.any_daemon()].reset()


@FAULTS.register('store_silent')
async def store_silent(soak):
    proxy = soak.proxies[soak.any_daemon()]
    await apply_fault(soak, proxy, ConnectionFault.silence)


@FAULTS.register('store_answers_lost')
async def store_answers_lost(soak):
    proxy = soak.proxies[soak.any_daemon()]
    await apply_fault(soak, proxy, ConnectionFault.lose_answers)


@FAULTS.register('foreign_entries')
async def foreign_entries(soak):
    for number, content in enumerate(UNREADABLE):
        soak.store.put_bytes('servers', '', f'x-{number}', content)
        await asyncio.sleep(0.05)
