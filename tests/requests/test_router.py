import asyncio
from dataclasses import replace

import pytest

from radishlift.config.document import Service
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.settings import RequestSettings
from radishlift.services.api import HostState
from tests.requests.daemons import request, run_fleet, send_all, wait_until
from tests.requests.fakes import DEPARTMENT, SERVICE, FakeConfig
from tests.standins.executor import Mode
from tests.standins.request_checks import peaks_above, was_executed
from tests.standins.tables import Fault


@pytest.fixture
def ports(unused_tcp_port_factory):
    return unused_tcp_port_factory


def config(**options) -> FakeConfig:
    options.setdefault('max_deadline_ms', 2_000)
    return FakeConfig(Service(DEPARTMENT, **options))


def false_refusals(fleet, answers):
    """Returns the requests that were refused as "not run" but have run."""
    return [
        number
        for number, answer in enumerate(answers)
        if isinstance(answer, Failure)
        and answer.answer.outcome is Outcome.not_run
        and was_executed(fleet.executions, f'r{number}')
    ]


async def test_answers_and_peak_with_two_routers(ports):
    """Routers that share executors must not exceed their slots.

    Deadlines are long, so that a busy machine is no reason to shed requests.
    """
    patient = config(
        max_deadline_ms=30_000, default_deadline_ms=30_000, max_wait_ms=30_000
    )
    async with run_fleet(ports, config=patient) as fleet:
        answers = await send_all(list(fleet.daemons.values()), range(200))
        failures = [answer for answer in answers if isinstance(answer, Failure)]
        assert not failures
        assert not peaks_above(fleet.executions, 8)


async def test_request_without_local_slots_takes_one_hop(ports):
    """A request must not be refused while a peer has idle slots."""
    async with run_fleet(ports, executors_count=1, service_ms=200) as fleet:
        answers = await send_all([fleet.daemons['a']], range(8))
        assert all(isinstance(answer, ServiceAnswer) for answer in answers)
        assert fleet.executors[0].peak == 8


@pytest.mark.parametrize('is_broken', [False, True])
async def test_late_executions_keep_their_slots(ports, is_broken):
    """A slot must not be reused while its request still runs.

    The caller's deadline passes before the executor answers.
    """
    # The limit of connections must not prevent a reuse of slots.
    settings = RequestSettings(connections_per_executor=100)
    async with run_fleet(
        ports, 'a', 1, service_ms=150, settings=settings
    ) as fleet:
        fleet.executors[0].mode = Mode.late
        daemon = fleet.daemons['a']
        if is_broken:
            # Frees the slot at the deadline of the caller.
            daemon.router.dispatcher.dispatch = _free_at_timeout(
                daemon.router.dispatcher
            )
        for _ in range(4):
            await send_all([daemon], range(8), deadline_ms=200)
        assert bool(peaks_above(fleet.executions, 8)) is is_broken


def _free_at_timeout(dispatcher):
    dispatch = dispatcher.dispatch

    async def dispatch_and_free(view, call, limit_ms):
        dispatched = await dispatch(view, call, limit_ms)
        if dispatched.late_exchange is not None:
            view.busy_count -= 1
        return dispatched

    return dispatch_and_free


@pytest.mark.parametrize('is_broken', [False, True])
async def test_freeze_between_check_and_send(ports, is_broken):
    """The allotment of a paused daemon must not expire.

    The daemon would send its requests when it resumes, beyond the slots.
    """
    # The age of the host list must not stop the requests of the frozen daemon.
    limit = {'host_list_limit_ms': 600_000}
    async with run_fleet(
        ports, executors_count=1, service_ms=100, **limit
    ) as fleet:
        frozen, other = fleet.daemons['a'], fleet.daemons['b']
        resumed = asyncio.Event()
        frozen.router.dispatcher.before_send = resumed.wait
        paused = asyncio.create_task(send_all([frozen], range(3)))
        await wait_until(lambda: frozen.slots.busy_count(SERVICE) == 3)
        for loop in frozen.router._loop_tasks:
            loop.cancel()
        if is_broken:
            # The allotment of the frozen daemon expires at once.
            fleet.cell.members.dead.add(('a', '1'))
            other.slots._dead_owners._limits = type(
                'Limits', (), {'longest_deadline_ms': 0}
            )
            await wait_until(lambda: other.slots.held_count(SERVICE) == 8)
        more = asyncio.create_task(send_all([other], range(3, 40)))
        await wait_until(lambda: other.slots.idle_count(SERVICE) == 0)
        await wait_until(lambda: fleet.executors[0].running >= 3)
        resumed.set()
        await asyncio.gather(paused, more)
        assert bool(peaks_above(fleet.executions, 8)) is is_broken


@pytest.mark.parametrize('is_broken', [False, True])
async def test_killed_daemon_leaves_its_slots_until_requests_end(
    ports, is_broken
):
    """Slots of a dead daemon must not be reused while its requests run."""
    async with run_fleet(
        ports, executors_count=1, service_ms=1000, config=config()
    ) as fleet:
        killed, other = fleet.daemons['a'], fleet.daemons['b']
        lost = asyncio.create_task(send_all([killed], range(4)))
        await wait_until(lambda: fleet.executors[0].running >= 4)
        if is_broken:
            other.slots._dead_owners._limits = type(
                'Limits', (), {'longest_deadline_ms': 0}
            )
        await killed.kill()
        fleet.cell.members.dead.add(('a', '1'))
        await asyncio.gather(lost, return_exceptions=True)
        await send_all([other], range(4, 30), deadline_ms=2000)
        assert bool(peaks_above(fleet.executions, 8)) is is_broken
        await wait_until(lambda: other.slots.held_count(SERVICE) == 8)


async def test_outage_of_the_tables_does_not_stop_dispatch(ports):
    """An outage of the table service must not stop requests."""
    async with run_fleet(ports) as fleet:
        fleet.cell.store.fault = Fault.down
        fleet.cell.hosts.is_down = True
        answers = await send_all(list(fleet.daemons.values()), range(60))
        assert all(isinstance(answer, ServiceAnswer) for answer in answers)
        assert not peaks_above(fleet.executions, 8)


async def test_urgent_classes_come_first_and_refusals_are_true(ports):
    """Clinic requests must not wait behind other requests."""
    async with run_fleet(
        ports,
        'a',
        1,
        service_ms=40,
        config=config(max_queue_count=16, urgent_classes=('clinic',)),
    ) as fleet:
        router = fleet.daemons['a'].router
        normal = asyncio.create_task(send_all([fleet.daemons['a']], range(40)))
        await wait_until(lambda: router.scheduler.waiting_count(SERVICE) == 16)
        urgent = await asyncio.gather(
            *(
                router.handle(request(100 + n, request_class='clinic'))
                for n in range(8)
            )
        )
        answers = await normal
        refused = [answer for answer in answers if isinstance(answer, Failure)]
        assert all(isinstance(answer, ServiceAnswer) for answer in urgent)
        assert {answer.kind for answer in refused} == {ErrorKind.overloaded}
        assert not false_refusals(fleet, answers)
        assert not peaks_above(fleet.executions, 8)


async def test_wait_beyond_the_deadline_is_refused_at_once(ports):
    """A request must not wait if it cannot meet its deadline."""
    async with run_fleet(ports, 'a', 1, service_ms=100) as fleet:
        daemon = fleet.daemons['a']
        await send_all([daemon], range(16))
        running = asyncio.create_task(send_all([daemon], range(16, 40)))
        await wait_until(
            lambda: daemon.router.scheduler.waiting_count(SERVICE) == 16
        )
        refused = await daemon.router.handle(request(99, deadline_ms=60))
        assert not running.done()
        assert refused.kind is ErrorKind.overloaded
        await running


async def test_wait_ends_at_its_bound(ports):
    """A request must not wait longer than the service allows."""
    async with run_fleet(
        ports, 'a', 1, service_ms=400, config=config(max_wait_ms=50)
    ) as fleet:
        daemon = fleet.daemons['a']
        running = asyncio.create_task(send_all([daemon], range(8)))
        await wait_until(lambda: fleet.executors[0].running == 8)
        refused = await daemon.router.handle(request(9))
        assert not running.done()
        assert refused.kind is ErrorKind.overloaded
        assert '50 ms' in refused.reason
        await running
        assert not was_executed(fleet.executions, 'r9')


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
async def test_requests_beyond_limits_are_refused(ports, options, kind):
    """Guards against unbounded input and header injection."""
    async with run_fleet(ports, 'a', 1) as fleet:
        refused = await fleet.daemons['a'].router.handle(request(1, **options))
        assert refused.kind is kind
        unknown = replace(request(2), service='other')
        refused = await fleet.daemons['a'].router.handle(unknown)
        assert refused.kind is ErrorKind.not_found
        assert not fleet.executions


async def test_department_limit_and_leaving_executor(ports):
    """A department must not use a whole daemon.

    A leaving executor must get no new requests and lose its allotment.
    """
    async with run_fleet(ports, 'a', 2, service_ms=60) as fleet:
        daemon = fleet.daemons['a']
        daemon.router.admission._settings = replace(
            fleet.cell.settings, max_department_count=4
        )
        answers = await send_all([daemon], range(5))
        kinds = [
            answer.kind for answer in answers if isinstance(answer, Failure)
        ]
        assert kinds == [ErrorKind.quota_exceeded]
        leaving = fleet.executors[0]
        fleet.cell.hosts.states[leaving.address] = HostState.leaving
        await wait_until(
            lambda: daemon.targets.is_leaving_or_removed(leaving.address)
        )
        before_count = len(leaving.executions)
        await send_all([daemon], range(10, 14))
        assert len(leaving.executions) == before_count
        await wait_until(
            lambda: not daemon.slots.views.get(leaving.address).own_count
        )


async def test_drain_completes_requests_and_releases_slots(ports):
    """A planned stop must not fail requests or keep slots."""
    async with run_fleet(ports, executors_count=1, service_ms=100) as fleet:
        leaving = fleet.daemons['a']
        running = asyncio.create_task(send_all([leaving], range(20)))
        await wait_until(lambda: leaving.router.admission.in_flight_count == 20)
        leaving.router.start_drain()
        refused = await leaving.router.handle(request(99))
        assert refused.kind is ErrorKind.draining
        assert not await leaving.router.wait_until_drained(0)
        assert await leaving.router.wait_until_drained(8_000)
        answers = await running
        assert all(isinstance(answer, ServiceAnswer) for answer in answers)
        row = await fleet.cell.store.read('slots', fleet.executors[0].address)
        assert 'a' not in row.value['allotments']


def set_host_list_limit(fleet, names, limit_ms):
    """Sets the age limit of the host list; each age exceeds a negative one."""
    for name in names:
        fleet.daemons[name].targets.knowledge._limit_ms = limit_ms


async def test_peer_that_knows_the_host_list_takes_over(ports):
    """A daemon with an outdated host list must forward its requests."""
    async with run_fleet(ports) as fleet:
        set_host_list_limit(fleet, 'a', -1)
        answers = await send_all([fleet.daemons['a']], range(8))
        assert all(isinstance(answer, ServiceAnswer) for answer in answers)
        assert not fleet.daemons['a'].slots.busy_count(SERVICE)


@pytest.mark.parametrize('is_read_again', [False, True])
async def test_requests_wait_for_a_recent_host_list(ports, is_read_again):
    """With an outdated host list requests must wait and not be sent.

    They run once the list is read again, or end as "not run".
    """
    async with run_fleet(ports) as fleet:
        daemons = list(fleet.daemons.values())
        set_host_list_limit(fleet, 'ab', -1)
        sending = asyncio.create_task(
            send_all(daemons, range(8), deadline_ms=3_000),
        )
        waiting = [daemon.router.scheduler.waiting_count for daemon in daemons]
        await wait_until(lambda: sum(count(SERVICE) for count in waiting) == 8)
        assert not fleet.executions
        if is_read_again:
            set_host_list_limit(fleet, 'ab', 600_000)
        answers = await sending
        failures = [answer for answer in answers if isinstance(answer, Failure)]
        refused_count = 0 if is_read_again else 8
        assert len(failures) == refused_count
        assert all(
            answer.answer.outcome is Outcome.not_run for answer in failures
        )
        assert bool(fleet.executions) is is_read_again
