"""Tests of the HTTP API for callers."""

import asyncio
import json

import pytest
from aiohttp import ClientSession, web

from radishlift.cell.entry_rows import StoreRows
from radishlift.cell.job_service import JobService
from radishlift.cell.metrics import CellMetrics
from radishlift.cell.tables import CANCELS, JOBS, PROGRESS
from radishlift.core.clock import BootClock
from radishlift.platform.documents import decode_config
from radishlift.platform.front import FrontApi
from radishlift.services.api import Transaction, Write
from tests.cell.fakes import MemoryCellStore
from tests.platform.garbage import UNREADABLE
from tests.platform.test_documents import CONFIG
from tests.standins.tables import Fault

ID = '0123456789abcdef'
PENDING_COUNTS = {'pending': {'r-1': 4}}
JOB = json.dumps({'spec': 's', 'steps': [{'count': 1, 'cpu': 100}]})


class Service:
    """The API with an in-memory store."""

    def __init__(self) -> None:
        self.store = MemoryCellStore()
        clock = BootClock()
        self.job_service = JobService(
            StoreRows(self.store),
            clock,
            lambda: PENDING_COUNTS,
        )
        self.job_service.config = decode_config(CONFIG)
        self.metrics = CellMetrics()
        self.front = FrontApi(self.job_service, clock, self.metrics)

    async def send(self, method, path, body=None, **headers):
        url = f'http://127.0.0.1:{self.port}{path}'
        sent = {'Host': 'h.example', **headers}
        async with (
            ClientSession() as session,
            session.request(method, url, data=body, headers=sent) as answer,
        ):
            return answer.status, await answer.text(), answer.headers


@pytest.fixture
async def service():
    service = Service()
    runner = web.ServerRunner(web.Server(service.front.handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    service.port = site._server.sockets[0].getsockname()[1]
    yield service
    await runner.cleanup()


async def test_submitted_job_is_stored_and_its_state_served(service):
    status, _, _ = await service.send('POST', f'/q/{ID}', JOB)
    assert status == 200
    assert service.store.tables.read(JOBS, ID).version
    status, text, _ = await service.send('GET', f'/q/{ID}')
    assert (status, json.loads(text)) == (200, {'state': 'queued'})


async def test_reason_is_served_for_a_job_that_was_given_up(service):
    await service.send('POST', f'/q/{ID}', JOB)
    for row, expected in (
        ({'state': 'failed'}, '{"state":"failed"}'),
        (
            {'state': 'failed', 'reason': 'a task crashed its targets'},
            '{"state":"failed","reason":"a task crashed its targets"}',
        ),
    ):
        service.store.tables.commit(
            Transaction((), (Write(PROGRESS, ID, {**row, 'steps': []}),))
        )
        _, text, _ = await service.send('GET', f'/q/{ID}')
        assert text == expected


async def test_count_of_a_queue(service):
    status, text, _ = await service.send('GET', '/q/')
    assert (status, json.loads(text)) == (200, {'pending': 4})


@pytest.mark.parametrize('path', ['/other/', f'/other/{ID}'])
async def test_unknown_queue_is_not_found(service, path):
    status, _, _ = await service.send('GET', path)
    assert status == 404


@pytest.mark.parametrize('method', ['GET', 'DELETE'])
async def test_unknown_job_is_gone(service, method):
    status, _, _ = await service.send(method, f'/q/{ID}')
    assert status == 410


async def test_cancel_is_stored_before_its_answer(service):
    await service.send('POST', f'/q/{ID}', JOB)
    status, _, _ = await service.send('DELETE', f'/q/{ID}')
    assert status == 200
    assert service.store.tables.read(CANCELS, ID).version


async def test_submission_that_arrives_after_its_cancel_is_gone(service):
    status, _, _ = await service.send('DELETE', f'/q/{ID}')
    assert status == 410
    for _ in range(2):
        status, _, _ = await service.send('POST', f'/q/{ID}', JOB)
        assert status == 410
    assert not service.store.tables.read(JOBS, ID).version


async def test_refusal_has_a_retry_after_header(service):
    service.store.fail_next_commits = [Fault.down]
    status, _, headers = await service.send('POST', f'/q/{ID}', JOB)
    assert status == 503
    assert int(headers['Retry-After']) >= 1


async def test_caller_with_time_comes_back_later_in_a_long_outage(service):
    service.store.fault = Fault.down
    service.job_service.get_outage_ms = lambda: 8000
    for deadline, pauses in (('3000', {1}), ('60000', {5, 6, 7})):
        sent = {'Deadline-Ms': deadline}
        _, _, headers = await service.send('POST', f'/q/{ID}', JOB, **sent)
        assert int(headers['Retry-After']) in pauses
    assert not service.store.tables.read(JOBS, ID).version


async def test_unknown_outcome_is_not_a_refusal(service):
    service.store.fail_next_commits = [Fault.lose_answers for _ in range(9)]
    headers = {'Deadline-Ms': '200'}
    status, _, _ = await service.send('POST', f'/q/{ID}', JOB, **headers)
    assert status == 504


@pytest.mark.parametrize('body', [b'{', *UNREADABLE])
async def test_malformed_job_is_refused(service, body):
    status, _, _ = await service.send('POST', f'/q/{ID}', body)
    assert status == 400


@pytest.mark.parametrize('name', ['job.1', 'a' * 15, 'a' * 300, f'{ID}/x'])
async def test_name_that_is_no_job_id_is_refused(service, name):
    """Guards against tasks whose names in lists of targets can't be read."""
    status, _, _ = await service.send('POST', f'/q/{name}', JOB)
    assert status == 400
    for method in ('GET', 'DELETE'):
        status, _, _ = await service.send(method, f'/q/{name}')
        assert status == 410
    assert not service.store.tables.history


@pytest.mark.parametrize('deadline', ['9' * 5000, '\u0663', '-1', 'soon'])
async def test_meaningless_deadline_is_replaced(service, deadline):
    headers = {'Deadline-Ms': deadline}
    status, _, _ = await service.send('POST', f'/q/{ID}', JOB, **headers)
    assert status == 200


async def test_daemon_without_configuration_refuses(service):
    service.job_service.config = None
    status, _, _ = await service.send('GET', '/q/')
    assert status == 503


async def test_answers_are_timed(service):
    await asyncio.gather(
        service.send('GET', '/q/'),
        service.send('POST', f'/q/{ID}', JOB),
    )
    assert 'subject="submit"' in service.metrics.render()
