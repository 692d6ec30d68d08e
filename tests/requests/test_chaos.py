import asyncio
import random

import pytest

from radishlift.config.document import Service
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.calls import Call
from tests.requests.daemons import fleet, request, wait_until
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
    """Random faults and requests, judged by the executors' record."""

    def __init__(self, made, seed: int) -> None:
        self.made = made
        self.random = random.Random(seed)
        self.answers = {}
        self.tasks = []
        self.incarnation = 1

    def send(self, count: int) -> None:
        for _ in range(count):
            number = len(self.tasks)
            daemon = self.random.choice(list(self.made.daemons.values()))
            key = self.random.choice(('', f'k{number % KEYS_COUNT}'))
            asked = request(
                number,
                key=key,
                is_idempotent=self.random.choice((True, False)),
                deadline_ms=self.random.choice((60, 150, 250)),
            )
            handled = self.handle(daemon, number, asked)
            self.tasks.append(asyncio.create_task(handled))

    async def handle(self, daemon, number, asked) -> None:
        self.answers[number] = await daemon.router.handle(asked)

    async def fault(self) -> None:
        made = self.made
        stores = (Fault.none, Fault.none, *FAULTS)
        made.cell.store.fault = self.random.choice(stores)
        self.random.choice(made.executors).mode = self.random.choice(MODES)
        home = made.partitions.owned[made.partitions.owner]
        home.faults = [self.random.choice(FAULTS[:3])]
        if self.random.randrange(3) == 0:
            made.partitions.move_to(self.random.choice(list(made.daemons)))
        if self.random.randrange(6) == 0:
            await self.restart(self.random.choice(list(made.daemons)))

    async def restart(self, name: str) -> None:
        made = self.made
        killed = made.daemons.pop(name)
        await killed.kill()
        made.cell.members.dead.add((name, killed.slots.owner.incarnation))
        made.partitions.owned.pop(name, None)
        if made.partitions.owner == name:
            made.partitions.move_to(self.random.choice(list(made.daemons)))
        self.incarnation += 1
        await made.start(name, str(self.incarnation))

    def is_answered(self) -> bool:
        return len(self.answers) == len(self.tasks)

    async def finish(self) -> None:
        self.made.cell.store.fault = Fault.none
        for executor in self.made.executors:
            executor.mode = Mode.none
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def false_refusals(self) -> list:
        return [
            number
            for number, answer in self.answers.items()
            if isinstance(answer, Failure)
            and answer.answer.outcome is Outcome.not_run
            and ran(self.made.executions, f'r{number}')
        ]


async def run_chaos(ports, seed):
    config = FakeConfig(Service(DEPARTMENT, max_deadline_ms=500))
    async with fleet(ports, 'abc', 3, service_ms=20, config=config) as made:
        chaos = Chaos(made, seed)
        for _ in range(ROUNDS_COUNT):
            chaos.send(25)
            await chaos.fault()
            await wait_until(chaos.is_answered)
        await chaos.finish()
    return chaos


@pytest.mark.parametrize('seed', [1, 2])
async def test_invariants_hold_under_random_faults(
    unused_tcp_port_factory, seed
):
    """Guards against faults that break an invariant only in combination."""
    chaos = await run_chaos(unused_tcp_port_factory, seed)
    executions = chaos.made.executions
    answered = chaos.answers.values()
    assert not peaks_above(executions, 8)
    assert not keys_that_ran_twice(executions)
    assert not chaos.false_refusals()
    assert any(isinstance(each, ServiceAnswer) for each in answered)


async def test_random_faults_find_broken_code(
    unused_tcp_port_factory, monkeypatch
):
    """Guards against random faults that can't break an invariant."""
    monkeypatch.setattr('radishlift.requests.keyed._is_not_run', lambda _: True)
    monkeypatch.setattr(
        Call, 'failure_for_caller', lambda _, failure: OVERLOADED
    )
    chaos = await run_chaos(unused_tcp_port_factory, 1)
    assert keys_that_ran_twice(chaos.made.executions)
    assert chaos.false_refusals()
