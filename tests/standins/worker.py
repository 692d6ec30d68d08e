"""Process that stands in for workers, each with its own port and clock.

Run as `python -m tests.standins.worker --listen-base 127.0.0.1:20000 --count
24`. Besides the worker protocol of docs/design.md each worker serves
`GET /admin/record`, `POST /admin/mode {"network", "fails_tasks"}` and
`POST /admin/restart`.
"""

import argparse
import asyncio
from dataclasses import replace
from enum import Enum, unique
from typing import Any

from aiohttp import web

from tests.standins.checks import WorkerRecord
from tests.standins.worker_model import Refusal, WorkerModel, WorkerOptions

RACK_SIZE = 8
_START_PATH = '/tasks/start'
_REDIRECT = {'Location': 'http://127.0.0.1:1/'}


@unique
class Network(Enum):
    """Network fault of requests; `hold` delays them until the mode changes.

    `lose_starts` and `hold_starts` affect only requests that start a task.
    `redirect` answers with the address of a host that refuses connections.
    """

    normal = 'normal'
    refuse = 'refuse'
    hang = 'hang'
    hold = 'hold'
    lose_answers = 'lose_answers'
    lose_starts = 'lose_starts'
    hold_starts = 'hold_starts'
    redirect = 'redirect'


class WorkerStandIn:
    """Serves one worker over HTTP."""

    def __init__(self, options: WorkerOptions) -> None:
        self.model = WorkerModel('', options)
        self.network = Network.normal
        self.seen: list[str] = []
        self.waiting_count = 0
        self.last_start: dict[str, Any] = {}
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def listen(self, host: str, port: int) -> None:
        """Serves on an address; port 0 selects a free port."""
        app = self.application()
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, backlog=1024).start()
        bound_port = self._runner.addresses[0][1]
        self.model = replace(self.model, worker_id=f'{host}:{bound_port}')

    async def close(self) -> None:
        """Stops serving."""
        self.set_network(Network.refuse)
        if self._runner is not None:
            await self._runner.cleanup()

    def application(self) -> web.Application:
        """Builds the application with all routes."""
        app = web.Application(middlewares=[self._apply_network_mode])
        app.add_routes(
            [
                web.get('/worker', self.describe),
                web.post('/tasks/start', self.start),
                web.post('/tasks/renew', self.renew),
                web.post('/tasks/forget', self.forget),
                web.post('/tasks/{order:stop|throttle|checkpoint}', self.order),
                web.get('/report', self.report),
                web.get('/admin/record', self.show_record),
                web.post('/admin/mode', self.set_mode),
                web.post('/admin/restart', self.restart),
            ]
        )
        return app

    def set_network(self, network: Network) -> None:
        """Changes the network mode, also for requests that wait."""
        self.network = network
        self._changed.set()
        self._changed = asyncio.Event()

    def worker_record(self) -> WorkerRecord:
        """Returns the record of executions up to now."""
        self.model.end_due_attempts()
        options = self.model.options
        return WorkerRecord(
            self.model.worker_id,
            options.cpu_milli,
            options.memory_mb,
            options.accelerators,
            self.model.record,
        )

    async def describe(self, _request: web.Request) -> web.Response:
        """Answers `GET /worker`."""
        options = self.model.options
        return web.json_response(
            {
                'worker_id': self.model.worker_id,
                'incarnation': self.model.incarnation,
                'clock_ms': self.model.clock_ms(),
                'rack': options.rack,
                'data_centre': options.data_centre,
                'cpu_milli': options.cpu_milli,
                'memory_mb': options.memory_mb,
                'accelerators': options.accelerators,
            }
        )

    async def start(self, request: web.Request) -> web.Response:
        """Answers `POST /tasks/start`."""
        self.last_start = await request.json()
        return self._answer(self.model.start(self.last_start))

    async def renew(self, request: web.Request) -> web.Response:
        """Answers `POST /tasks/renew`."""
        return self._answer(self.model.renew(await request.json()))

    async def order(self, request: web.Request) -> web.Response:
        """Answers stop, throttle and checkpoint requests for an attempt."""
        body = await request.json()
        order = getattr(self.model, request.match_info['order'])
        return self._answer(order((body['task_id'], body['attempt'])))

    async def forget(self, request: web.Request) -> web.Response:
        """Answers `POST /tasks/forget`."""
        body = await request.json()
        self.model.forget([tuple(key) for key in body['tasks']])
        return self._answer(None)

    async def report(self, _request: web.Request) -> web.Response:
        """Answers `GET /report`."""
        return web.json_response(self.model.report())

    async def show_record(self, _request: web.Request) -> web.Response:
        """Answers with the record of executions."""
        return web.json_response(self.worker_record().plain())

    async def set_mode(self, request: web.Request) -> web.Response:
        """Sets the modes that the body contains."""
        body = await request.json()
        self.model.fails_tasks = body.get('fails_tasks', self.model.fails_tasks)
        self.set_network(Network(body.get('network', self.network.value)))
        return web.Response(status=204)

    async def restart(self, _request: web.Request) -> web.Response:
        """Restarts the worker: its tasks end and its incarnation changes."""
        self.model.restart()
        return web.Response(status=204)

    def _answer(self, outcome: str | Refusal | None) -> web.Response:
        if isinstance(outcome, Refusal):
            return web.json_response({'reason': outcome.reason}, status=409)
        body: dict[str, Any] = {'clock_ms': self.model.clock_ms()}
        if outcome is not None:
            body['state'] = outcome
        return web.json_response(body)

    @web.middleware
    async def _apply_network_mode(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith('/admin'):
            return await handler(request)
        while self._is_delayed(request):
            was_hanging = self.network is Network.hang
            self.waiting_count += 1
            await self._changed.wait()
            self.waiting_count -= 1
            if was_hanging:
                return _reset(request)
        if self.network is Network.refuse:
            return _reset(request)
        self.seen.append(request.path)
        response = await handler(request)
        is_start = request.path == _START_PATH
        is_lost = is_start and self.network is Network.lose_starts
        if is_lost or self.network is Network.lose_answers:
            return _reset(request)
        if self.network is Network.redirect:
            return web.Response(status=307, headers=_REDIRECT)
        return response

    def _is_delayed(self, request: web.Request) -> bool:
        if request.path == _START_PATH and self.network is Network.hold_starts:
            return True
        return self.network in {Network.hang, Network.hold}


def _reset(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def serve(options: argparse.Namespace) -> None:
    """Serves the workers until the process is stopped."""
    host, _, base = options.listen_base.rpartition(':')
    workers = []
    first_sizes: dict[str, tuple[int, int]] = {}
    for index in range(options.count):
        worker = WorkerStandIn(
            WorkerOptions(
                rack=f'{options.rack_prefix}{index // RACK_SIZE + 1}',
                data_centre=options.data_centre,
                cpu_milli=options.cpu_milli,
                memory_mb=options.memory_mb,
                accelerators=options.accelerators,
                seed=options.seed,
                run_time_range=tuple(options.run_time_range),
                unknown_run_ms=options.unknown_run_ms,
                first_sizes=first_sizes,
            )
        )
        await worker.listen(host, int(base) + index)
        workers.append(worker)
    await asyncio.Event().wait()


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--listen-base', required=True)
    parser.add_argument('--count', type=int, default=24)
    parser.add_argument('--rack-prefix', default='r')
    parser.add_argument('--data-centre', default='dc1')
    parser.add_argument('--cpu-milli', type=int, default=30_000)
    parser.add_argument('--memory-mb', type=int, default=130_000)
    parser.add_argument('--accelerators', type=int, default=0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--unknown-run-ms', type=int, default=0)
    parser.add_argument(
        '--run-time-range', type=float, nargs=2, default=(0.2, 5.0)
    )
    asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
