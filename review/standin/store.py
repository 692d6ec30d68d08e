"""Stand-in of the platform's metadata store, after PROTOCOL.md."""

import asyncio
import base64
import json
import time
from collections import defaultdict, deque

from aiohttp import web

ROW_BYTES = 65_536
CALL_BYTES = 1_000_000
CALL_ENTRIES = 100
PAGE_ROWS = 500
TX_S = 0.005
READ_S = 0.004
WRITES_PER_S = 600
READS_PER_S = 2000
FOREIGN_TABLES = frozenset(('op', 'servers'))
NAMES = ('table', 'part', 'key')


class Rate:
    """Accepts a number of calls per second, in any one second."""

    def __init__(self, per_s):
        self._per_s = per_s
        self._calls = deque()

    def accept(self):
        """Returns whether one more call is within the rate."""
        now_s = time.monotonic()
        while self._calls and self._calls[0] < now_s - 1:
            self._calls.popleft()
        if len(self._calls) >= self._per_s:
            return False
        self._calls.append(now_s)
        return True


class Store:
    """Rows by table, part and key, and the changes since the start.

    While `is_down` is true, each call of a daemon gets 503 and has no effect.
    `refused` lists the transactions that break a limit of the store.
    """

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.is_down = False
        self.refused = []
        self.history_from = 0
        self._writes = Rate(WRITES_PER_S)
        self._reads = Rate(READS_PER_S)
        self._locks = defaultdict(asyncio.Lock)
        self._changed = asyncio.Event()

    def value(self, table, part, key):
        """Returns the value of a row, None without one."""
        row = self.rows.get((table, part, key))
        return (
            None if row is None else json.loads(base64.b64decode(row['value']))
        )

    def put(self, table, part, key, value):
        """Writes a row as the operator or an executor does."""
        self.put_bytes(table, part, key, json.dumps(value).encode())

    def put_bytes(self, table, part, key, content):
        """Writes a row of any bytes."""
        self.version += 1
        self._set((table, part, key), base64.b64encode(content).decode())

    def drop(self, table, part, key):
        """Removes a row as the platform does."""
        self.version += 1
        self._remove((table, part, key))

    async def handle(self, request):
        """Answers one call of a daemon."""
        if self.is_down:
            return web.Response(status=503)
        call = getattr(self, request.path[1:].replace('-', '_'), None)
        if call is None:
            return web.Response(status=404)
        limit = self._writes if request.path == '/rows-tx' else self._reads
        if not limit.accept():
            return web.Response(status=429)
        return await call(request)

    async def rows_get(self, request):
        """Reads rows of one part."""
        query = request.query
        await asyncio.sleep(READ_S)
        first, last = query.get('from', ''), query.get('target')
        place = query['table'], query.get('part', '')
        found = [
            row
            for row_key, row in sorted(self.rows.items())
            if row_key[:2] == place
            and row_key[2] >= first
            and (last is None or row_key[2] < last)
        ]
        limit = min(PAGE_ROWS, int(query.get('limit', PAGE_ROWS)))
        return self._answer(200, rows=found[:limit], hasMore=len(found) > limit)

    async def rows_parts(self, request):
        """Lists the parts of a table."""
        table = request.query['table']
        parts = sorted({key[1] for key in self.rows if key[0] == table})
        return self._answer(200, parts=parts, hasMore=False)

    async def rows_feed(self, request):
        """Waits for changes of a table after a version."""
        after = int(request.query['dependsOn'])
        if after < self.history_from:
            return web.Response(status=410)
        table = request.query['table']
        until_s = time.monotonic() + int(request.query['waitMs']) / 1000
        await asyncio.sleep(READ_S)
        while True:
            changed = self._changed
            rows = self._changes_after(after, table)
            wait_s = until_s - time.monotonic()
            if rows or wait_s <= 0 or self.is_down:
                break
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                continue
        if self.is_down:
            return web.Response(status=503)
        return self._answer(200, rows=rows)

    async def rows_tx(self, request):
        """Applies a transaction."""
        text = await request.text()
        body = json.loads(text)
        checks, puts, removed = (
            body.get(name, []) for name in ('expectedRev', 'puts', 'remove')
        )
        entries = [*checks, *puts, *removed]
        status = self._check_limits(text, entries, puts, removed)
        if status:
            self.refused.append((status, len(text)))
            return web.Response(status=status)
        async with self._locks[entries[0].get('part', '')]:
            await asyncio.sleep(TX_S)
            if self.is_down:
                return web.Response(status=503)
            current = [self._current(check) for check in checks]
            if any(
                row['ver'] != check['ver']
                for row, check in zip(current, checks, strict=True)
            ):
                return self._answer(412, rows=current)
            self.version += 1
            for entry in puts:
                self._set(_row_key(entry), entry['value'])
            for entry in removed:
                self._remove(_row_key(entry))
            return self._answer(200)

    def _check_limits(self, text, entries, puts, removed):
        if any(entry['table'] in FOREIGN_TABLES for entry in (*puts, *removed)):
            return 403
        is_sound = (
            entries
            and len(entries) <= CALL_ENTRIES
            and len(text) <= CALL_BYTES
            and len({entry.get('part', '') for entry in entries}) == 1
            and all(
                len(base64.b64decode(entry['value'])) <= ROW_BYTES
                for entry in puts
            )
        )
        return 0 if is_sound else 400

    def _changes_after(self, after, table):
        rows = []
        for row in reversed(self.changes):
            if row['ver'] <= after:
                break
            if row['table'] == table:
                rows.append(row)
        return rows[::-1]

    def _current(self, check):
        absent = dict(zip(NAMES, _row_key(check), strict=True), ver=0)
        return self.rows.get(_row_key(check), absent)

    def _set(self, row_key, encoded):
        row = dict(
            zip(NAMES, row_key, strict=True), value=encoded, ver=self.version
        )
        self.rows[row_key] = row
        self._record(row)

    def _remove(self, row_key):
        if self.rows.pop(row_key, None) is not None:
            names = dict(zip(NAMES, row_key, strict=True))
            self._record({**names, 'ver': self.version, 'removed': True})

    def _record(self, row):
        self.changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, status, **fields):
        now_ms = time.monotonic_ns() // 1_000_000
        body = {**fields, 'ver': self.version, 'nowMs': now_ms}
        return web.json_response(body, status=status)


def _row_key(entry):
    return entry['table'], entry.get('part', ''), entry['key']
