"""Stand-in of the platform's metadata store, with one address per caller."""

import asyncio
import json
import time
from base64 import b64decode, b64encode
from bisect import bisect_right

from aiohttp import web

ENTRY_EXPIRES_S = 4.5
ROW_BYTES = 65_536
TX_S = 0.005
ANSWER_S = 0.002


class Store:
    """Rows of all tables; every transaction gets the next version."""

    def __init__(self) -> None:
        # Rows by key, for each table and part; changes in order by table.
        self.rows = {}
        self.changes = {}
        self.version = 0
        self.written_s = {}
        self.refused_count = 0
        self._locks = {}
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Writes a row as the operator or an executor would."""
        self.version += 1
        encoded = b64encode(json.dumps(value).encode()).decode()
        self._set((table, '', key), encoded)
        self._notify()
        if table == 'servers':
            self.written_s[key] = time.monotonic()

    def drop(self, table, key):
        """Removes a row as the platform would."""
        self.written_s.pop(key, None)
        self.version += 1
        self._unset((table, '', key))
        self._notify()

    def value(self, table, part, key):
        """Returns the decoded value of a row, or None."""
        row = self.rows.get((table, part), {}).get(key)
        return None if row is None else json.loads(b64decode(row['value']))

    async def expire_entries(self):
        """Removes the entries of executors that are silent."""
        while True:
            await asyncio.sleep(0.05)
            for key, written_s in tuple(self.written_s.items()):
                if time.monotonic() - written_s > ENTRY_EXPIRES_S:
                    self.drop('servers', key)

    async def handle(self, request):
        """Serves one call."""
        await asyncio.sleep(ANSWER_S)
        name = request.path.removeprefix('/').replace('-', '_')
        return await getattr(self, f'_{name}')(request)

    async def _rows_get(self, request):
        query = request.query
        first, last = query.get('from', ''), query.get('target')
        rows = self.rows.get((query['table'], query.get('part', '')), {})
        found = [
            row
            for key, row in sorted(rows.items())
            if key >= first and (last is None or key < last)
        ]
        limit = min(500, int(query.get('limit', 500)))
        return self._answer(rows=found[:limit], hasMore=len(found) > limit)

    async def _rows_feed(self, request):
        after = int(request.query['dependsOn'])
        table = request.query['table']
        end_s = time.monotonic() + int(request.query.get('waitMs', 0)) / 1000
        while True:
            version = self.version
            changes = self.changes.get(table, [])
            rows = changes[bisect_right(changes, after, key=_row_version) :]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                body = {'rows': rows, 'ver': version, 'nowMs': _now_ms()}
                return web.json_response(body)
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _rows_tx(self, request):
        body = await request.json()
        expected = body.get('expectedRev', [])
        puts, removed = body.get('puts', []), body.get('remove', [])
        entries = [*expected, *puts, *removed]
        parts = {entry.get('part', '') for entry in entries}
        if len(entries) > 100 or len(parts) > 1:
            return web.Response(status=400)
        if any(entry['table'] in {'op', 'servers'} for entry in puts):
            return web.Response(status=403)
        if any(len(b64decode(row['value'])) > ROW_BYTES for row in puts):
            self.refused_count += 1
            return web.Response(status=400)
        lock = self._locks.setdefault(min(parts), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_S)
        current = [
            self._find(_row_key(entry)) or {**entry, 'ver': 0}
            for entry in expected
        ]
        if [row['ver'] for row in current] != [
            entry['ver'] for entry in expected
        ]:
            return web.json_response({'rows': current}, status=412)
        self.version += 1
        for entry in puts:
            self._set(_row_key(entry), entry['value'])
        for entry in removed:
            self._unset(_row_key(entry))
        self._notify()
        return self._answer()

    def _answer(self, **fields):
        body = {**fields, 'ver': self.version, 'nowMs': _now_ms()}
        return web.json_response(body)

    def _find(self, row_key):
        table, part, key = row_key
        return self.rows.get((table, part), {}).get(key)

    def _set(self, row_key, encoded):
        table, part, key = row_key
        row = {
            'table': table,
            'part': part,
            'key': key,
            'value': encoded,
            'ver': self.version,
        }
        self.rows.setdefault((table, part), {})[key] = row
        self.changes.setdefault(table, []).append(row)

    def _unset(self, row_key):
        table, part, key = row_key
        if self.rows.get((table, part), {}).pop(key, None) is None:
            return
        self.changes.setdefault(table, []).append(
            {
                'table': table,
                'part': part,
                'key': key,
                'ver': self.version,
                'removed': True,
            }
        )

    def _notify(self):
        # Waiting calls hold the earlier event.
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _row_key(entry):
    return entry['table'], entry.get('part', ''), entry['key']


def _row_version(row):
    return row['ver']


def _now_ms():
    return int(time.monotonic() * 1000)
