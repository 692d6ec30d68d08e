import pytest

from radishlift.core.clock import SystemClock
from radishlift.core.errors import Outcome
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.executor_health import HealthState
from tests.requests.daemons import ask_all, fleet, request
from tests.requests.fakes import SERVICE
from tests.standins.executor import Mode
from tests.standins.request_checks import ran


@pytest.fixture
def ports(unused_tcp_port_factory):
    return unused_tcp_port_factory


async def test_idempotent_request_is_retried_elsewhere(ports):
    """Guards against errors that a healthy executor could have avoided."""
    async with fleet(ports, 'a') as made:
        made.executors[0].mode = Mode.fail
        answers = await ask_all(
            [made.daemons['a']], range(5), is_idempotent=True
        )
        assert all(isinstance(each, ServiceAnswer) for each in answers)


async def test_other_requests_are_sent_once(ports):
    """Guards against a second run of a request that may have run."""
    async with fleet(ports, 'a') as made:
        for executor in made.executors:
            executor.mode = Mode.short
        answer = await made.daemons['a'].router.handle(request(1))
        assert answer.answer.outcome is Outcome.unknown
        assert len(made.executions) == 1


async def test_retries_stay_within_their_budget(ports):
    """Guards against retries that multiply load when all executors fail."""
    async with fleet(ports, 'a') as made:
        for executor in made.executors:
            executor.mode = Mode.fail
        for start in range(0, 100, 10):
            await ask_all(
                [made.daemons['a']],
                range(start, start + 10),
                is_idempotent=True,
            )
        # The ratio is a tenth, and each budget starts with its burst.
        assert len(made.executions) <= 100 + 10 + 10


async def test_retry_does_not_make_an_unknown_outcome_not_run(ports):
    """Guards against "not run" after an attempt that reached a target."""
    async with fleet(ports, 'a') as made:
        for executor in made.executors:
            executor.mode = Mode.short
        answer = await made.daemons['a'].router.handle(
            request(1, is_idempotent=True, deadline_ms=300)
        )
        assert ran(made.executions, 'r1')
        assert answer.answer.outcome is Outcome.unknown


async def test_failing_executor_is_ejected_and_returns(ports):
    """Guards against work for a failing executor, and against its loss."""
    async with fleet(ports, 'a', 4) as made:
        router = made.daemons['a'].router
        bad = made.executors[0]
        bad.mode = Mode.fail
        health = router.scheduler.health_of(SERVICE)
        for number in range(40):
            await router.handle(request(number))
        assert health.state_of(bad.address) is HealthState.ejected
        before_count = len(bad.executions)
        await ask_all([made.daemons['a']], range(40, 60))
        assert len(bad.executions) == before_count
        bad.mode = Mode.none
        health._clock = Later()
        for number in range(60, 70):
            await router.handle(request(number, is_idempotent=True))
        assert health.state_of(bad.address) is HealthState.healthy


class Later(SystemClock):
    """A clock that is past any ejection."""

    def monotonic_ms(self) -> int:
        return super().monotonic_ms() + 3_600_000


async def test_ejection_keeps_a_floor(ports):
    """Guards against a service without executors."""
    async with fleet(ports, 'a', 4, service_ms=5) as made:
        for executor in made.executors:
            executor.mode = Mode.fail
        for start in range(0, 100, 10):
            await ask_all([made.daemons['a']], range(start, start + 10))
        health = made.daemons['a'].router.scheduler.health_of(SERVICE)
        out = health.excluded_executors(may_probe=False)
        assert len(out) == 1


async def test_change_of_the_mix_ejects_nobody(ports):
    """Guards against ejection because requests became longer."""
    async with fleet(ports, 'a', 4, service_ms=1) as made:
        daemon = made.daemons['a']
        await ask_all([daemon], range(100), is_idempotent=True)
        for executor in made.executors:
            executor.set_service_ms(60)
        await ask_all([daemon], range(100, 300), is_idempotent=True)
        health = daemon.router.scheduler.health_of(SERVICE)
        assert not health.excluded_executors(may_probe=False)


async def test_slow_executor_is_ejected(ports):
    """Guards against an executor that answers, but far too late."""
    async with fleet(ports, 'a', 4, service_ms=10) as made:
        daemon = made.daemons['a']
        await ask_all([daemon], range(100))
        slow = made.executors[0]
        slow.set_service_ms(300)
        for start in range(100, 300, 20):
            await ask_all([daemon], range(start, start + 20))
        health = daemon.router.scheduler.health_of(SERVICE)
        assert health.state_of(slow.address) is HealthState.ejected
