"""Registry of faults that the matrix test causes at seeded times."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Collection
from random import Random
from typing import Final

from radishlift.core.registry import Registry
from tests.system.cell import Cell
from tests.system.shapes import config_text
from tests.system.traffic import running_daemons

Fault = Callable[['FaultContext'], Awaitable[None]]

FAULTS: Final[Registry[Fault]] = Registry('fault')

# Longer than the lease of an owner (10 s), so that its partitions move.
PAUSE_S: Final = 13.0
OUTAGE_S: Final = 4.0
# Within the limit of a read (1.5 s); the answer then permits 500 ms of work.
SLOW_LIST_MS: Final = 1200


class FaultContext:
    """The cell, the seeded random source, and facts that the checks need."""

    def __init__(self, cell: Cell, seed: int) -> None:
        self.cell = cell
        self.random = Random(seed)
        self.killed: list[str] = []
        self.leaving_since_ms: dict[str, float] = {}
        self.uninterrupted_tasks: dict[str, tuple[float, float]] = {}
        self.picked: set[str] = set()

    def pick_daemon(self) -> str:
        """Picks a daemon that no other fault of this run has picked."""
        names = [
            name
            for name in running_daemons(self.cell)
            if name not in self.picked
        ]
        name = self.random.choice(names)
        self.picked.add(name)
        return name

    def pick_worker(self) -> str:
        """Picks a worker."""
        department = self.random.choice(sorted(self.cell.workers))
        return self.random.choice(self.cell.workers[department])

    def pick_executor(self) -> str:
        """Picks an executor."""
        department = self.random.choice(sorted(self.cell.executors))
        return self.random.choice(self.cell.executors[department])

    async def mark_leaving(self, address: str) -> None:
        """Lists a host as leaving."""
        for host in self.cell.hosts:
            if host['address'] == address:
                host['state'] = 'leaving'
        await self.cell.set_hosts()
        # The stand-in shows its list with a lag of one second.
        self.leaving_since_ms[address] = time.monotonic() * 1000 + 1000

    async def remove_hosts(self, lost: Collection[str]) -> None:
        """Removes hosts for good; the tasks of removed workers end."""
        workers = {
            worker for group in self.cell.workers.values() for worker in group
        }
        for worker in sorted(workers.intersection(lost)):
            body = {'network': 'refuse'}
            await self.cell.call('POST', worker, '/admin/mode', body)
            await self.cell.call('POST', worker, '/admin/restart', {})
        self.cell.hosts = [
            host for host in self.cell.hosts if host['address'] not in lost
        ]
        await self.cell.set_hosts()


@FAULTS.register('kill_daemon')
async def kill_daemon(context: FaultContext) -> None:
    """Kills a daemon and starts it again as a new incarnation."""
    name = context.pick_daemon()
    context.killed.append(name)
    await context.cell.kill_daemon(name)
    await asyncio.sleep(OUTAGE_S)
    await context.cell.start_daemon(name)


@FAULTS.register('stop_daemon')
async def stop_daemon(context: FaultContext) -> None:
    """Stops a daemon as planned; no request may be cut."""
    await context.cell.terminate_daemons([context.pick_daemon()])


@FAULTS.register('freeze_daemon')
async def freeze_daemon(context: FaultContext) -> None:
    """Pauses a daemon beyond its lease, then resumes it."""
    name = context.pick_daemon()
    # Calls to a paused daemon time out at the caller.
    context.killed.append(name)
    context.cell.processes.freeze(name)
    await asyncio.sleep(PAUSE_S)
    context.cell.processes.resume(name)


@FAULTS.register('cut_store')
async def cut_store(context: FaultContext) -> None:
    """Cuts a daemon from the platform beyond its lease."""
    relay = context.cell.store_relays[context.pick_daemon()]
    relay.cut()
    await asyncio.sleep(PAUSE_S)
    relay.restore()


@FAULTS.register('cut_peers')
async def cut_peers(context: FaultContext) -> None:
    """Drops what peers send to a daemon."""
    relay = context.cell.peer_relays[context.pick_daemon()]
    relay.cut()
    await asyncio.sleep(OUTAGE_S)
    relay.restore()


@FAULTS.register('store_down')
async def store_down(context: FaultContext) -> None:
    """Takes the table service and the object store down."""
    await context.cell.set_faults('down')
    await asyncio.sleep(OUTAGE_S)
    await context.cell.set_faults('none')


@FAULTS.register('store_slow')
async def store_slow(context: FaultContext) -> None:
    """Delays each operation of the table service and object store."""
    await context.cell.set_faults('none', delay_ms=300)
    await asyncio.sleep(OUTAGE_S)
    await context.cell.set_faults('none')


@FAULTS.register('host_list_down')
async def host_list_down(context: FaultContext) -> None:
    """Takes the host list down; daemons don't see hosts that leave."""
    await context.cell.set_host_list_faults('down')
    await asyncio.sleep(OUTAGE_S)
    await context.cell.set_host_list_faults('none')


@FAULTS.register('host_list_slow')
async def host_list_slow(context: FaultContext) -> None:
    """Delays the answers of the host list, which are then outdated."""
    await context.cell.set_host_list_faults('none', SLOW_LIST_MS)
    await asyncio.sleep(OUTAGE_S)
    await context.cell.set_host_list_faults('none')


@FAULTS.register('store_loses_answers')
async def store_loses_answers(context: FaultContext) -> None:
    """Applies writes and loses their answers."""
    await context.cell.set_faults('lose_answers')
    await asyncio.sleep(OUTAGE_S / 2)
    await context.cell.set_faults('none')


@FAULTS.register('restart_worker')
async def restart_worker(context: FaultContext) -> None:
    """Restarts a worker; its tasks end."""
    worker = context.pick_worker()
    await context.cell.call('POST', worker, '/admin/restart', {})


@FAULTS.register('cut_worker')
async def cut_worker(context: FaultContext) -> None:
    """Cuts a worker until its leases have expired."""
    worker = context.pick_worker()
    path = '/admin/mode'
    await context.cell.call('POST', worker, path, {'network': 'hang'})
    await asyncio.sleep(PAUSE_S)
    await context.cell.call('POST', worker, path, {'network': 'normal'})


@FAULTS.register('lose_rack')
async def lose_rack(context: FaultContext) -> None:
    """Loses all workers of a rack; the host list drops them after a lag."""
    department = context.random.choice(sorted(context.cell.workers))
    await context.remove_hosts(context.cell.workers[department][:8])


@FAULTS.register('failing_worker')
async def failing_worker(context: FaultContext) -> None:
    """Makes a worker fail every task that it starts."""
    worker = context.pick_worker()
    body = {'network': 'normal', 'fails_tasks': True}
    await context.cell.call('POST', worker, '/admin/mode', body)


@FAULTS.register('cancel_wave')
async def cancel_wave(context: FaultContext) -> None:
    """Submits 300 jobs and cancels them at once."""
    cell = context.cell
    shape = cell.shapes[0]
    name = context.random.choice(running_daemons(cell))
    jobs = [f'wave-{index}' for index in range(300)]
    body = {
        'department': shape.department,
        'team': shape.team,
        'name': 'wave',
        'kind': 'batch',
        'task_count': 1,
        'demand': {'cpu_milli': 4000, 'memory_mb': 4000},
        'run_time_ms': 5000,
    }
    address = cell.listen[name]
    await asyncio.gather(
        *(
            cell.call('POST', address, '/v1/jobs', {**body, 'job_id': job})
            for job in jobs
        )
    )
    await asyncio.gather(
        *(cell.call('POST', address, f'/v1/jobs/{job}/cancel') for job in jobs)
    )


@FAULTS.register('operator_race')
async def operator_race(context: FaultContext) -> None:
    """Two operators change the same section at two daemons."""
    cell = context.cell
    first, second = context.random.sample(running_daemons(cell), 2)
    _, current = await cell.get(first, '/v1/config')
    if current is None:
        return
    text = config_text(cell.shapes)
    changes = [
        {
            'base': current['version'],
            'who': who,
            'why': 'race',
            'text': text.replace('limit_ms = 1000', f'limit_ms = {limit_ms}'),
        }
        for who, limit_ms in (('first', 900), ('second', 1100))
    ]
    await asyncio.gather(
        *(
            cell.call('PUT', cell.listen[name], '/v1/config', change)
            for name, change in zip((first, second), changes, strict=True)
        )
    )


@FAULTS.register('executor_leaves')
async def executor_leaves(context: FaultContext) -> None:
    """Lists an executor as leaving; it still answers requests."""
    await context.mark_leaving(context.pick_executor())


@FAULTS.register('executor_fails')
async def executor_fails(context: FaultContext) -> None:
    """Makes an executor answer with errors for a while."""
    executor = context.pick_executor()
    path = '/admin/mode'
    await context.cell.call('POST', executor, path, {'mode': 'fail'})
    await asyncio.sleep(OUTAGE_S)
    await context.cell.call('POST', executor, path, {'mode': 'none'})


__all__ = ('FAULTS', 'Fault', 'FaultContext')
