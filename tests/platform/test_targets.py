"""Tests of the clients of targets and of the advice service."""

import json

import pytest
from aiohttp import web

from radishlift.cell.ports import (
    AdviceAnswer,
    HoldOrder,
    HoldReport,
    StartOrder,
    StartVerdict,
    TargetRef,
)
from radishlift.core.errors import ErrorKind, Failure
from radishlift.platform.advice import PlatformAdvice
from radishlift.platform.http import JsonClient
from radishlift.platform.targets import PlatformTargets
from tests.platform.garbage import UNREADABLE, replace_fields
from tests.platform.test_http import run_server
from tests.steps.builders import key

TASK = str(key())
REPORT = {
    'clockMs': 5000,
    'born': 1_700_000_000_123,
    'running': [[TASK, 2, 'saved', 41]],
    'finished': [[58, TASK, 1, 'done', '']],
}
ADVICE = {'allowed': [['i-1', 'ticket']], 'validMs': 2000}
ORDER = HoldOrder(1, 0, None, 0)
START = StartOrder(key(), 1, 'text', 4000, 1)


class Services:
    """A target and an advice service that answer with any bytes."""

    def __init__(self) -> None:
        self.content = b''
        self.status = 200

    async def answer(self, _request):
        return web.Response(status=self.status, body=self.content)

    async def hold(self, content):
        self.content = content
        return await self.targets.hold(TargetRef('i-1', self.address), ORDER)

    async def order(self, status, content):
        """Sends a start and a stop; returns their outcomes."""
        self.status = status
        self.content = content
        target = TargetRef('i-1', self.address)
        return [
            await self.targets.start(target, START),
            await self.targets.stop(target, START.key, 1, 1),
        ]

    async def advise(self, content):
        self.content = content
        return await self.advice.request(key().step_key, ('i-1',), 500)


@pytest.fixture
async def services():
    services = Services()
    client = JsonClient()
    async with run_server(services.answer) as address:
        services.address = address
        services.targets = PlatformTargets(client)
        services.advice = PlatformAdvice(client, address)
        yield services
        await client.close()


async def test_lists_of_a_target_are_decoded(services):
    report = await services.hold(json.dumps(REPORT).encode())
    assert (report.clock_ms, report.last_sequence) == (5000, 58)
    assert report.running[0].checkpoint == 'saved'
    assert report.ended[0].key == key()


@pytest.mark.parametrize(('count', 'is_whole'), [(499, True), (500, False)])
async def test_full_page_of_ends_is_not_the_whole_list(
    services, count, is_whole
):
    ends = [[number + 1, TASK, 1, 'done', ''] for number in range(count)]
    content = json.dumps({**REPORT, 'finished': ends}).encode()
    assert (await services.hold(content)).has_all_ended is is_whole


@pytest.mark.parametrize('content', UNREADABLE)
async def test_unreadable_answers_are_failures(services, content):
    """Guards against an answer that ends the session and so the term."""
    assert isinstance(await services.hold(content), Failure)
    advice = await services.advise(content)
    assert advice == AdviceAnswer((), 0) or isinstance(advice, Failure)


async def test_no_field_of_a_list_ends_its_reader(services):
    for text in replace_fields(REPORT):
        report = await services.hold(text.encode())
        assert isinstance(report, HoldReport | Failure)


async def test_no_field_of_advice_ends_its_reader(services):
    for text in replace_fields(ADVICE):
        advice = await services.advise(text.encode())
        if isinstance(advice, AdviceAnswer):
            assert all(
                isinstance(part, str)
                for pair in advice.tickets
                for part in pair
            )
        else:
            assert advice.kind in {
                ErrorKind.bad_frame,
                ErrorKind.peer_outcome_unknown,
            }


@pytest.mark.parametrize(
    ('status', 'content'),
    [
        (200, b'{"clockMs"'),
        (202, b'{}'),
        (404, b''),
        (408, b''),
        (409, b''),
        (409, b'{"clockMs": 1, "reason": "unknown"}'),
        (409, b'fence'),
        (500, b''),
        (502, b'<html>'),
        (504, b'{}'),
    ],
)
async def test_answer_that_proves_no_rejection_leaves_the_outcome_unknown(
    services, status, content
):
    """Guards against a task that starts elsewhere while it runs."""
    for outcome in await services.order(status, content):
        assert isinstance(outcome, Failure)
        assert outcome.kind is ErrorKind.target_outcome_unknown


@pytest.mark.parametrize(
    ('status', 'content', 'verdict'),
    [
        (200, b'{"clockMs": 1}', StartVerdict.started),
        (400, b'', StartVerdict.invalid),
        (409, b'{"clockMs": 1, "reason": "fence"}', StartVerdict.fenced),
        (409, b'{"clockMs": 1, "reason": "old"}', StartVerdict.superseded),
        (409, b'{"clockMs": 1, "reason": "late"}', StartVerdict.late),
        (409, b'{"clockMs": 1, "reason": "room"}', StartVerdict.no_room),
        (409, b'{"clockMs": 1, "reason": "ticket"}', StartVerdict.bad_ticket),
        (421, b'', StartVerdict.other_process),
        (429, b'', StartVerdict.refused),
        (503, b'', StartVerdict.refused),
    ],
)
async def test_answer_of_the_protocol_is_a_verdict(
    services, status, content, verdict
):
    assert set(await services.order(status, content)) == {verdict}
