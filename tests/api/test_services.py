from urllib.parse import quote

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from yarl import URL

from radishlift.api.application import build_application
from radishlift.api.jobs import JobHandlers
from radishlift.api.limits import ApiSettings, LimitsMiddleware
from radishlift.api.readiness import ReadinessState
from radishlift.api.services import ServiceHandlers
from radishlift.core.errors import ErrorKind, Failure
from radishlift.placement.jobs import JobSpec
from radishlift.requests.api import ServiceAnswer

REQUESTS_PATH = '/v1/services/rugdesk/requests'


class Recorder:
    """A fake router and job gateway that records its calls."""

    def __init__(self) -> None:
        self.requests = []
        self.names = []
        self.answer = ServiceAnswer(200, b'done', 'text/plain')

    async def handle(self, request):
        self.requests.append(request)
        return self.answer

    async def submit(self, spec: JobSpec, timeout_ms: int):
        self.names.append(spec.job_id)
        return spec

    async def status(self, job_id: str, timeout_ms: int):
        self.names.append(job_id)
        return Failure(ErrorKind.not_found, 'no such job')

    async def explain(self, task_id: str, timeout_ms: int):
        self.names.append(task_id)
        raise RuntimeError('fault in a handler')


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
async def client(recorder):
    settings = ApiSettings(max_body_bytes=2048, max_headers_count=12)
    app: web.Application = build_application(
        settings,
        ReadinessState(),
        LimitsMiddleware(settings),
        (ServiceHandlers(recorder.handle), JobHandlers(recorder, 1000)),
    )
    async with TestClient(TestServer(app)) as opened:
        yield opened


async def test_request_reaches_the_router_complete(client, recorder):
    """Guards against lost headers or a lost body of a caller's request."""
    headers = {
        'Idempotency-Key': 'order-1',
        'Radishlift-Class': 'term_order',
        'Radishlift-Deadline-Ms': '1500',
        'X-Shop': '12',
    }
    async with client.post(
        REQUESTS_PATH,
        data=b'kit',
        headers=headers,
    ) as reply:
        assert (reply.status, await reply.read()) == (200, b'done')
        assert reply.headers['Radishlift-Request-Id']
    request = recorder.requests[0]
    assert (request.service, request.body) == ('rugdesk', b'kit')
    assert (request.idempotency_key, request.deadline_ms) == ('order-1', 1500)
    assert ('X-Shop', '12') in request.headers


@pytest.mark.parametrize(
    ('headers', 'body', 'status'),
    [
        ({'Radishlift-Deadline-Ms': 'soon'}, b'', 400),
        ({'Radishlift-Deadline-Ms': '-5'}, b'', 400),
        ({'Radishlift-Idempotent': 'perhaps'}, b'', 400),
        ({'Idempotency-Key': 'k' * 201}, b'', 400),
        ({f'X-{number}': '1' for number in range(13)}, b'', 413),
        ({}, b'x' * 4096, 413),
    ],
)
async def test_bad_input_is_refused_as_not_run(
    client,
    recorder,
    headers,
    body,
    status,
):
    """Guards against invalid input that is dispatched or ends the daemon."""
    async with client.post(REQUESTS_PATH, data=body, headers=headers) as reply:
        assert reply.status == status
        assert (await reply.json())['outcome'] == 'not_run'
    assert not recorder.requests


@pytest.mark.parametrize('name', ['a b', 'a%2Fb', 'plan/7'])
async def test_names_in_a_path_are_decoded_once(client, recorder, name):
    """Guards against names in a path that are percent-decoded twice."""
    path = URL(f'/v1/jobs/{quote(name, safe="")}', encoded=True)
    async with client.get(path) as reply:
        assert reply.status == 404
    assert recorder.names == [name]


async def test_fault_in_a_handler_is_an_unknown_outcome(client):
    """Guards against `not_run` for work that an error interrupted."""
    async with client.get('/v1/tasks/j%2F0/explain') as reply:
        assert reply.status == 500
        assert (await reply.json())['outcome'] == 'unknown'


async def test_job_with_wrong_fields_names_each(client, recorder):
    """Guards against a job that is accepted with a default for a bad field."""
    job = {'job_id': '', 'kind': 'heap', 'task_count': '3'}
    async with client.post('/v1/jobs', json=job) as reply:
        reason = (await reply.json())['reason']
        assert reply.status == 400
    assert 'kind' in reason
    assert 'task_count' in reason
    assert not recorder.names


async def test_busy_daemon_answers_its_balancer():
    """Guards against a load balancer that removes all busy daemons at once."""
    settings = ApiSettings()
    limits = LimitsMiddleware(settings)
    app = build_application(settings, ReadinessState(), limits, ())
    limits.in_flight_count = settings.max_in_flight_count
    async with TestClient(TestServer(app)) as opened:
        ready = await opened.get('/ready')
        assert (await ready.json())['state'] == 'starting'
        other = await opened.get('/v1/status')
        assert (await other.json())['error'] == ErrorKind.overloaded.value
