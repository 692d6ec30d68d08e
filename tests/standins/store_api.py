"""Stand-in of the platform's store with its HTTP interface."""

import asyncio
import base64
import json
from bisect import bisect_right
from collections import defaultdict
from operator import itemgetter

from aiohttp import web


class StoreApi:
    """Keeps rows by table, part and key; a transaction has one version."""

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
        self.put_bytes(table, part, key, json.dumps(value).encode())

    def put_bytes(self, table, part, key, content):
        """Writes a row of any bytes."""
        self.version += 1
        encoded = base64.b64encode(content).decode()
        self._set(table, part, key, encoded)

    def remove(self, table, part, key):
        """Removes a row as the platform would."""
        self.version += 1
        self._remove((table, part, key))

    def drop_history(self):
        """Makes followers read all rows again."""
        self.changes.clear()
        self.first_kept = self.version

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
        for _ in range(int(request.query['waitMs']) // 5 + 1):
            if after < self.first_kept:
                return web.Response(status=410)
            # A row that is added during the pause below has a later version.
            version = self.version
            first = bisect_right(self.changes, after, key=itemgetter('ver'))
            rows = [
                row
                for row in self.changes[first:]
                if row['table'] == request.query['table']
            ]
            if rows:
                break
            await asyncio.sleep(0.005)
        return web.json_response({'rows': rows, 'ver': version})

    async def rows_tx(self, request):
        body = await request.json()
        self.requests.append(body)
        entries = body['expectedRev'] + body['puts'] + body['remove']
        if len({entry['part'] for entry in entries}) > 1:
            return web.Response(status=400)
        # A part handles its transactions one at a time.
        async with self.part_locks[entries[0]['part']]:
            await asyncio.sleep(self.part_ms / 1000)
        current = [self._current(entry) for entry in body['expectedRev']]
        expected = [entry['ver'] for entry in body['expectedRev']]
        if [entry['ver'] for entry in current] != expected:
            return web.json_response({'rows': current}, status=412)
        self.version += 1
        for entry in body['puts']:
            self._set(
                entry['table'], entry['part'], entry['key'], entry['value']
            )
        for entry in body['remove']:
            self._remove((entry['table'], entry['part'], entry['key']))
        return web.json_response({'ver': self.version, 'nowMs': 1})

    def _current(self, condition):
        row_key = condition['table'], condition['part'], condition['key']
        return self.rows.get(row_key, {**condition, 'ver': 0})

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

    def _remove(self, row_key):
        if self.rows.pop(row_key, None):
            names = ('table', 'part', 'key')
            row = dict(zip(names, row_key, strict=True))
            self.changes.append(
                {**row, 'ver': self.version, 'removed': True},
            )
