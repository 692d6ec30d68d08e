import asyncio
import time
from dataclasses import replace

import pytest

from tests.system.cell import Cell
from tests.system.config_watch import ConfigWatch
from tests.system.faults import FaultContext
from tests.system.invariants import (
    check_all,
    leaving_targets_get_no_new_work,
    not_run_is_true,
)
from tests.system.shapes import SHAPES
from tests.system.traffic import (
    LoadOptions,
    collect_evidence,
    send_traffic,
    unfinished_jobs,
)
from tests.system.wide_faults import submit_long_jobs

pytestmark = pytest.mark.system

# Several requests are in flight at each daemon at any moment.
SHAPE = replace(
    SHAPES['rug_depot'],
    workers_count=8,
    executors_count=8,
    service_ms='300',
)
OPTIONS = LoadOptions(requests_per_s=50, jobs_per_s=5, duration_ms=14_000)
CHANGES_INTERVAL_S = 2.0
LEAVE_S = 5.0
TAKEOVER_TIMEOUT_S = 25
# The lag of the list, the allowed time after it and time to see a violation.
CUT_S = 6.0
BROKEN = {
    'ignores_leaving': 'leaving_targets_get_no_new_work',
    'cuts_requests': 'no_request_cut',
    'accepts_lower_versions': 'configuration_never_reverts',
}


async def change_configuration(cell, watch):
    """Changes the configuration twice while d4 is cut off, d3 frozen, d2 dead.

    d4 is cut from the store.
    """
    cell.store_relays['d4'].cut()
    watch.pause('d3')
    cell.processes.freeze('d3')
    watch.pause('d2')
    await cell.kill_daemon('d2')
    await watch.change('d1')
    await asyncio.sleep(CHANGES_INTERVAL_S)
    await watch.change('d1')
    watch.resume('d3')
    cell.processes.resume('d3')
    await cell.start_daemon('d2')

    async def answers():
        status, _ = await cell.get('d2', '/v1/status')
        return status != 0

    await cell.wait_for(answers, 10)
    watch.resume('d2')


async def leave_worker(context, worker_of):
    """Lists a worker with tasks and an executor as leaving."""
    worker = worker_of[min(worker_of)]
    await context.mark_leaving(worker)
    await context.mark_leaving(context.pick_executor())
    kept_from_ms = time.monotonic() * 1000
    await asyncio.sleep(LEAVE_S)
    kept = (kept_from_ms, time.monotonic() * 1000)
    for task_id, known_worker in worker_of.items():
        if known_worker == worker:
            context.uninterrupted_tasks[task_id] = kept
    return worker


async def run_script(context, watch, *, is_broken):
    cell = context.cell
    jobs = await submit_long_jobs(context, 'long', 8, cpu_milli=12_000)
    tasks = {f'{job}/0' for job in jobs}
    worker_of = await cell.wait_for_tasks(tasks)
    if not is_broken:
        # A daemon that can't read the host list serves requests on the slots
        # that it has; it must not use the executor that leaves. The broken
        # daemons are not cut here, so that any owner may start tasks at the
        # worker that leaves.
        cell.store_relays['d4'].cut()
    worker = await leave_worker(context, worker_of)
    await change_configuration(cell, watch)
    cell.store_relays['d4'].restore()
    await context.remove_hosts([worker])
    # The tasks of a removed worker run elsewhere.
    await cell.wait_for_tasks(tasks, TAKEOVER_TIMEOUT_S)
    await cell.terminate_daemons(['d1', 'd4'])


@pytest.mark.parametrize('variants', [(), tuple(BROKEN)])
async def test_leaves_configuration_and_planned_stops(tmp_path, variants):
    """Guards the invariants, and against checks that always pass.

    The run with broken daemons must fail the check of each variant; the check
    of leaving hosts must fail for the worker and for the executor.
    """
    module = ('tests.system.broken_daemon', ','.join(variants))
    cell = Cell(
        tmp_path,
        (SHAPE,),
        daemons_count=4,
        **({'daemon_module': module} if variants else {}),
    )
    context = FaultContext(cell, seed=1)
    watch = ConfigWatch(cell)
    try:
        await cell.start()
        watching = asyncio.create_task(watch.run())
        results = await send_traffic(
            cell,
            OPTIONS,
            lambda: run_script(context, watch, is_broken=bool(variants)),
        )
        timeout_s = 0 if variants else 30
        open_jobs = await unfinished_jobs(cell, results, timeout_s)
        watching.cancel()
        evidence = await collect_evidence(
            cell,
            results,
            open_jobs,
            ['d2', 'd3'],
        )
    finally:
        await cell.stop()
    evidence.leaving_since_ms = context.leaving_since_ms
    evidence.uninterrupted_tasks = context.uninterrupted_tasks
    watch.add_to(evidence)
    violations = check_all(evidence)
    if variants:
        assert violations.keys() >= {BROKEN[variant] for variant in variants}
        starts = violations[BROKEN['ignores_leaving']]
        assert len({text.split()[0] for text in starts}) == 2, starts
    else:
        assert violations == {}
        assert evidence.uninterrupted_tasks
        assert len(evidence.accepted_at_ms) == 2
        assert evidence.sightings.keys() == set(cell.names)


async def cut_while_executors_leave(context):
    """Lists executors as leaving while a daemon is cut off.

    The daemon reaches neither peers nor platform. Half of the executors leave,
    so that the daemon has slots of one that leaves.
    """
    cell = context.cell
    others = ('d1', 'd2')
    cell.peer_relays['d3'].block_daemons(others)
    for name in others:
        cell.peer_relays[name].block_daemons(('d3',))
    cell.store_relays['d3'].cut()
    for executor in cell.executors[SHAPE.department][::2]:
        await context.mark_leaving(executor)
    await asyncio.sleep(CUT_S)
    cell.store_relays['d3'].restore()
    for relay in cell.peer_relays.values():
        relay.restore()


@pytest.mark.parametrize('variants', [(), ('ignores_list_age',)])
async def test_cut_daemon_sends_nothing_to_executors_that_left(
    tmp_path,
    variants,
):
    """Guards against new work from a daemon that can't read the host list.

    A smaller form of the soak's seed 36 of `cut_regions_and_store`.
    """
    module = ('tests.system.broken_daemon', ','.join(variants))
    cell = Cell(
        tmp_path,
        (SHAPE,),
        daemons_count=3,
        **({'daemon_module': module} if variants else {}),
    )
    context = FaultContext(cell, seed=1)
    try:
        await cell.start()
        results = await send_traffic(
            cell,
            replace(OPTIONS, duration_ms=8_000, jobs_per_s=0.5),
            lambda: cut_while_executors_leave(context),
        )
        open_jobs = await unfinished_jobs(cell, results, 0)
        evidence = await collect_evidence(cell, results, open_jobs, ['d3'])
    finally:
        await cell.stop()
    evidence.leaving_since_ms = context.leaving_since_ms
    violations = leaving_targets_get_no_new_work(evidence)
    assert bool(violations) is bool(variants), violations
    if not variants:
        assert not_run_is_true(evidence) == []
