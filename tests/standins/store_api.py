"""Stand-in of the platform's store, speaking its HTTP interface."""

import asyncio
import base64
import json
from collections import defaultdict

from aiohttp import web


class StoreApi:
    """Rows by table, part and key; one version for each transaction."""

    def __init__(self) -> None:
        self.rows = {}
        self.changes = []
        self.version = 0
        self.first_kept = 0
        self.status = None
        self.requests = []
        self.part_ms = 0
        self.part_locks = defaultdict(asyncio.Lock)

    def put(self, table, part, key, value):
        """Writes a row as the operator or a target would."""
        self.version += 1
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self._set(table, part, key, encoded)

    async def handle(self, request):
        if self.status is not None:
            return web.Response(status=self.status)
        name = request.path.removeprefix('/').replace('-', '_')
        return await getattr(self, name)(request)

    async def rows_get(self, request):
        query = request.query
        first = query.get('from', '')
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if (table, part) == (query['table'], query.get('part', ''))
            and key >= first
        ]
        limit = int(query.get('limit', 500))
        return web.json_response(
            {
                'rows': found[:limit],
                'hasMore': len(found) > limit,
                'ver': self.version,
                'nowMs': 1,
            }
        )

    async def rows_feed(self, request):
        after = int(request.query['dependsOn'])
        if after < self.first_kept:
            return web.Response(status=410)
        for _ in range(int(request.query['waitMs']) // 5 + 1):
            rows = [
                row
                for row in self.changes
                if row['ver'] > after and row['table'] == request.query['table']
            ]
            if rows:
                break
            await asyncio.sleep(0.005)
        return web.json_response({'rows': rows, 'ver': self.version})

    async def rows_tx(self, request):
        body = await request.json()
        self.requests.append(body)
        entries = body['expectedRev'] + body['puts'] + body['remove']
        if len({one['part'] for one in entries}) > 1:
            return web.Response(status=400)
        # A part handles one transaction after another.
        async with self.part_locks[entries[0]['part']]:
            await asyncio.sleep(self.part_ms / 1000)
        current = [self._current(one) for one in body['expectedRev']]
        expected = [one['ver'] for one in body['expectedRev']]
        if [one['ver'] for one in current] != expected:
            return web.json_response({'rows': current}, status=412)
        self.version += 1
        for one in body['puts']:
            self._set(one['table'], one['part'], one['key'], one['value'])
        for one in body['remove']:
            self._drop((one['table'], one['part'], one['key']))
        return web.json_response({'ver': self.version, 'nowMs': 1})

    def _current(self, condition):
        place = condition['table'], condition['part'], condition['key']
        return self.rows.get(place, {**condition, 'ver': 0})

    def _set(self, table, part, key, encoded):
        row = {
            'table': table,
            'part': part,
            'key': key,
            'value': encoded,
            'ver': self.version,
        }
        self.rows[table, part, key] = row
        self.changes.append(row)

    def _drop(self, place):
        if self.rows.pop(place, None):
            names = ('table', 'part', 'key')
            row = dict(zip(names, place, strict=True))
            self.changes.append(
                {**row, 'ver': self.version, 'removed': True},
            )
