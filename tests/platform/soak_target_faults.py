"""Faults of the soak test: targets, their entries and their connections."""

import asyncio
from contextlib import suppress

from tests.platform.soak_faults import FAULTS, apply_fault
from tests.standins.proxy import USUAL_DELAYS_S, ConnectionFault

SHRUNKEN_CPU = (1000, 8000)
SHRUNKEN_S = (2.0, 4.0)
DRAINING_SHARE = 0.5
GONE_AFTER_RESTART_S = (1.0, 2.0)
CUT_OFF_S = (0.5, 6.0)
# Entries that expired during an outage are back by then.
RETURN_S = 2.0
EXPIRED_SHARE = 0.7
MAX_RESETS_COUNT = 3
RESET_INTERVAL_S = (0.05, 1.0)
RESTART_PUBLISHED_S = (0.0, 1.5)
# Up to longer than any lease.
LONG_SILENCE_S = (2.0, 7.0)
MAX_IDLE_WAIT_S = 6.0
VARIED_DELAYS_S = (0.0, 0.6)
LATE_CALLS_SHARE = 0.4


@FAULTS.register('target_silent')
async def target_silent(soak):
    proxy = soak.target_proxies[soak.any_target()]
    await apply_fault(soak, proxy, ConnectionFault.silence)


@FAULTS.register('target_answers_lost')
async def target_answers_lost(soak):
    proxy = soak.target_proxies[soak.any_target()]
    await apply_fault(soak, proxy, ConnectionFault.lose_answers)


@FAULTS.register('target_delayed')
async def target_delayed(soak):
    proxy = soak.target_proxies[soak.any_target()]
    await apply_fault(soak, proxy, ConnectionFault.delay)


@FAULTS.register('target_restart')
async def target_restart(soak):
    with soak.target_to_crash() as target_id:
        if target_id is not None:
            await crash_and_restart(soak, target_id)


@FAULTS.register('target_replaced')
async def target_replaced(soak):
    with soak.target_to_crash() as target_id:
        if target_id is not None:
            await soak.crash_target(target_id)
            await soak.replace_target(target_id)


@FAULTS.register('target_restart_then_gone')
async def target_restart_then_gone(soak):
    with soak.target_to_crash() as target_id:
        if target_id is not None:
            await crash_and_restart(soak, target_id)
            await asyncio.sleep(soak.random.uniform(*GONE_AFTER_RESTART_S))
            await soak.crash_target(target_id)
            await soak.replace_target(target_id)


@FAULTS.register('target_leaves')
async def target_leaves(soak):
    with soak.target_to_crash() as target_id:
        if target_id is not None:
            soak.drain_target(target_id)
            await soak.wait_fault_duration()
            await soak.crash_target(target_id)
            await soak.replace_target(target_id, removed_after_s=0)


@FAULTS.register('target_cut_off_from_store')
async def target_cut_off_from_store(soak):
    with soak.target_to_crash() as target_id:
        if target_id is not None:
            if soak.random.random() < DRAINING_SHARE:
                soak.drain_target(target_id)
            await soak.expire_entry(target_id)
            await asyncio.sleep(soak.random.uniform(*CUT_OFF_S))
            soak.states.pop(target_id, None)
            soak.publish(target_id)


@FAULTS.register('entries_expire_in_outage')
async def entries_expire_in_outage(soak):
    several = soak.random.randint(2, len(soak.target_proxies))
    names = soak.random.sample(sorted(soak.target_proxies), several)
    with soak.store_outage():
        await asyncio.gather(*(soak.expire_entry(name) for name in names))
        await soak.wait_fault_duration()
    soak.random.shuffle(names)
    for target_id in names:
        await asyncio.sleep(soak.random.uniform(0, RETURN_S / several))
        soak.publish(target_id)


@FAULTS.register('target_refuses')
async def target_refuses(soak):
    with soak.target_to_crash() as target_id:
        if target_id is None:
            return
        proxy = soak.target_proxies[target_id]
        proxy.refuse()
        if soak.random.random() < EXPIRED_SHARE:
            await soak.expire_entry(target_id)
        for _ in range(soak.random.randint(1, MAX_RESETS_COUNT)):
            await asyncio.sleep(soak.random.uniform(*RESET_INTERVAL_S))
            proxy.reset()
        await soak.wait_fault_duration()
        await proxy.start(proxy.port)
        soak.publish(target_id)


@FAULTS.register('target_restarts_idle')
async def target_restarts_idle(soak):
    with soak.target_to_crash() as target_id:
        if target_id is None:
            return
        if soak.targets[target_id].running:
            soak.drain_target(target_id)
        await wait_idle(soak.targets[target_id])
        await soak.crash_target(target_id)
        soak.states.pop(target_id, None)
        # Calls still arrive, so that the new process is started on.
        proxy = soak.target_proxies[target_id]
        proxy.fault = ConnectionFault.lose_answers
        await soak.restart_target(
            target_id, soak.random.uniform(*RESTART_PUBLISHED_S)
        )
        await asyncio.sleep(soak.random.uniform(*LONG_SILENCE_S))
        proxy.fault = ConnectionFault.none
        proxy.reset()


async def wait_idle(target):
    with suppress(TimeoutError):
        async with asyncio.timeout(MAX_IDLE_WAIT_S):
            while target.running:
                await asyncio.sleep(0.002)


@FAULTS.register('answers_overtake')
async def answers_overtake(soak):
    proxy = soak.target_proxies[soak.any_target()]
    proxy.delays_s = VARIED_DELAYS_S
    proxy.fault = ConnectionFault.delay
    await soak.wait_fault_duration()
    proxy.fault = ConnectionFault.none
    proxy.delays_s = USUAL_DELAYS_S


@FAULTS.register('calls_carried_out_late')
async def calls_carried_out_late(soak):
    target = soak.targets[soak.any_target()]
    target.late_calls_share = LATE_CALLS_SHARE
    await soak.wait_fault_duration()
    target.late_calls_share = 0


async def crash_and_restart(soak, target_id):
    await soak.crash_target(target_id)
    await soak.wait_fault_duration()
    await soak.restart_target(target_id)


@FAULTS.register('capacity_shrinks')
async def capacity_shrinks(soak):
    target_id = soak.any_target()
    if soak.targets[target_id].is_down:
        return
    soak.set_capacity(target_id, soak.random.randint(*SHRUNKEN_CPU))
    await asyncio.sleep(soak.random.uniform(*SHRUNKEN_S))
    if target_id in soak.target_proxies:
        soak.set_capacity(target_id)


__all__ = ('FAULTS',)
