"""HTTP API for callers, as specified by the platform."""

import json
import re
from types import MappingProxyType
from typing import Final

from aiohttp import web

from radishlift.access.gate import Caller
from radishlift.cell.job_service import JobService
from radishlift.cell.metrics import CellMetrics, Operation
from radishlift.cell.queues import Queue
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId
from radishlift.platform.submissions import decode_submission

_GONE: Final = 410
# Used when a caller sends no deadline.
_DEFAULT_DEADLINE_MS: Final = 3000
# Longer texts are no deadline that a caller can mean.
_MAX_DEADLINE_DIGITS: Final = 9
_MS_IN_S: Final = 1000
# Ids become parts of row keys and of the names of tasks.
_JOB_ID: Final = re.compile('[0-9a-fA-F]{16}')
_OPERATIONS: Final = MappingProxyType(
    {'POST': Operation.submit, 'DELETE': Operation.cancel},
)


class FrontApi:
    """Serves job submissions, states, cancellations and queue counts."""

    def __init__(
        self,
        intake: JobService,
        clock: Clock,
        metrics: CellMetrics,
    ) -> None:
        self._intake = intake
        self._clock = clock
        self._metrics = metrics

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Serves one request and observes its duration."""
        started_at_ms = self._clock.monotonic_ms()
        host = request.headers.get('Host', '').partition(':')[0]
        queue = self._intake.find_queue(host, request.path)
        if isinstance(queue, Failure):
            return _error_response(queue)
        authorizations = request.headers.getall('Authorization', [])
        caller = self._intake.identify(queue, authorizations)
        if isinstance(caller, Failure):
            return _error_response(caller)
        job_id = JobId(request.path.removeprefix(queue.path_prefix))
        operation = Operation.count
        if job_id:
            operation = _OPERATIONS.get(request.method, Operation.state)
        response = await self._answer(request, queue, job_id, operation, caller)
        took_ms = self._clock.monotonic_ms() - started_at_ms
        self._metrics.observe(operation, took_ms)
        return response

    async def _answer(
        self,
        request: web.BaseRequest,
        queue: Queue,
        job_id: JobId,
        operation: Operation,
        caller: Caller,
    ) -> web.Response:
        if operation is Operation.count:
            pending = self._intake.count_pending(queue.terms.queue)
            return _json_response(f'{{"pending":{pending}}}')
        if not _JOB_ID.fullmatch(job_id):
            return _invalid_id_response(operation)
        if operation is Operation.submit:
            return await self._submit(request, queue, job_id, caller)
        if operation is Operation.cancel:
            outcome = await self._intake.cancel(
                job_id, self._deadline_ms(request), caller
            )
            return _outcome_response(outcome)
        return await self._state(job_id, caller)

    async def _submit(
        self,
        request: web.BaseRequest,
        queue: Queue,
        job_id: JobId,
        caller: Caller,
    ) -> web.Response:
        deadline_ms = self._deadline_ms(request)
        spec = decode_submission(job_id, await request.read())
        if isinstance(spec, Failure):
            return _error_response(spec)
        outcome = await self._intake.submit(queue, spec, deadline_ms, caller)
        response = _outcome_response(outcome)
        if outcome and outcome.kind is ErrorKind.store_unavailable:
            pause_s = self._intake.choose_pause_s(job_id, deadline_ms)
            response.headers['Retry-After'] = str(pause_s)
        return response

    async def _state(self, job_id: JobId, caller: Caller) -> web.Response:
        status = await self._intake.read_status(job_id, caller)
        if isinstance(status, Failure):
            return _outcome_response(status)
        fields = {'state': status.state.value}
        if status.reason:
            fields['reason'] = status.reason
        return _json_response(json.dumps(fields, separators=(',', ':')))

    def _deadline_ms(self, request: web.BaseRequest) -> int:
        deadline_text = request.headers.get('Deadline-Ms', '')
        is_number = deadline_text.isascii() and deadline_text.isdecimal()
        wait_ms = _DEFAULT_DEADLINE_MS
        if is_number and len(deadline_text) <= _MAX_DEADLINE_DIGITS:
            wait_ms = int(deadline_text)
        return self._clock.monotonic_ms() + wait_ms


def _invalid_id_response(operation: Operation) -> web.Response:
    # No job can have such an id.
    if operation is Operation.submit:
        return _error_response(Failure(ErrorKind.invalid_input, 'job id'))
    return web.Response(status=_GONE)


def _outcome_response(outcome: Failure | None) -> web.Response:
    if outcome is None:
        return _json_response('{}')
    if outcome.kind in {ErrorKind.not_found, ErrorKind.cancelled}:
        return web.Response(status=_GONE)
    return _error_response(outcome)


def _json_response(text: str) -> web.Response:
    return web.Response(text=text, content_type='application/json')


def _error_response(failure: Failure) -> web.Response:
    answer = failure.answer
    headers = {}
    if failure.kind is ErrorKind.unauthenticated:
        headers['WWW-Authenticate'] = 'Bearer'
    if answer.retry_after_ms is not None:
        # Whole seconds, rounded up.
        seconds = -(-answer.retry_after_ms // _MS_IN_S)
        headers['Retry-After'] = str(max(1, seconds))
    text = failure.reason if failure.kind is ErrorKind.too_large else None
    return web.Response(status=answer.http_status, headers=headers, text=text)


__all__ = ('FrontApi',)
