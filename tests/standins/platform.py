"""Process that stands in for the platform's services.

Run as `python -m tests.standins.platform --listen 127.0.0.1:7000`. It serves
the protocol of docs/design.md and, under `/admin`, endpoints for its faults:
`POST /admin/faults {"mode", "delay_ms"}` for tables and objects,
`POST /admin/host_list_faults` with the same body and `PUT /admin/hosts`. The
host list is a separate service: its faults and those of tables and objects
are independent.
"""

import argparse
import asyncio
import json
import time
from hashlib import sha256

from aiohttp import web

from radishlift.core.codec import dump_plain, parse_plain
from radishlift.core.errors import Failure
from radishlift.services.api import Conflict, Transaction
from tests.standins.tables import Fault, Tables

WRITES_PER_S = 400
READS_PER_S = 2000
HOST_LIST_LAG_MS = 1000


class TokenBucket:
    """Token bucket with a burst of a quarter second."""

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._burst = per_s / 4
        self._tokens = self._burst
        self._filled_at_s = time.monotonic()

    def try_consume(self, cost: int) -> bool:
        """Consumes tokens; returns False if there are too few for the cost."""
        now_s = time.monotonic()
        earned = (now_s - self._filled_at_s) * self._per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at_s = now_s
        if self._tokens < min(cost, self._burst):
            return False
        self._tokens -= cost
        return True


class PlatformStandIn:
    """HTTP handlers of the table service, object store and host list."""

    def __init__(self, host_list_lag_ms: int = HOST_LIST_LAG_MS) -> None:
        self.tables = Tables()
        self.objects: dict[str, bytes] = {}
        self.mode = Fault.none
        self.delay_ms = 0
        self.host_list_mode = Fault.none
        self.host_list_delay_ms = 0
        self.refused_count = 0
        self._writes = TokenBucket(WRITES_PER_S)
        self._reads = TokenBucket(READS_PER_S)
        self._lag_ms = host_list_lag_ms
        self._hosts: list[tuple[float, list[dict[str, str]]]] = [(0, [])]

    def application(self) -> web.Application:
        """Builds the application with all routes."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.add_routes(
            [
                web.post('/table/commit', self.commit),
                web.get('/table/row', self.read_row),
                web.get('/table/scan', self.scan),
                web.put('/objects/{name:.+}', self.put_object),
                web.get('/objects/{name:.+}', self.get_object),
                web.delete('/objects/{name:.+}', self.delete_object),
                web.get('/hosts', self.list_hosts),
                web.put('/admin/hosts', self.set_hosts),
                web.post('/admin/faults', self.set_faults),
                web.post('/admin/host_list_faults', self.set_host_list_faults),
                web.get('/admin/record', self.show_record),
            ]
        )
        return app

    async def commit(self, request: web.Request) -> web.Response:
        """Applies a transaction."""
        transaction = parse_plain(await request.json(), Transaction)
        if isinstance(transaction, Failure):
            return web.json_response({'reason': transaction.reason}, status=400)
        cost = max(1, len(transaction.writes))
        await self._admit(self._writes, cost)
        if self.mode is Fault.lose_requests:
            self._abort_connection(request)
        outcome = self.tables.commit(transaction)
        if self.mode is Fault.lose_answers:
            self._abort_connection(request)
        status = 409 if isinstance(outcome, Conflict) else 200
        return web.json_response(dump_plain(outcome), status=status)

    async def read_row(self, request: web.Request) -> web.Response:
        """Reads one row."""
        await self._admit(self._reads, 1)
        row = self.tables.read(request.query['table'], request.query['key'])
        return web.json_response(dump_plain(row))

    async def scan(self, request: web.Request) -> web.Response:
        """Reads rows in key order."""
        await self._admit(self._reads, 1)
        rows = self.tables.scan(
            request.query['table'],
            request.query.get('prefix', ''),
            request.query.get('after', ''),
            int(request.query.get('limit', '500')),
        )
        return web.json_response({'rows': [dump_plain(row) for row in rows]})

    async def put_object(self, request: web.Request) -> web.Response:
        """Stores an object."""
        content = await request.read()
        await self._admit(self._writes, 1)
        self.objects[request.match_info['name']] = content
        return web.Response(status=204)

    async def get_object(self, request: web.Request) -> web.Response:
        """Reads an object."""
        await self._admit(self._reads, 1)
        content = self.objects.get(request.match_info['name'])
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    async def delete_object(self, request: web.Request) -> web.Response:
        """Deletes an object."""
        await self._admit(self._writes, 1)
        self.objects.pop(request.match_info['name'], None)
        return web.Response(status=204)

    async def list_hosts(self, request: web.Request) -> web.Response:
        """Lists the hosts as they were before the configured lag.

        The fault `lose_answers` aborts the connection instead of answering.
        """
        if self.host_list_mode is Fault.down:
            raise web.HTTPServiceUnavailable
        response = self._host_list_response(request)
        if self.host_list_delay_ms:
            await asyncio.sleep(self.host_list_delay_ms / 1000)
        if self.host_list_mode is Fault.lose_answers:
            self._abort_connection(request)
        return response

    async def set_hosts(self, request: web.Request) -> web.Response:
        """Sets the hosts; the host list shows them after the configured lag.

        The first list that is set is shown at once.
        """
        hosts = (await request.json())['hosts']
        is_first = len(self._hosts) == 1 and not self._hosts[0][1]
        shown_at_s = 0 if is_first else time.monotonic()
        if is_first:
            self._hosts = []
        self._hosts.append((shown_at_s, hosts))
        return web.Response(status=204)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets the fault mode and the delay of each operation."""
        body = await request.json()
        self.mode = Fault(body.get('mode', 'none'))
        self.delay_ms = int(body.get('delay_ms', 0))
        return web.Response(status=204)

    async def set_host_list_faults(self, request: web.Request) -> web.Response:
        """Sets the fault mode of the host list and its delay.

        An answer has the list as it was before the delay.
        """
        body = await request.json()
        self.host_list_mode = Fault(body.get('mode', 'none'))
        self.host_list_delay_ms = int(body.get('delay_ms', 0))
        return web.Response(status=204)

    async def show_record(self, _request: web.Request) -> web.Response:
        """Returns the numbers of writes, commits and refused operations."""
        return web.json_response(
            {
                'write_count': self.tables.write_count,
                'commit_count': len(self.tables.history),
                'refused_count': self.refused_count,
            }
        )

    def _host_list_response(self, request: web.Request) -> web.Response:
        visible_s = time.monotonic() - self._lag_ms / 1000
        while len(self._hosts) > 1 and self._hosts[1][0] <= visible_s:
            self._hosts.pop(0)
        body = json.dumps({'hosts': self._hosts[0][1]})
        tag = f'"{sha256(body.encode()).hexdigest()[:16]}"'
        if request.headers.get('If-None-Match') == tag:
            return web.Response(status=304, headers={'ETag': tag})
        return web.Response(
            text=body,
            content_type='application/json',
            headers={'ETag': tag},
        )

    async def _admit(self, cap: TokenBucket, cost: int) -> None:
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        if self.mode is Fault.down:
            raise web.HTTPServiceUnavailable
        if not cap.try_consume(cost):
            self.refused_count += 1
            raise web.HTTPTooManyRequests

    def _abort_connection(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise web.HTTPServiceUnavailable


def serve(app: web.Application, listen: str) -> None:
    """Serves an application until the process is stopped."""
    host, _, port = listen.rpartition(':')
    web.run_app(
        app,
        host=host,
        port=int(port),
        print=None,
        access_log=None,
        handler_cancellation=False,
    )


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--listen', required=True)
    parser.add_argument(
        '--host-list-lag-ms', type=int, default=HOST_LIST_LAG_MS
    )
    parser.add_argument('--hosts', default='[]', help='JSON list of hosts')
    options = parser.parse_args()
    standin = PlatformStandIn(options.host_list_lag_ms)
    standin._hosts = [(0, json.loads(options.hosts))]
    serve(standin.application(), options.listen)


if __name__ == '__main__':
    main()
