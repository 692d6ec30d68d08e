"""Random steps of the allotments of several daemons, with faults."""

import asyncio
import random
from collections import Counter

from tests.requests.fakes import (
    MAX_DEADLINE_MS,
    SERVICE,
    SLOTS_COUNT,
    Cell,
    FakeHosts,
    executor_ids,
)
from tests.standins.tables import Fault

DAEMONS = ('a', 'b', 'c')
FAULTS = (Fault.none, Fault.none, Fault.down, Fault.lose_answers)
STEPS = (
    'sync', 'sync', 'sync', 'demand', 'take', 'take', 'release',
    'kill', 'advance', 'advance', 'fault', 'hold', 'late', 'list',
)  # fmt: skip


class Simulation:
    """Runs steps and counts the slots that all daemons may use."""

    def __init__(self, seed: int, break_daemon=None) -> None:
        self.random = random.Random(seed)
        self.cell = Cell(hosts=FakeHosts(executor_ids(3)))
        self.break_daemon = break_daemon or (lambda slots: None)
        self.starts = Counter()
        self.wanted = dict.fromkeys(DAEMONS, 1)
        self.daemons = {}
        self.ended = []
        for name in DAEMONS:
            self.start(name)

    def start(self, name: str) -> None:
        self.starts[name] += 1
        incarnation = str(self.starts[name])
        self.daemons[name] = self.cell.allotments(name, incarnation)
        self.break_daemon(self.daemons[name])

    async def step(self, kind: str) -> None:
        await getattr(self, f'_{kind}')()

    def usable_counts(self) -> Counter:
        """Returns the slots in use per executor.

        They include those of daemons that are not confirmed ended.
        """
        used: Counter = Counter()
        for slots in self.daemons.values():
            for view in slots.views:
                used[view.executor_id] += max(view.own_count, view.busy_count)
        now_ms = self.cell.clock.monotonic_ms()
        for ended_at_ms, busy in self.ended:
            if now_ms < ended_at_ms + MAX_DEADLINE_MS:
                used.update(busy)
        return used

    def exceeded_counts(self) -> dict:
        return {
            executor: count
            for executor, count in self.usable_counts().items()
            if count > SLOTS_COUNT
        }

    def _random_daemon(self):
        return self.daemons[self.random.choice(DAEMONS)]

    async def _sync(self) -> None:
        for slots in self.daemons.values():
            slots.wanted_counts = {SERVICE: self.wanted}
            await slots.targets.refresh()
        await asyncio.gather(
            *(daemon.sync() for daemon in self.daemons.values())
        )

    async def _demand(self) -> None:
        self.wanted[self.random.choice(DAEMONS)] = self.random.randint(1, 40)

    async def _take(self) -> None:
        slots = self._random_daemon()
        for _ in range(self.random.randint(1, 20)):
            slots.take_slot(SERVICE)

    async def _release(self) -> None:
        for view in self._random_daemon().views:
            view.busy_count -= self.random.randint(0, view.busy_count)

    async def _kill(self) -> None:
        name = self.random.choice(DAEMONS)
        slots = self.daemons[name]
        busy = {view.executor_id: view.busy_count for view in slots.views}
        self.ended.append((self.cell.clock.monotonic_ms(), busy))
        self.cell.members.dead.add((name, slots.owner.incarnation))
        self.start(name)

    async def _advance(self) -> None:
        self.cell.clock.advance(
            self.random.choice((100, 1000, MAX_DEADLINE_MS))
        )

    async def _fault(self) -> None:
        self.cell.store.fault = self.random.choice(FAULTS)
        self.cell.store.is_delaying = False

    async def _hold(self) -> None:
        self.cell.store.is_delaying = True

    async def _late(self) -> None:
        self.cell.store.apply_delayed()

    async def _list(self) -> None:
        executor_id = self.random.choice(executor_ids(3))
        hosts = self.cell.hosts
        if hosts.states.pop(executor_id, None) is None:
            hosts.states = FakeHosts(executor_ids(3)).states


async def run_steps(seed: int, steps, break_daemon=None) -> dict:
    """Runs steps; returns the first counts above the slots of executors."""
    simulation = Simulation(seed, break_daemon)
    for kind in steps:
        await simulation.step(kind)
        if simulation.exceeded_counts():
            return simulation.exceeded_counts()
    return {}


def random_steps(seed: int, count: int) -> list[str]:
    return random.Random(f'steps/{seed}').choices(STEPS, k=count)
