import asyncio
import random

import pytest

from radishlift.config.document import Service
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.calls import Call
from tests.requests.daemons import request, run_fleet, wait_until
from tests.requests.fakes import DEPARTMENT, FakeConfig
from tests.standins.executor import Mode
from tests.standins.request_checks import keys_that_ran_twice, peaks_above, ran
from tests.standins.tables import Fault

MODES = (Mode.none, Mode.none, Mode.fail, Mode.late, Mode.short)
FAULTS = (Fault.none, Fault.down, Fault.lose_answers, Fault.lose_requests)
KEYS_COUNT = 100
ROUNDS_COUNT = 16
OVERLOADED = Failure(ErrorKind.overloaded, 'untrue')


class Chaos:
    """Sends random requests and injects random faults."""

    def __init__(self, fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.answers = {}
        self.tasks = []
        self.incarnation = 1

    def send(self, count: int) -> None:
        for _ in range(count):
            number = len(self.tasks)
            daemon = self.random.choice(list(self.fleet.daemons.values()))
            key = self.random.choice(('', f'k{number % KEYS_COUNT}'))
            service_request = request(
                number,
                key=key,
                is_idempotent=self.random.choice((True, False)),
                deadline_ms=self.random.choice((60, 150, 250)),
            )
            handled = self.handle(daemon, number, service_request)
            self.tasks.append(asyncio.create_task(handled))

    async def handle(self, daemon, number, service_request) -> None:
        self.answers[number] = await daemon.router.handle(service_request)

    async def inject_fault(self) -> None:
        fleet = self.fleet
        stores = (Fault.none, Fault.none, *FAULTS)
        fleet.cell.store.fault = self.random.choice(stores)
        self.random.choice(fleet.executors).mode = self.random.choice(MODES)
        home = fleet.partitions.owned[fleet.partitions.owner]
        home.faults = [self.random.choice(FAULTS[:3])]
        if self.random.randrange(3) == 0:
            fleet.partitions.move_to(self.random.choice(list(fleet.daemons)))
        if self.random.randrange(6) == 0:
            await self.restart(self.random.choice(list(fleet.daemons)))

    async def restart(self, name: str) -> None:
        fleet = self.fleet
        killed = fleet.daemons.pop(name)
        await killed.kill()
        fleet.cell.members.dead.add((name, killed.slots.owner.incarnation))
        fleet.partitions.owned.pop(name, None)
        if fleet.partitions.owner == name:
            fleet.partitions.move_to(self.random.choice(list(fleet.daemons)))
        self.incarnation += 1
        await fleet.start(name, str(self.incarnation))

    def is_answered(self) -> bool:
        return len(self.answers) == len(self.tasks)

    async def finish(self) -> None:
        self.fleet.cell.store.fault = Fault.none
        for executor in self.fleet.executors:
            executor.mode = Mode.none
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def false_refusals(self) -> list:
        return [
            number
            for number, answer in self.answers.items()
            if isinstance(answer, Failure)
            and answer.answer.outcome is Outcome.not_run
            and ran(self.fleet.executions, f'r{number}')
        ]


async def run_chaos(ports, seed):
    config = FakeConfig(Service(DEPARTMENT, max_deadline_ms=500))
    async with run_fleet(
        ports, 'abc', 3, service_ms=20, config=config
    ) as fleet:
        chaos = Chaos(fleet, seed)
        for _ in range(ROUNDS_COUNT):
            chaos.send(25)
            await chaos.inject_fault()
            await wait_until(chaos.is_answered)
        await chaos.finish()
    return chaos


@pytest.mark.parametrize('seed', [1, 2])
async def test_invariants_hold_under_random_faults(
    unused_tcp_port_factory, seed
):
    """Guards against failures that only a combination of faults causes."""
    chaos = await run_chaos(unused_tcp_port_factory, seed)
    executions = chaos.fleet.executions
    answered = chaos.answers.values()
    assert not peaks_above(executions, 8)
    assert not keys_that_ran_twice(executions)
    assert not chaos.false_refusals()
    assert any(isinstance(answer, ServiceAnswer) for answer in answered)


async def test_random_faults_find_broken_code(
    unused_tcp_port_factory, monkeypatch
):
    """The random faults must break an invariant of broken code."""
    monkeypatch.setattr('radishlift.requests.keyed._is_not_run', lambda _: True)
    monkeypatch.setattr(
        Call, 'failure_for_caller', lambda _, failure: OVERLOADED
    )
    chaos = await run_chaos(unused_tcp_port_factory, 1)
    assert keys_that_ran_twice(chaos.fleet.executions)
    assert chaos.false_refusals()
