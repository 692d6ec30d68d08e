import asyncio
from dataclasses import replace

import pytest

from radishlift.config.document import Service
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.settings import RequestSettings
from radishlift.services.api import HostState
from tests.requests.daemons import ask_all, fleet, request, wait_until
from tests.requests.fakes import DEPARTMENT, SERVICE, FakeConfig
from tests.standins.executor import Mode
from tests.standins.request_checks import peaks_above, ran
from tests.standins.tables import Fault


@pytest.fixture
def ports(unused_tcp_port_factory):
    return unused_tcp_port_factory


def config(**options) -> FakeConfig:
    options.setdefault('max_deadline_ms', 2_000)
    return FakeConfig(Service(DEPARTMENT, **options))


def false_refusals(made, answers):
    """Finds requests that were refused as "not run" but reached a target."""
    return [
        number
        for number, answer in enumerate(answers)
        if isinstance(answer, Failure)
        and answer.answer.outcome is Outcome.not_run
        and ran(made.executions, f'r{number}')
    ]


async def test_answers_and_peak_with_two_routers(ports):
    """Guards against overload when routers share executors."""
    async with fleet(ports) as made:
        answers = await ask_all(list(made.daemons.values()), range(200))
        failures = [each for each in answers if isinstance(each, Failure)]
        assert not failures
        assert not peaks_above(made.executions, 8)


async def test_request_without_local_slots_takes_one_hop(ports):
    """Guards against a refusal while a peer has idle slots."""
    async with fleet(ports, executors_count=1, service_ms=200) as made:
        answers = await ask_all([made.daemons['a']], range(8))
        assert all(isinstance(each, ServiceAnswer) for each in answers)
        assert made.executors[0].peak == 8


@pytest.mark.parametrize('is_broken', [False, True])
async def test_late_executions_keep_their_slots(ports, is_broken):
    """Guards against reuse of a slot whose request still runs."""
    # The pool of connections must not hide what this test looks for.
    settings = RequestSettings(connections_per_executor=100)
    async with fleet(ports, 'a', 1, service_ms=150, settings=settings) as made:
        made.executors[0].mode = Mode.late
        daemon = made.daemons['a']
        if is_broken:
            # Frees the slot at the caller's deadline.
            daemon.router.dispatcher.dispatch = _freeing(
                daemon.router.dispatcher
            )
        for _ in range(4):
            await ask_all([daemon], range(8), deadline_ms=200)
        assert bool(peaks_above(made.executions, 8)) is is_broken


def _freeing(dispatcher):
    dispatch = dispatcher.dispatch

    async def dispatch_and_free(view, call, limit_ms):
        dispatched = await dispatch(view, call, limit_ms)
        if dispatched.late_exchange is not None:
            view.busy_count -= 1
        return dispatched

    return dispatch_and_free


@pytest.mark.parametrize('is_broken', [False, True])
async def test_freeze_between_check_and_send(ports, is_broken):
    """Guards against allotments that end while their holder is paused."""
    # Only the allotment is judged here, however long the freeze takes.
    limit = {'host_list_limit_ms': 600_000}
    async with fleet(ports, executors_count=1, service_ms=100, **limit) as made:
        frozen, other = made.daemons['a'], made.daemons['b']
        resumed = asyncio.Event()
        frozen.router.dispatcher.before_send = resumed.wait
        paused = asyncio.create_task(ask_all([frozen], range(3)))
        await wait_until(lambda: frozen.slots.busy_count(SERVICE) == 3)
        for loop in frozen.router._loop_tasks:
            loop.cancel()
        if is_broken:
            # The allotment of the frozen daemon expires at once.
            made.cell.members.dead.add(('a', '1'))
            other.slots._dead_owners._limits = type(
                'Limits', (), {'longest_deadline_ms': 0}
            )
            await wait_until(lambda: other.slots.held_count(SERVICE) == 8)
        more = asyncio.create_task(ask_all([other], range(3, 40)))
        await wait_until(lambda: other.slots.idle_count(SERVICE) == 0)
        await wait_until(lambda: made.executors[0].running >= 3)
        resumed.set()
        await asyncio.gather(paused, more)
        assert bool(peaks_above(made.executions, 8)) is is_broken


@pytest.mark.parametrize('is_broken', [False, True])
async def test_killed_daemon_leaves_its_slots_until_requests_end(
    ports, is_broken
):
    """Guards against reuse of a dead daemon's slots too early."""
    async with fleet(
        ports, executors_count=1, service_ms=1000, config=config()
    ) as made:
        killed, other = made.daemons['a'], made.daemons['b']
        lost = asyncio.create_task(ask_all([killed], range(4)))
        await wait_until(lambda: made.executors[0].running >= 4)
        if is_broken:
            other.slots._dead_owners._limits = type(
                'Limits', (), {'longest_deadline_ms': 0}
            )
        await killed.kill()
        made.cell.members.dead.add(('a', '1'))
        await asyncio.gather(lost, return_exceptions=True)
        await ask_all([other], range(4, 30), deadline_ms=2000)
        assert bool(peaks_above(made.executions, 8)) is is_broken
        await wait_until(lambda: other.slots.held_count(SERVICE) == 8)


async def test_outage_of_the_tables_does_not_stop_dispatch(ports):
    """Guards against requests that need the table service."""
    async with fleet(ports) as made:
        made.cell.store.fault = Fault.down
        made.cell.hosts.is_down = True
        answers = await ask_all(list(made.daemons.values()), range(60))
        assert all(isinstance(each, ServiceAnswer) for each in answers)
        assert not peaks_above(made.executions, 8)


async def test_urgent_classes_come_first_and_refusals_are_true(ports):
    """Guards against clinic work that waits behind other work."""
    async with fleet(
        ports,
        'a',
        1,
        service_ms=40,
        config=config(max_queue_count=16, urgent_classes=('clinic',)),
    ) as made:
        router = made.daemons['a'].router
        normal = asyncio.create_task(ask_all([made.daemons['a']], range(40)))
        await wait_until(lambda: router.scheduler.waiting_count(SERVICE) == 16)
        urgent = await asyncio.gather(
            *(
                router.handle(request(100 + n, request_class='clinic'))
                for n in range(8)
            )
        )
        answers = await normal
        refused = [each for each in answers if isinstance(each, Failure)]
        assert all(isinstance(each, ServiceAnswer) for each in urgent)
        assert {each.kind for each in refused} == {ErrorKind.overloaded}
        assert not false_refusals(made, answers)
        assert not peaks_above(made.executions, 8)


async def test_hopeless_wait_is_refused_at_once(ports):
    """Guards against waiting that ends after the deadline anyway."""
    async with fleet(ports, 'a', 1, service_ms=100) as made:
        daemon = made.daemons['a']
        await ask_all([daemon], range(16))
        running = asyncio.create_task(ask_all([daemon], range(16, 40)))
        await wait_until(
            lambda: daemon.router.scheduler.waiting_count(SERVICE) == 16
        )
        refused = await daemon.router.handle(request(99, deadline_ms=60))
        assert not running.done()
        assert refused.kind is ErrorKind.overloaded
        await running


async def test_wait_ends_at_its_bound(ports):
    """Guards against requests that wait longer than the service allows."""
    async with fleet(
        ports, 'a', 1, service_ms=400, config=config(max_wait_ms=50)
    ) as made:
        daemon = made.daemons['a']
        running = asyncio.create_task(ask_all([daemon], range(8)))
        await wait_until(lambda: made.executors[0].running == 8)
        refused = await daemon.router.handle(request(9))
        assert not running.done()
        assert refused.kind is ErrorKind.overloaded
        assert '50 ms' in refused.reason
        await running
        assert not ran(made.executions, 'r9')


@pytest.mark.parametrize(
    ('options', 'kind'),
    [
        ({'body': b'x' * 1_048_577}, ErrorKind.too_large),
        ({'headers': (('a', 'b'),) * 65}, ErrorKind.too_large),
        ({'headers': (('a', 'b' * 9_000),)}, ErrorKind.too_large),
        ({'deadline_ms': 0}, ErrorKind.deadline_passed),
        ({'key': 'line\nend'}, ErrorKind.invalid_input),
    ],
)
async def test_bounds_refuse_clearly(ports, options, kind):
    """Guards against unbounded input and against header injection."""
    async with fleet(ports, 'a', 1) as made:
        refused = await made.daemons['a'].router.handle(request(1, **options))
        assert refused.kind is kind
        unknown = replace(request(2), service='other')
        refused = await made.daemons['a'].router.handle(unknown)
        assert refused.kind is ErrorKind.not_found
        assert not made.executions


async def test_department_limit_and_leaving_executor(ports):
    """Guards against one department that fills a daemon, and late leaving."""
    async with fleet(ports, 'a', 2, service_ms=60) as made:
        daemon = made.daemons['a']
        daemon.router.admission._settings = replace(
            made.cell.settings, max_department_count=4
        )
        answers = await ask_all([daemon], range(5))
        kinds = [each.kind for each in answers if isinstance(each, Failure)]
        assert kinds == [ErrorKind.quota_exceeded]
        leaving = made.executors[0]
        made.cell.hosts.states[leaving.address] = HostState.leaving
        await wait_until(
            lambda: daemon.targets.is_leaving_or_removed(leaving.address)
        )
        before_count = len(leaving.executions)
        await ask_all([daemon], range(10, 14))
        assert len(leaving.executions) == before_count
        await wait_until(
            lambda: not daemon.slots.views.get(leaving.address).own_count
        )


async def test_drain_cuts_nothing_and_releases_slots(ports):
    """Guards against a planned stop that errors or keeps slots."""
    async with fleet(ports, executors_count=1, service_ms=100) as made:
        leaving = made.daemons['a']
        running = asyncio.create_task(ask_all([leaving], range(20)))
        await wait_until(lambda: leaving.router.admission.in_flight_count == 20)
        leaving.router.start_drain()
        refused = await leaving.router.handle(request(99))
        assert refused.kind is ErrorKind.draining
        assert not await leaving.router.wait_until_drained(0)
        assert await leaving.router.wait_until_drained(8_000)
        answers = await running
        assert all(isinstance(each, ServiceAnswer) for each in answers)
        row = await made.cell.store.read('slots', made.executors[0].address)
        assert 'a' not in row.value['allotments']


def set_host_list(made, names, limit_ms):
    """Sets the limit of the host list's age; below 0 each age exceeds it."""
    for name in names:
        made.daemons[name].targets.knowledge._limit_ms = limit_ms


async def test_peer_that_knows_the_host_list_takes_over(ports):
    """Guards against waiting or a refusal while a peer may send."""
    async with fleet(ports) as made:
        set_host_list(made, 'a', -1)
        answers = await ask_all([made.daemons['a']], range(8))
        assert all(isinstance(each, ServiceAnswer) for each in answers)
        assert not made.daemons['a'].slots.busy_count(SERVICE)


@pytest.mark.parametrize('is_read_again', [False, True])
async def test_requests_wait_for_a_recent_host_list(ports, is_read_again):
    """Guards against work for a host that left, and against false refusals."""
    async with fleet(ports) as made:
        daemons = list(made.daemons.values())
        set_host_list(made, 'ab', -1)
        asked = asyncio.create_task(
            ask_all(daemons, range(8), deadline_ms=3_000),
        )
        waiting = [each.router.scheduler.waiting_count for each in daemons]
        await wait_until(lambda: sum(count(SERVICE) for count in waiting) == 8)
        assert not made.executions
        if is_read_again:
            set_host_list(made, 'ab', 600_000)
        answers = await asked
        failures = [each for each in answers if isinstance(each, Failure)]
        refused_count = 0 if is_read_again else 8
        assert len(failures) == refused_count
        assert all(each.answer.outcome is Outcome.not_run for each in failures)
        assert bool(made.executions) is is_read_again
