"""Process that stands in for executors; it doesn't enforce slot limits.

Run as `python -m tests.standins.executor --listen-base 127.0.0.1:21000
--count 24 --service rugdesk`; it serves consecutive ports. Each port has
`GET /admin/record` and `POST /admin/mode {"mode", "for_ms"}`.
"""

import argparse
import asyncio
import json
import random
import time
from dataclasses import asdict
from enum import Enum, unique
from hashlib import sha256

from aiohttp import web

from tests.standins.request_checks import Execution

DEFAULT_SERVICE_MS = 100
SLOW_FACTOR = 10


@unique
class Mode(Enum):
    """Fault that an executor simulates."""

    none = 'none'
    fail = 'fail'
    slow = 'slow'
    late = 'late'
    short = 'short'
    wrong_id = 'wrong_id'
    hang = 'hang'
    refuse = 'refuse'


def expected_answer(request_id: str, body: bytes) -> bytes:
    """Returns the answer of an executor to a request."""
    digest = sha256(body).hexdigest()
    return json.dumps({'request_id': request_id, 'digest': digest}).encode()


def pad_answer(answer: bytes, size_bytes: int) -> bytes:
    """Repeats an answer up to a size; returns a longer answer unchanged."""
    if len(answer) >= size_bytes:
        return answer
    return (answer * (size_bytes // len(answer) + 1))[:size_bytes]


class ExecutorStandIn:
    """One executor; it finishes a request whose caller has disconnected."""

    def __init__(
        self,
        address: str,
        service_ms: dict[str, int] | None = None,
        seed: int = 1,
    ) -> None:
        self.address = address
        self.mode = Mode.none
        self.executions: list[Execution] = []
        self.running = 0
        self.peak = 0
        self.peak_connections = 0
        self.answer_bytes = 0
        self.cancel_hang = asyncio.Event()
        self._service_ms = service_ms or {}
        self._random = random.Random(f'{seed}/{address}')
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._restart: asyncio.Task[None] | None = None

    def set_service_ms(self, mean_ms: int) -> None:
        """Sets the mean service time of all request classes."""
        self._service_ms = {'': mean_ms}

    async def start(self) -> None:
        """Sets up the routes and starts to listen."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post('/run', self._run)
        app.router.add_get('/admin/record', self._show_record)
        app.router.add_post('/admin/mode', self._set_mode)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await self.listen()

    async def listen(self) -> None:
        """Listens on the executor's port."""
        host, _, port = self.address.rpartition(':')
        self._site = web.TCPSite(
            self._runner, host, int(port), reuse_address=True
        )
        await self._site.start()

    async def refuse(self) -> None:
        """Stops listening: refuses new connections and closes open ones."""
        if self._site is not None:
            await self._site.stop()
        self._site = None
        for connection in list(self._runner.server.connections):
            connection.force_close()

    async def stop(self) -> None:
        """Ends hanging requests and shuts down the server."""
        self.cancel_hang.set()
        await self._runner.cleanup()

    async def _run(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        execution = Execution(
            self.address,
            request.headers.get('X-Request-Id', ''),
            request.headers.get('Idempotency-Key', ''),
            request.headers.get('Radishlift-Class', ''),
            _now_ms(),
        )
        self.executions.append(execution)
        self.running += 1
        self.peak = max(self.peak, self.running)
        connections = len(self._runner.server.connections)
        self.peak_connections = max(self.peak_connections, connections)
        mode = self.mode
        try:
            await self._work(mode, execution, request)
        finally:
            self.running -= 1
            execution.end_ms = _now_ms()
        return await self._answer(mode, request, body)

    async def _work(
        self, mode: Mode, execution: Execution, request: web.Request
    ) -> None:
        mean_ms = self._service_ms.get(
            execution.request_class,
            self._service_ms.get('', DEFAULT_SERVICE_MS),
        )
        work_ms = mean_ms * self._random.uniform(0.5, 1.5)
        if mode is Mode.hang:
            await self.cancel_hang.wait()
        if mode is Mode.slow:
            work_ms *= SLOW_FACTOR
        if mode is Mode.late:
            work_ms = int(request.headers['X-Deadline-Ms']) + mean_ms
        await asyncio.sleep(work_ms / 1000)

    async def _answer(
        self, mode: Mode, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        request_id = request.headers.get('X-Request-Id', '')
        answer = pad_answer(
            expected_answer(request_id, body), self.answer_bytes
        )
        if mode is Mode.wrong_id:
            request_id = f'other-{request_id}'
        headers = {'X-Request-Id': request_id}
        if mode is Mode.fail:
            return web.Response(status=500, headers=headers, body=b'failed')
        if mode is Mode.short:
            return await self._send_truncated(request, headers, answer)
        return web.Response(body=answer, headers=headers)

    async def _send_truncated(
        self, request: web.Request, headers: dict[str, str], answer: bytes
    ) -> web.StreamResponse:
        if request.transport is None or request.transport.is_closing():
            return web.Response()
        headers['Content-Length'] = str(len(answer))
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(answer[: len(answer) // 2])
        request.transport.close()
        return response

    async def _show_record(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                'peak': self.peak,
                'peak_connections': self.peak_connections,
                'executions': [
                    asdict(execution) for execution in self.executions
                ],
            }
        )

    async def _set_mode(self, request: web.Request) -> web.Response:
        plain = await request.json()
        self.mode = Mode(plain['mode'])
        if self.mode is Mode.refuse:
            for_ms = plain.get('for_ms', 1000)
            self._restart = asyncio.create_task(self._refuse_for(for_ms))
        elif self.mode is not Mode.hang:
            self.cancel_hang.set()
        return web.Response(status=204)

    async def _refuse_for(self, for_ms: int) -> None:
        await self.refuse()
        await asyncio.sleep(for_ms / 1000)
        self.mode = Mode.none
        await self.listen()


def _now_ms() -> float:
    return time.monotonic() * 1000


async def serve(options: argparse.Namespace) -> None:
    """Serves the executors until the process is ended."""
    host, _, port = options.listen_base.rpartition(':')
    service_ms = {}
    for pair in options.service_ms.split(','):
        request_class, _, mean_ms = pair.rpartition('=')
        service_ms[request_class] = int(mean_ms)
    for index in range(options.count):
        address = f'{host}:{int(port) + index}'
        await ExecutorStandIn(address, service_ms, options.seed).start()
    print('ready', flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--listen-base', required=True)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--service', default='')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--service-ms',
        default=str(DEFAULT_SERVICE_MS),
        help='mean times of classes, as `normal=100,urgent=50`; a number '
        'without a class is for all others',
    )
    asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
