"""Tests of the HTTP API for callers."""

import asyncio
import json
import socket
import time
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession, web

from radishlift.access.freshness import ConfigFreshness
from radishlift.access.gate import KeyGate
from radishlift.access.settings import AccessSettings
from radishlift.cell.entry_rows import StoreRows
from radishlift.cell.job_service import JobService
from radishlift.cell.metrics import CellMetrics
from radishlift.cell.settings import CellSettings
from radishlift.cell.suspension import RecentRows, SuspensionMonitor
from radishlift.cell.tables import CANCELS, JOBS, PROGRESS
from radishlift.core.clock import BootClock
from radishlift.platform.documents import decode_config
from radishlift.platform.front import FrontApi
from radishlift.platform.listeners import make_server
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


def suspend_process():
    # Nothing else of this process runs meanwhile.
    time.sleep(0.3)


@asynccontextmanager
async def serving(service):
    runner = web.ServerRunner(make_server(service.front.handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    service.port = site._server.sockets[0].getsockname()[1]
    try:
        yield service
    finally:
        await runner.cleanup()


@pytest.fixture
async def service():
    async with serving(Service()) as service:
        yield service


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


async def test_submission_that_waited_in_a_socket_is_refused():
    """Guards against a job that a suspended daemon reads after its cancel."""
    service = Service()
    settings = CellSettings(forget_ended_ms=200)
    suspension = SuspensionMonitor(settings, BootClock())
    service.job_service = JobService(
        RecentRows(StoreRows(service.store), suspension),
        BootClock(),
        lambda: PENDING_COUNTS,
    )
    service.job_service.config = decode_config(CONFIG)
    service.front = FrontApi(service.job_service, BootClock(), CellMetrics())
    async with serving(service):
        checks = asyncio.create_task(suspension.run())
        await asyncio.sleep(0.01)
        with socket.create_connection(('127.0.0.1', service.port)) as client:
            head = f'POST /q/{ID} HTTP/1.1\r\nHost: h.example\r\n'
            length = f'Content-Length: {len(JOB)}\r\n\r\n'
            client.sendall(f'{head}{length}{JOB}'.encode())
            suspend_process()
            reader, _ = await asyncio.open_connection(sock=client)
            assert (await reader.readline()).split()[1] == b'503'
        checks.cancel()
    assert not service.store.tables.history


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


async def test_job_that_no_row_can_hold_is_refused(service):
    """Guards against a job that no leader can ever commit."""
    service.job_service = JobService(
        StoreRows(service.store), BootClock(), dict, max_row_bytes=65_536
    )
    service.job_service.config = decode_config(CONFIG)
    service.front._intake = service.job_service
    usual = {'spec': 's', 'steps': [{'count': 1000, 'cpu': 10}]}
    large = {'spec': 's', 'steps': [{'count': 2400, 'cpu': 10}]}
    long = {'spec': 's', 'steps': [{'count': 1, 'image': 'i' * 66_000}]}
    for number, job, expected in (
        (1, usual, 200),
        (2, large, 413),
        (3, {**usual, 'repeats': 2}, 413),
        (4, long, 413),
    ):
        status, text, _ = await service.send(
            'POST', f'/q/{number:016x}', json.dumps(job)
        )
        assert status == expected
        assert ('65536 (rowBytes)' in text) is (status == 413)
    assert len(service.store.tables.history) == 1


WORKSPACES = [
    {'name': 'w1', 'apiKeys': ['k1', 'k1-second']},
    {'name': 'w2', 'apiKeys': ['k2']},
]


def require_keys(service, *, public=False):
    route = {**CONFIG['routes'][0], 'public': public}
    service.job_service.config = decode_config(
        {**CONFIG, 'routes': [route], 'tenants': WORKSPACES}
    )


@pytest.mark.parametrize(
    'authorization',
    [
        None,
        'Bearer k3',
        'Bearer k1 k2',
        'Bearer',
        'Bearer k\xe9',
        'Basic k1',
        'k1',
        'Bearer ' + 'k' * 8192,
    ],
)
async def test_call_without_a_valid_key_is_unauthenticated(
    service, authorization
):
    require_keys(service)
    headers = {}
    if authorization is not None:
        headers['Authorization'] = authorization
    for method, path in (
        ('POST', f'/q/{ID}'),
        ('GET', f'/q/{ID}'),
        ('DELETE', f'/q/{ID}'),
        ('GET', '/q/'),
    ):
        # The body is not read, so that its faults don't matter.
        status, _, answered = await service.send(method, path, '{', **headers)
        assert (status, answered['WWW-Authenticate']) == (401, 'Bearer')
    status, _, _ = await service.send('POST', f'/other/{ID}', JOB, **headers)
    assert status == 404
    assert not service.store.tables.history


async def test_two_authorization_headers_are_unauthenticated(service):
    """Guards against readers of headers that choose different ones."""
    require_keys(service)
    url = f'http://127.0.0.1:{service.port}/q/'
    sent = [
        ('Host', 'h.example'),
        ('Authorization', 'Bearer k1'),
        ('Authorization', 'Bearer k1'),
    ]
    async with (
        ClientSession() as session,
        session.get(url, headers=sent) as answer,
    ):
        assert answer.status == 401


@pytest.mark.parametrize('key', ['secret\x01', 'secret' * 3000])
async def test_header_that_can_not_be_parsed_is_not_logged(
    service, key, caplog
):
    """Guards against keys in the log of the HTTP library."""
    reader, writer = await asyncio.open_connection('127.0.0.1', service.port)
    lines = f'GET /q/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}'
    writer.write(f'{lines}\r\n\r\n'.encode())
    assert b' 400 ' in await reader.readline()
    writer.close()
    assert 'malformed request' in caplog.text
    assert 'secret' not in caplog.text


async def test_job_belongs_to_the_workspace_of_its_key(service):
    require_keys(service)
    first = {'Authorization': 'Bearer k1'}
    second = {'Authorization': 'bearer k1-second'}
    other = {'Authorization': 'Bearer k2'}
    status, _, _ = await service.send('POST', f'/q/{ID}', JOB, **first)
    row = service.store.tables.read(JOBS, ID).value
    assert (status, row['workspace']) == (200, 'w1')
    assert 'k1' not in json.dumps(row)
    for headers, expected in ((first, 200), (second, 200), (other, 410)):
        status, _, _ = await service.send('GET', f'/q/{ID}', **headers)
        assert status == expected
    status, _, _ = await service.send('POST', f'/q/{ID}', JOB, **other)
    assert status == 409
    status, _, _ = await service.send('DELETE', f'/q/{ID}', **other)
    assert status == 410
    assert not service.store.tables.read(CANCELS, ID).version
    status, _, _ = await service.send('DELETE', f'/q/{ID}', **second)
    assert status == 200


async def test_daemon_with_an_old_configuration_refuses_keys_for_a_while(
    service,
):
    """Guards against keys that were taken away, and against new ones."""
    require_keys(service)
    service.job_service._gate = KeyGate(
        ConfigFreshness(BootClock()), AccessSettings(5000, 3000)
    )
    for key in ('k1', 'new'):
        headers = {'Authorization': f'Bearer {key}'}
        status, _, answered = await service.send(
            'POST', f'/q/{ID}', JOB, **headers
        )
        assert (status, answered['Retry-After']) == (503, '1')
    assert not service.store.tables.history
    require_keys(service, public=True)
    status, _, _ = await service.send('POST', f'/q/{ID}', JOB)
    assert status == 200


async def test_public_queue_requires_no_key(service):
    require_keys(service, public=True)
    for headers in ({}, {'Authorization': 'Bearer k3'}):
        status, _, _ = await service.send('POST', f'/q/{ID}', JOB, **headers)
        assert status == 200
    assert 'workspace' not in service.store.tables.read(JOBS, ID).value


async def test_job_stays_with_its_caller_once_its_queue_is_public(service):
    """Guards against an accepted job that is answered 410."""
    require_keys(service)
    first = {'Authorization': 'Bearer k1'}
    await service.send('POST', f'/q/{ID}', JOB, **first)
    require_keys(service, public=True)
    other = {'Authorization': 'Bearer k2'}
    for method in ('GET', 'DELETE'):
        for headers, expected in (({}, 401), (other, 410), (first, 200)):
            status, _, _ = await service.send(method, f'/q/{ID}', **headers)
            assert status == expected


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
