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
from tests.requests.daemons import fleet, request, wait_until
from tests.standins.executor import Mode
from tests.standins.request_checks import keys_that_ran_twice
from tests.standins.tables import Fault

# A deadline that passes; long enough for a dispatch on a busy machine.
SHORT_MS = 500


@pytest.fixture
async def made(unused_tcp_port_factory):
    async with fleet(unused_tcp_port_factory, 'abc') as started:
        yield started


async def ask(made, name, number=1, **options):
    options.setdefault('key', 'k')
    router = made.daemons[name].router
    return await router.handle(request(number, **options))


def outcome_of(answer):
    assert isinstance(answer, Failure), answer
    return answer.answer.outcome


def set_modes(made, mode):
    for executor in made.executors:
        executor.mode = mode


async def reported(made):
    await wait_until(
        lambda: (
            not any(
                each.router.key_reporter.pending_count
                for each in made.daemons.values()
            )
        )
    )


async def test_repeats_through_all_daemons_get_the_first_answer(made):
    """Guards against a second run for repeats at once and later."""
    asked = (ask(made, name, index) for index, name in enumerate('abcabc'))
    first = await asyncio.gather(*asked)
    later = await ask(made, 'b', 9)
    assert isinstance(later, ServiceAnswer), later
    assert {each.body for each in first} == {later.body}
    assert len(made.executions) == 1


async def test_lost_answer_stays_unknown(made):
    """Guards against a second run after the answer was cut."""
    set_modes(made, Mode.short)
    first = await ask(made, 'a')
    set_modes(made, Mode.none)
    repeated = await ask(made, 'b', 2, deadline_ms=SHORT_MS)
    assert outcome_of(first) is Outcome.unknown
    assert outcome_of(repeated) is Outcome.unknown
    assert not keys_that_ran_twice(made.executions)


async def test_late_answer_is_kept_for_repeats(made):
    """Guards against the loss of an answer that came after the deadline."""
    set_modes(made, Mode.late)
    first = await ask(made, 'a', deadline_ms=SHORT_MS)
    set_modes(made, Mode.none)
    repeated = await ask(made, 'b', 2)
    assert outcome_of(first) is Outcome.unknown
    assert isinstance(repeated, ServiceAnswer)
    assert len(made.executions) == 1


@pytest.mark.parametrize('is_cut', [False, True])
async def test_late_answer_to_a_forwarded_request_is_kept(made, is_cut):
    """Guards against the loss of an answer that its asker did not get."""
    set_modes(made, Mode.none if is_cut else Mode.late)
    for executor in made.executors:
        executor.set_service_ms(200)
    made.daemons['a'].router.scheduler.take_slot = lambda _call: None
    deadline_ms = 2_000 if is_cut else SHORT_MS
    asking = asyncio.create_task(ask(made, 'a', deadline_ms=deadline_ms))
    await wait_until(lambda: made.executions)
    if is_cut:
        for name in 'bc':
            for connection in list(made.daemons[name].network._incoming):
                connection.close()
    first = await asking
    set_modes(made, Mode.none)
    repeated = await ask(made, 'b', 2)
    assert outcome_of(first) is Outcome.unknown
    assert isinstance(repeated, ServiceAnswer), repeated
    assert len(made.executions) == 1


@pytest.mark.parametrize('is_broken', [False, True])
async def test_takeover_of_the_home_before_the_dispatch(made, is_broken):
    """Guards against a second grant by the successor of the home."""
    is_frozen = asyncio.Event()
    resumed = asyncio.Event()

    async def freeze():
        is_frozen.set()
        await resumed.wait()

    made.daemons['a'].router.dispatcher.before_send = freeze
    first = asyncio.create_task(ask(made, 'a'))
    await is_frozen.wait()
    if is_broken:
        # A successor that does not replay the journal grants again.
        made.partitions.journal.clear()
    made.partitions.move_to('b')
    repeated = asyncio.create_task(ask(made, 'b', 2))
    if is_broken:
        await repeated
    resumed.set()
    answers = await asyncio.gather(first, repeated)
    assert bool(keys_that_ran_twice(made.executions)) is is_broken
    if not is_broken:
        assert answers[0] == answers[1]


async def test_deposed_owner_can_not_grant(made):
    """Guards against a grant by an owner that missed its takeover."""
    deposed = made.partitions.owner
    made.partitions.move_to('a')
    asked = IntentRequest('home', 'rugdesk/k', 'd', 'n', 0)
    reply = await made.daemons[deposed].router.key_home_server.grant(
        DaemonId('b'), asked
    )
    assert reply.kind is ErrorKind.not_owner


async def test_outage_refuses_new_keys_truthfully(made):
    """Guards against a false "not run", and against a key that is stuck."""
    made.partitions.owned[made.partitions.owner].faults.append(Fault.down)
    refused = await ask(made, 'a')
    assert outcome_of(refused) is Outcome.not_run
    assert refused.kind is ErrorKind.store_unavailable
    assert not made.executions
    repeated = await ask(made, 'b', 2)
    assert isinstance(repeated, ServiceAnswer)
    assert len(made.executions) == 1


async def test_answer_is_kept_through_a_long_outage(made, monkeypatch):
    """Guards against reports that are given up within an outage of 60 s.

    They were after 60 attempts, which took 15 s.
    """
    for name in ('_INITIAL_BACKOFF_S', '_MAX_BACKOFF_S'):
        monkeypatch.setattr(f'radishlift.requests.key_reports.{name}', 0)
    faults = made.partitions.owned[made.partitions.owner].faults
    faults += [Fault.none, *(Fault.down for _ in range(200))]
    first = await ask(made, 'a')
    await reported(made)
    assert not faults
    assert await ask(made, 'b', 2) == first
    assert len(made.executions) == 1


async def test_unconfirmed_intent_dispatches_nothing(made):
    """Guards against a dispatch without a journaled grant."""
    faults = made.partitions.owned[made.partitions.owner].faults
    faults.extend(Fault.lose_answers for _ in range(100))
    refused = await ask(made, 'a', deadline_ms=1_000)
    assert isinstance(refused, Failure)
    assert not made.executions
    faults.clear()
    repeated = await ask(made, 'b', 2)
    assert isinstance(repeated, ServiceAnswer)
    assert len(made.executions) == 1


async def test_stopped_owner_of_the_home_costs_no_request(made):
    """Guards against an error to a caller when the home moves."""
    owner = made.daemons.pop('c')
    await owner.kill()
    asked = asyncio.create_task(ask(made, 'a'))
    await asyncio.sleep(0)
    made.partitions.move_to('b')
    assert isinstance(await asked, ServiceAnswer)
    assert len(made.executions) == 1


async def test_request_that_was_not_sent_may_be_repeated(made):
    """Guards against a key that is stuck after a truthful refusal."""
    for executor in made.executors:
        await executor.refuse()
    refused = await ask(made, 'a')
    assert outcome_of(refused) is Outcome.not_run
    for executor in made.executors:
        await executor.listen()
    await reported(made)
    repeated = await ask(made, 'b', 2)
    assert isinstance(repeated, ServiceAnswer), repeated
    assert len(made.executions) == 1


@pytest.mark.parametrize('wrong', ['nonce', 'daemon', 'key'])
async def test_crossed_grant_dispatches_nothing(made, wrong):
    """Guards against a dispatch by a grant that is another's."""

    async def crossed(sender, asked):
        return IntentGrant(
            'rugdesk/other' if wrong == 'key' else asked.key,
            'other' if wrong == 'nonce' else asked.nonce,
            DaemonId('other') if wrong == 'daemon' else sender,
        )

    made.daemons['c'].network.register(IntentRequest, crossed)
    answer = await ask(made, 'a')
    assert isinstance(answer, Failure)
    assert not made.executions


async def test_repeated_grant_is_used_once(made):
    """Guards against two dispatches by one grant."""
    keyed = made.daemons['a'].router.keyed_requests
    grant = IntentGrant('rugdesk/k', 'n', DaemonId('a'))
    keyed._pending_nonces.add('n')
    uses = [keyed._accept_grant(grant, 'rugdesk/k', 'n') for _ in range(2)]
    assert uses == [True, False]


async def test_other_body_is_a_conflict(made):
    """Guards against an answer to another request."""
    await ask(made, 'a')
    other = await ask(made, 'b', 2, body=b'other')
    assert other.kind is ErrorKind.conflict
    assert len(made.executions) == 1


async def test_failed_run_is_told_to_repeats(made):
    """Guards against a second run of a request that ran and failed."""
    set_modes(made, Mode.fail)
    await ask(made, 'a')
    set_modes(made, Mode.none)
    repeated = await ask(made, 'b', 2)
    assert repeated.kind is ErrorKind.target_failed
    assert len(made.executions) == 1


async def test_check_finds_an_unknown_outcome_taken_back(made, monkeypatch):
    """Guards against a check of repeats that can't fail."""
    monkeypatch.setattr('radishlift.requests.keyed._is_not_run', lambda _: True)
    set_modes(made, Mode.short)
    for number in range(2):
        await ask(made, 'a', number)
        await reported(made)
    assert keys_that_ran_twice(made.executions) == {'k'}


async def test_full_table_refuses_new_keys(made):
    """Guards against dropping keys whose repeats would run again."""
    homes = made.daemons['c'].router.key_home_server
    homes._settings = type(homes._settings)(kept_keys_count=1)
    await ask(made, 'a')
    await reported(made)
    refused = await ask(made, 'a', 2, key='other')
    assert refused.kind is ErrorKind.overloaded
    assert isinstance(await ask(made, 'a', 3), ServiceAnswer)


def test_replay_and_snapshot_give_the_same_table():
    """Guards against a successor with other keys than its predecessor."""
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
    for each in records:
        table.apply(each)
    loaded = IdempotencyTable()
    loaded.load(table.dump())
    assert loaded.dump() == table.dump()
    assert len(loaded) == len(table) == 2
    assert table.get('k1') is None
    assert table.get('k2').answered is not None
    assert table.get('k3').intent.nonce == 'n4'
    assert table.get('k3').answered is None
