import asyncio

import pytest

from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.ids import DaemonId
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.home_messages import IntentGrant, IntentRequest
from radishlift.requests.idempotency import (
    IdempotencyTable,
    RequestAnswered,
    RequestIntent,
    RequestNotSent,
    RequestsForgotten,
)
from tests.requests.daemons import request, run_fleet, wait_until
from tests.standins.executor import Mode
from tests.standins.request_checks import keys_that_ran_twice
from tests.standins.tables import Fault

# Deadline that is meant to pass; long enough for a dispatch on a busy machine.
SHORT_MS = 500


@pytest.fixture
async def fleet(unused_tcp_port_factory):
    async with run_fleet(unused_tcp_port_factory, 'abc') as started:
        yield started


async def send(fleet, name, number=1, **options):
    options.setdefault('key', 'k')
    router = fleet.daemons[name].router
    return await router.handle(request(number, **options))


def outcome_of(answer):
    assert isinstance(answer, Failure), answer
    return answer.answer.outcome


def set_modes(fleet, mode):
    for executor in fleet.executors:
        executor.mode = mode


async def wait_for_reports(fleet):
    await wait_until(
        lambda: (
            not any(
                daemon.router.key_reporter.pending_count
                for daemon in fleet.daemons.values()
            )
        )
    )


async def test_repeats_through_all_daemons_get_the_first_answer(fleet):
    """Concurrent and later repeats must not run a request again."""
    requests = (send(fleet, name, index) for index, name in enumerate('abcabc'))
    first = await asyncio.gather(*requests)
    later = await send(fleet, 'b', 9)
    assert isinstance(later, ServiceAnswer), later
    assert {answer.body for answer in first} == {later.body}
    assert len(fleet.executions) == 1


async def test_lost_answer_stays_unknown(fleet):
    """A repeat after a truncated answer must not run the request again."""
    set_modes(fleet, Mode.short)
    first = await send(fleet, 'a')
    set_modes(fleet, Mode.none)
    repeated = await send(fleet, 'b', 2, deadline_ms=SHORT_MS)
    assert outcome_of(first) is Outcome.unknown
    assert outcome_of(repeated) is Outcome.unknown
    assert not keys_that_ran_twice(fleet.executions)


async def test_late_answer_is_kept_for_repeats(fleet):
    """An answer that arrives after the deadline must reach repeats."""
    set_modes(fleet, Mode.late)
    first = await send(fleet, 'a', deadline_ms=SHORT_MS)
    set_modes(fleet, Mode.none)
    repeated = await send(fleet, 'b', 2)
    assert outcome_of(first) is Outcome.unknown
    assert isinstance(repeated, ServiceAnswer)
    assert len(fleet.executions) == 1


@pytest.mark.parametrize('is_cut', [False, True])
async def test_late_answer_to_a_forwarded_request_is_kept(fleet, is_cut):
    """An answer must reach repeats if the forwarding daemon did not get it.

    The answer is late or the connection between the daemons breaks.
    """
    set_modes(fleet, Mode.none if is_cut else Mode.late)
    for executor in fleet.executors:
        executor.set_service_ms(200)
    fleet.daemons['a'].router.scheduler.take_slot = lambda _call: None
    deadline_ms = 2_000 if is_cut else SHORT_MS
    asking = asyncio.create_task(send(fleet, 'a', deadline_ms=deadline_ms))
    await wait_until(lambda: fleet.executions)
    if is_cut:
        for name in 'bc':
            for connection in list(fleet.daemons[name].network._incoming):
                connection.close()
    first = await asking
    set_modes(fleet, Mode.none)
    repeated = await send(fleet, 'b', 2)
    assert outcome_of(first) is Outcome.unknown
    assert isinstance(repeated, ServiceAnswer), repeated
    assert len(fleet.executions) == 1


@pytest.mark.parametrize('is_broken', [False, True])
async def test_takeover_of_the_home_before_the_dispatch(fleet, is_broken):
    """The new owner of the home must not grant a key again."""
    is_frozen = asyncio.Event()
    resumed = asyncio.Event()

    async def freeze():
        is_frozen.set()
        await resumed.wait()

    fleet.daemons['a'].router.dispatcher.before_send = freeze
    first = asyncio.create_task(send(fleet, 'a'))
    await is_frozen.wait()
    if is_broken:
        # A new owner that does not replay the journal grants the key again.
        fleet.partitions.journal.clear()
    fleet.partitions.move_to('b')
    repeated = asyncio.create_task(send(fleet, 'b', 2))
    if is_broken:
        await repeated
    resumed.set()
    answers = await asyncio.gather(first, repeated)
    assert bool(keys_that_ran_twice(fleet.executions)) is is_broken
    if not is_broken:
        assert answers[0] == answers[1]


async def test_deposed_owner_can_not_grant(fleet):
    """An owner must not grant keys after another daemon has taken over."""
    deposed = fleet.partitions.owner
    fleet.partitions.move_to('a')
    intent_request = IntentRequest('home', 'rugdesk/k', 'd', 'n', 0)
    reply = await fleet.daemons[deposed].router.key_home_server.grant(
        DaemonId('b'), intent_request
    )
    assert reply.kind is ErrorKind.not_owner


async def test_outage_refuses_new_keys_as_not_run(fleet):
    """A key refused in an outage must not have run and can be repeated."""
    fleet.partitions.owned[fleet.partitions.owner].faults.append(Fault.down)
    refused = await send(fleet, 'a')
    assert outcome_of(refused) is Outcome.not_run
    assert refused.kind is ErrorKind.store_unavailable
    assert not fleet.executions
    repeated = await send(fleet, 'b', 2)
    assert isinstance(repeated, ServiceAnswer)
    assert len(fleet.executions) == 1


async def test_answer_is_kept_through_a_long_outage(fleet, monkeypatch):
    """Reports must not be given up within an outage of 60 s.

    A limit of 60 attempts was reached after 15 s.
    """
    for name in ('_INITIAL_BACKOFF_S', '_MAX_BACKOFF_S'):
        monkeypatch.setattr(f'radishlift.requests.key_reports.{name}', 0)
    faults = fleet.partitions.owned[fleet.partitions.owner].faults
    faults += [Fault.none, *(Fault.down for _ in range(200))]
    first = await send(fleet, 'a')
    await wait_for_reports(fleet)
    assert not faults
    assert await send(fleet, 'b', 2) == first
    assert len(fleet.executions) == 1


async def test_unconfirmed_intent_dispatches_nothing(fleet):
    """A request must not be dispatched without a journaled grant."""
    faults = fleet.partitions.owned[fleet.partitions.owner].faults
    faults.extend(Fault.lose_answers for _ in range(100))
    refused = await send(fleet, 'a', deadline_ms=1_000)
    assert isinstance(refused, Failure)
    assert not fleet.executions
    faults.clear()
    repeated = await send(fleet, 'b', 2)
    assert isinstance(repeated, ServiceAnswer)
    assert len(fleet.executions) == 1


async def test_stopped_owner_of_the_home_fails_no_request(fleet):
    """A move of the home must not cause an error for a caller."""
    owner = fleet.daemons.pop('c')
    await owner.kill()
    sending = asyncio.create_task(send(fleet, 'a'))
    await asyncio.sleep(0)
    fleet.partitions.move_to('b')
    assert isinstance(await sending, ServiceAnswer)
    assert len(fleet.executions) == 1


async def test_request_that_was_not_sent_may_be_repeated(fleet):
    """A key whose request was not sent must not stay in flight."""
    for executor in fleet.executors:
        await executor.refuse()
    refused = await send(fleet, 'a')
    assert outcome_of(refused) is Outcome.not_run
    for executor in fleet.executors:
        await executor.listen()
    await wait_for_reports(fleet)
    repeated = await send(fleet, 'b', 2)
    assert isinstance(repeated, ServiceAnswer), repeated
    assert len(fleet.executions) == 1


@pytest.mark.parametrize('wrong', ['nonce', 'daemon', 'key'])
async def test_crossed_grant_dispatches_nothing(fleet, wrong):
    """A grant for another request or daemon must not be used."""

    async def grant_another(sender, intent_request):
        return IntentGrant(
            'rugdesk/other' if wrong == 'key' else intent_request.key,
            'other' if wrong == 'nonce' else intent_request.nonce,
            DaemonId('other') if wrong == 'daemon' else sender,
        )

    fleet.daemons['c'].network.register(IntentRequest, grant_another)
    answer = await send(fleet, 'a')
    assert isinstance(answer, Failure)
    assert not fleet.executions


async def test_repeated_grant_is_used_once(fleet):
    """A grant that arrives twice must not be dispatched twice."""
    keyed = fleet.daemons['a'].router.keyed_requests
    grant = IntentGrant('rugdesk/k', 'n', DaemonId('a'))
    keyed._pending_nonces.add('n')
    uses = [keyed._accept_grant(grant, 'rugdesk/k', 'n') for _ in range(2)]
    assert uses == [True, False]


async def test_other_body_is_a_conflict(fleet):
    """A key that is used with another body must not get the first answer."""
    await send(fleet, 'a')
    other = await send(fleet, 'b', 2, body=b'other')
    assert other.kind is ErrorKind.conflict
    assert len(fleet.executions) == 1


async def test_repeats_get_the_failure_of_the_run(fleet):
    """A request that ran and failed must not run again."""
    set_modes(fleet, Mode.fail)
    await send(fleet, 'a')
    set_modes(fleet, Mode.none)
    repeated = await send(fleet, 'b', 2)
    assert repeated.kind is ErrorKind.target_failed
    assert len(fleet.executions) == 1


async def test_check_finds_a_key_that_ran_twice(fleet, monkeypatch):
    """`keys_that_ran_twice` must find a second run.

    Here an unknown outcome is reported as not run.
    """
    monkeypatch.setattr('radishlift.requests.keyed._is_not_run', lambda _: True)
    set_modes(fleet, Mode.short)
    for number in range(2):
        await send(fleet, 'a', number)
        await wait_for_reports(fleet)
    assert keys_that_ran_twice(fleet.executions) == {'k'}


async def test_full_table_refuses_new_keys(fleet):
    """A full table must not remove keys, as their repeats would run again."""
    homes = fleet.daemons['c'].router.key_home_server
    homes._settings = type(homes._settings)(kept_keys_count=1)
    await send(fleet, 'a')
    await wait_for_reports(fleet)
    refused = await send(fleet, 'a', 2, key='other')
    assert refused.kind is ErrorKind.overloaded
    assert isinstance(await send(fleet, 'a', 3), ServiceAnswer)


def test_replay_and_snapshot_give_the_same_table():
    """Recovery from a snapshot must give the same keys as replay."""
    records = [
        RequestIntent('k1', 'd', DaemonId('a'), 'n1', 1),
        RequestIntent('k2', 'd', DaemonId('a'), 'n2', 2),
        RequestIntent('k3', 'd', DaemonId('a'), 'n3', 3),
        RequestNotSent('k2', 'n0'),
        RequestNotSent('k3', 'n3'),
        RequestIntent('k3', 'd', DaemonId('b'), 'n4', 4),
        RequestAnswered('k3', 'n3', 200, '', ''),
        RequestAnswered('k2', 'n2', 200, '', 'Yg=='),
        RequestNotSent('k2', 'n2'),
        RequestsForgotten(2),
    ]
    table = IdempotencyTable()
    for record in records:
        table.apply(record)
    loaded = IdempotencyTable()
    loaded.load(table.dump())
    assert loaded.dump() == table.dump()
    assert len(loaded) == len(table) == 2
    assert table.get('k1') is None
    assert table.get('k2').answered is not None
    assert table.get('k3').intent.nonce == 'n4'
    assert table.get('k3').answered is None
