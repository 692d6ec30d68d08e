import asyncio
import json

import pytest
from aiohttp import web

from radishlift.config.document import Service
from radishlift.core.clock import BootClock, ManualClock
from radishlift.core.errors import Failure, Outcome
from radishlift.core.ids import ExecutorId
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.calls import Call
from radishlift.requests.dispatch import Dispatcher
from radishlift.requests.executor_client import ExecutorClient
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.slot_views import SlotView
from radishlift.services.host_knowledge import HostKnowledge
from tests.requests.daemons import request, wait_until
from tests.requests.fakes import DEPARTMENT, SERVICE, Cell, FakeConfig
from tests.standins.executor import ExecutorStandIn, Mode
from tests.standins.knowledge import unexpiring_host_knowledge

SERVICE_LIMITS = Service(DEPARTMENT, max_deadline_ms=1_200)
# Long enough for an answer, or for a send, on a busy machine: later answers
# would count as a timeout.
ANSWER_MS = 5_000
SILENCE_MS = 1_000


@pytest.fixture
async def executor(unused_tcp_port):
    standin = ExecutorStandIn(f'127.0.0.1:{unused_tcp_port}', {'': 10})
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def dispatcher():
    cell = Cell(clock=BootClock(), config=FakeConfig(SERVICE_LIMITS))
    client = ExecutorClient(8, 1_000_000, unexpiring_host_knowledge())
    await client.start()
    limits = ServiceLimits(cell.config)
    yield Dispatcher(client, limits, cell.clock, cell.settings)
    await client.stop()


async def send(dispatcher, executor, number=1, deadline_ms=ANSWER_MS):
    clock = BootClock()
    deadline_at_ms = clock.monotonic_ms() + deadline_ms
    call = Call(request(number), SERVICE_LIMITS, clock, deadline_at_ms, 0)
    view = SlotView(ExecutorId(executor.address), SERVICE, busy_count=1)
    dispatched = await dispatcher.dispatch(view, call, deadline_ms)
    return dispatched.answer, view


def is_own(answer, number) -> bool:
    echoed = json.loads(answer.body)['request_id']
    return echoed.startswith(f'r{number}.')


@pytest.mark.parametrize(
    ('mode', 'outcome', 'busy_count'),
    [
        (Mode.fail, Outcome.ran, 0),
        (Mode.short, Outcome.unknown, 1),
        (Mode.wrong_id, Outcome.unknown, 1),
        (Mode.hang, Outcome.unknown, 1),
        (Mode.late, Outcome.unknown, 1),
        (Mode.refuse, Outcome.not_run, 0),
    ],
)
async def test_outcome_and_slot_after_each_fault(
    dispatcher, executor, mode, outcome, busy_count
):
    """Guards against a false "not run" and a slot that is freed too early."""
    executor.mode = mode
    if mode is Mode.refuse:
        await executor.refuse()
    is_silent = mode in {Mode.hang, Mode.late}
    deadline_ms = SILENCE_MS if is_silent else ANSWER_MS
    answer, view = await send(dispatcher, executor, deadline_ms=deadline_ms)
    assert isinstance(answer, Failure)
    assert answer.answer.outcome is outcome
    assert view.busy_count == busy_count
    assert bool(executor.executions) is (outcome is not Outcome.not_run)
    # A late answer or the longest deadline frees the slot later.
    await wait_until(lambda: view.busy_count == 0)


async def test_answers_are_never_crossed(dispatcher, executor):
    """A connection must not be reused while its answer is outstanding.

    The late answer would be taken for that of the next request.
    """
    executor.mode = Mode.late
    late, _ = await send(dispatcher, executor, 1, SILENCE_MS)
    executor.mode = Mode.none
    assert isinstance(late, Failure)
    for number in range(2, 6):
        answer, _ = await send(dispatcher, executor, number)
        assert is_own(answer, number)


async def test_crossed_answer_is_visible_without_the_check(
    dispatcher, executor, monkeypatch
):
    """Without the check of request ids a wrong answer must be visible."""
    checked = 'radishlift.requests.executor_client._find_problem'
    monkeypatch.setattr(checked, lambda *_: '')
    executor._answer = _other_answer
    answer, _ = await send(dispatcher, executor)
    assert isinstance(answer, ServiceAnswer)
    assert not is_own(answer, 1)


async def _other_answer(_mode, _request, _body):
    body = json.dumps({'request_id': 'r9.00'}).encode()
    return web.Response(body=body, headers={'X-Request-Id': 'r9.00'})


async def test_deadline_before_the_connection_is_not_run(dispatcher, executor):
    """A request must not be sent after the caller got "not run"."""
    frozen = asyncio.Event()
    dispatcher.before_send = frozen.wait
    answer, view = await send(dispatcher, executor, deadline_ms=20)
    frozen.set()
    dispatcher.before_send = None
    following, _ = await send(dispatcher, executor, 2)
    assert answer.answer.outcome is Outcome.not_run
    assert view.busy_count == 0
    assert is_own(following, 2)
    assert len(executor.executions) == 1


async def test_passed_deadline_is_not_sent(dispatcher, executor):
    """An open connection must not be used after the deadline."""
    await send(dispatcher, executor)
    answer, view = await send(dispatcher, executor, 2, deadline_ms=0)
    assert answer.answer.outcome is Outcome.not_run
    assert view.busy_count == 0
    assert len(executor.executions) == 1


async def test_dropped_connection_is_an_unknown_outcome(dispatcher):
    """An error after the connection is made must not give "not run"."""

    async def drop(_reader, writer):
        writer.close()

    server = await asyncio.start_server(drop, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    target = ExecutorStandIn(f'{host}:{port}')
    answer, view = await send(dispatcher, target)
    server.close()
    assert answer.answer.outcome is Outcome.unknown
    assert view.busy_count == 1


async def test_body_without_a_marked_end_is_no_answer(dispatcher):
    """A truncated body must not be taken for a complete one."""

    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        echoed = next(line for line in lines if line.startswith('X-Request-Id'))
        writer.write(f'HTTP/1.1 200 OK\r\n{echoed}\r\n\r\ncut'.encode())
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    answer, _ = await send(dispatcher, ExecutorStandIn(f'{host}:{port}'))
    server.close()
    assert answer.answer.outcome is Outcome.unknown
    assert 'not marked' in answer.reason


@pytest.mark.parametrize('is_leaving', [False, True])
async def test_host_list_is_checked_right_before_the_send(executor, is_leaving):
    """The process may be paused after a check of the host list.

    Then a request must not be sent by an outdated list or to a leaving host.
    """
    cell = Cell(clock=BootClock(), config=FakeConfig(SERVICE_LIMITS))
    clock = ManualClock()
    knowledge = HostKnowledge(clock, 1_700)
    knowledge.update((), 0)
    client = ExecutorClient(8, 1_000_000, knowledge)
    await client.start()
    limits = ServiceLimits(cell.config)
    dispatcher = Dispatcher(client, limits, cell.clock, cell.settings)
    # The second request uses an open connection.
    for number in (1, 2):
        answer, _ = await send(dispatcher, executor, number)
        assert is_own(answer, number)

    async def pause():
        clock.advance(1_701)
        if is_leaving:
            knowledge.update((executor.address,), clock.monotonic_ms())

    dispatcher.before_send = pause
    answer, view = await send(dispatcher, executor, 3)
    assert isinstance(answer, Failure)
    assert answer.answer.outcome is Outcome.not_run
    assert view.busy_count == 0
    dispatcher.before_send = None
    knowledge.update((), clock.monotonic_ms())
    answer, _ = await send(dispatcher, executor, 4)
    assert is_own(answer, 4)
    assert len(executor.executions) == 3
    await client.stop()
