"""HTTP handlers for jobs and tasks."""

from typing import Any, Protocol

from aiohttp import web

from radishlift.api.responses import failure_response, result_response
from radishlift.core.codec import parse_json
from radishlift.core.errors import Failure
from radishlift.core.ids import JobId, TaskId
from radishlift.placement.jobs import JobSpec

_ACCEPTED = 202


class JobGateway(Protocol):
    """Routes jobs to the owners of their home partitions."""

    async def submit(self, spec: JobSpec, timeout_ms: int) -> Any:
        """Submits a job; returns its (first) acceptance or a failure."""

    async def cancel(self, job_id: JobId, timeout_ms: int) -> Any:
        """Cancels a job; returns its state or a failure."""

    async def status(self, job_id: JobId, timeout_ms: int) -> Any:
        """Returns the state of a job or a failure."""

    async def explain(self, task_id: TaskId, timeout_ms: int) -> Any:
        """Returns why a task runs on its worker or waits, or a failure."""


class JobHandlers:
    """Handles `/v1/jobs` and `/v1/tasks`."""

    def __init__(self, gateway: JobGateway, timeout_ms: int) -> None:
        self._gateway = gateway
        self._timeout_ms = timeout_ms

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_post('/v1/jobs', self.submit)
        app.router.add_get('/v1/jobs/{job_id}', self.show)
        app.router.add_post('/v1/jobs/{job_id}/cancel', self.cancel)
        app.router.add_get('/v1/tasks/{task_id}/explain', self.explain)

    async def submit(self, request: web.Request) -> web.Response:
        """Submits a job; repeating the same job id is idempotent."""
        spec = parse_json(await request.read(), JobSpec)
        if isinstance(spec, Failure):
            return failure_response(spec)
        outcome = await self._gateway.submit(spec, self._timeout_ms)
        return result_response(outcome, _ACCEPTED)

    async def show(self, request: web.Request) -> web.Response:
        """Returns the state of a job."""
        job_id = JobId(request.match_info['job_id'])
        return result_response(
            await self._gateway.status(job_id, self._timeout_ms)
        )

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels a job; repeating it is idempotent."""
        job_id = JobId(request.match_info['job_id'])
        return result_response(
            await self._gateway.cancel(job_id, self._timeout_ms)
        )

    async def explain(self, request: web.Request) -> web.Response:
        """Returns the explanation of a task's placement."""
        task_id = TaskId(request.match_info['task_id'])
        return result_response(
            await self._gateway.explain(task_id, self._timeout_ms)
        )


__all__ = ('JobGateway', 'JobHandlers')
