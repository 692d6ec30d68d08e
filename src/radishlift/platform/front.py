"""HTTP interface towards callers, as the platform's pages describe it."""

from types import MappingProxyType
from typing import Final

from aiohttp import web

from radishlift.cell.job_service import JobService
from radishlift.cell.metrics import CellMetrics, Operation
from radishlift.cell.queues import Queue
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId
from radishlift.platform.submissions import decode_submission

_GONE: Final = 410
# Used when a caller does not say how long it waits.
_DEFAULT_DEADLINE_MS: Final = 3000
_MS_IN_S: Final = 1000
_OPERATIONS: Final = MappingProxyType(
    {'POST': Operation.submit, 'DELETE': Operation.cancel},
)


class Front:
    """Serves submissions, states, cancels and counts of queues."""

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
        """Serves one request of a caller."""
        began_at_ms = self._clock.monotonic_ms()
        host = request.headers.get('Host', '').partition(':')[0]
        queue = self._intake.find_queue(host, request.path)
        if isinstance(queue, Failure):
            return _error(queue)
        job_id = JobId(request.path.removeprefix(queue.path_prefix))
        operation = Operation.count
        if job_id:
            operation = _OPERATIONS.get(request.method, Operation.state)
        response = await self._answer(request, queue, job_id, operation)
        waited_ms = self._clock.monotonic_ms() - began_at_ms
        self._metrics.observe(operation, waited_ms)
        return response

    async def _answer(
        self,
        request: web.BaseRequest,
        queue: Queue,
        job_id: JobId,
        operation: Operation,
    ) -> web.Response:
        if operation is Operation.count:
            pending = self._intake.count_pending(queue.terms.queue)
            return _json(f'{{"pending":{pending}}}')
        if operation is Operation.submit:
            return await self._submit(request, queue, job_id)
        if operation is Operation.cancel:
            outcome = await self._intake.cancel(job_id, self._deadline(request))
            return _done_or_gone(outcome)
        return await self._state(job_id)

    async def _submit(
        self,
        request: web.BaseRequest,
        queue: Queue,
        job_id: JobId,
    ) -> web.Response:
        deadline_ms = self._deadline(request)
        spec = decode_submission(job_id, await request.read())
        if isinstance(spec, Failure):
            return _error(spec)
        outcome = await self._intake.submit(queue, spec, deadline_ms)
        if isinstance(outcome, Failure):
            return _error(outcome)
        return _json('{}')

    async def _state(self, job_id: JobId) -> web.Response:
        state = await self._intake.read_state(job_id)
        if isinstance(state, Failure):
            return _done_or_gone(state)
        return _json(f'{{"state":"{state.value}"}}')

    def _deadline(self, request: web.BaseRequest) -> int:
        given = request.headers.get('Deadline-Ms', '')
        wait_ms = int(given) if given.isdecimal() else _DEFAULT_DEADLINE_MS
        return self._clock.monotonic_ms() + wait_ms


def _done_or_gone(outcome: Failure | None) -> web.Response:
    if outcome is None:
        return _json('{}')
    if outcome.kind is ErrorKind.not_found:
        return web.Response(status=_GONE)
    return _error(outcome)


def _json(text: str) -> web.Response:
    return web.Response(text=text, content_type='application/json')


def _error(failure: Failure) -> web.Response:
    answer = failure.answer
    headers = {}
    if answer.retry_after_ms is not None:
        # Whole seconds, rounded up.
        seconds = -(-answer.retry_after_ms // _MS_IN_S)
        headers['Retry-After'] = str(max(1, seconds))
    return web.Response(status=answer.http_status, headers=headers)


__all__ = ('Front',)
