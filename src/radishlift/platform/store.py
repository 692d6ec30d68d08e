"""Client of the platform's metadata store."""

import asyncio
import base64
import json
import random
from collections.abc import Callable, Mapping
from typing import Any, Final
from urllib.parse import urlencode

from radishlift.cell.ports import ChangedRows, PartialSnapshot
from radishlift.cell.tables import JOBS
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address
from radishlift.platform.http import JsonAnswer, JsonClient
from radishlift.platform.json_bodies import (
    DECODE_ERRORS,
    describe,
    read_count,
    read_object,
    read_text,
)
from radishlift.platform.layout import TableLocation, find_location, find_table
from radishlift.platform.table_reads import Page, SnapshotRead
from radishlift.services.api import Committed, Conflict, Row, Transaction

_OK: Final = 200
_CONFLICT: Final = 412
_HISTORY_GONE: Final = 410
# Calls that are answered with these statuses had no effect.
_REFUSED_STATUSES: Final = frozenset((429, 503))
_PAGE_ROWS: Final = 500
# Sorts after all ids of jobs, so that a probe reads no rows.
_LAST_KEY: Final = '~'
# A slow store takes up to 60 times its usual 5 ms in each direction of a
# commit.
_TIMEOUT_MS: Final = 1500
# Changes must take effect within 2 s even if a connection stops responding.
_FEED_TIMEOUT_MARGIN_MS: Final = 800


class PlatformStore:
    """Reads and writes the product's tables in the platform's store."""

    def __init__(self, client: JsonClient, address: Address) -> None:
        self._client = client
        self._address = address

    def notify_received(self, callback: Callable[[], None]) -> None:
        """Lets a callback run whenever a part of a success arrives."""
        self._client.notify_received(self._address, callback)

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""
        location = find_location(table)
        answer = await self._get(
            '/rows-get',
            {**_location_fields(location, key), 'from': key, 'limit': 1},
        )
        if isinstance(answer, Failure):
            return answer
        found = _read_changed(answer, table)
        if isinstance(found, Failure):
            return found
        for row in found.rows:
            if row.key == key:
                return row
        return Row(table, key, 0, None)

    async def snapshot(
        self, table: str, partial: PartialSnapshot | None = None
    ) -> ChangedRows | Failure:
        """Reads a whole table and the version from which to read changes.

        After a failure the pages that were read are in `partial`.
        """
        kept = partial or PartialSnapshot()
        read = kept.read
        if not isinstance(read, SnapshotRead):
            read = SnapshotRead(find_location(table).parts)
            kept.read = read

        async def read_page(part: str, first_key: str) -> Page | Failure:
            page = await self._read_page(table, part, first_key)
            kept.pages_count += isinstance(page, Page)
            return page

        return await read.run(read_page, self._client.link_bytes_per_s)

    async def changes(
        self,
        table: str,
        after_version: int,
        wait_ms: int,
    ) -> ChangedRows | Failure:
        """Waits for changes after a version.

        Fails with `not_found` if the store no longer keeps that history.
        """
        answer = await self._get(
            '/rows-feed',
            # The platform's `dependsOn` is the version to continue from.
            {
                'table': find_location(table).table,
                'dependsOn': after_version,
                'waitMs': wait_ms,
            },
            wait_ms + _FEED_TIMEOUT_MARGIN_MS,
        )
        if isinstance(answer, Failure):
            return answer
        return _read_changed(answer, table)

    async def commit(
        self,
        transaction: Transaction,
    ) -> Committed | Conflict | Failure:
        """Applies a transaction; all its rows must be in one part."""
        answer = await self._client.call(
            'POST',
            self._address,
            '/rows-tx',
            _TIMEOUT_MS,
            _transaction_fields(transaction),
        )
        if isinstance(answer, Failure):
            return _store_failure(answer)
        try:
            return _decode_outcome(answer, transaction)
        except DECODE_ERRORS as error:
            return _malformed_answer(error)

    async def probe(self, timeout_ms: int, parts_count: int) -> Failure | None:
        """Checks on new connections whether one of several parts is read."""
        # Open connections may have stopped responding while new ones work.
        self._client.renew(self._address)
        table = find_location(JOBS).table
        parts = random.sample(find_location(JOBS).parts, parts_count)
        failure: Failure | None = None
        reads = [
            self._get(
                '/rows-get',
                {'table': table, 'part': part, 'from': _LAST_KEY, 'limit': 1},
                timeout_ms,
            )
            for part in parts
        ]
        for finished in asyncio.as_completed(reads):
            answer = await finished
            if not isinstance(answer, Failure):
                return None
            failure = answer
        return failure

    async def _read_page(
        self, table: str, part: str, first_key: str
    ) -> Page | Failure:
        answer = await self._get(
            '/rows-get',
            {
                'table': find_location(table).table,
                'part': part,
                'limit': _PAGE_ROWS,
                'from': first_key,
            },
        )
        if isinstance(answer, Failure):
            return answer
        found = _read_changed(answer, table)
        if isinstance(found, Failure):
            return found
        has_more = bool(answer.fields.get('hasMore'))
        if has_more and not found.rows:
            return _malformed_answer(ValueError('page without rows'))
        return Page(found.rows, found.version, has_more, answer.size_bytes)

    async def _get(
        self,
        path: str,
        query: Mapping[str, object],
        timeout_ms: int = _TIMEOUT_MS,
    ) -> JsonAnswer | Failure:
        query_fields = {
            name: field for name, field in query.items() if field != ''
        }
        answer = await self._client.call(
            'GET',
            self._address,
            f'{path}?{urlencode(query_fields)}',
            timeout_ms,
        )
        if isinstance(answer, Failure):
            return Failure(ErrorKind.store_unavailable, answer.reason)
        if answer.status == _OK:
            return answer
        if answer.status == _HISTORY_GONE:
            return Failure(ErrorKind.not_found, 'history is no longer kept')
        return _status_failure(answer.status)


def _location_fields(location: TableLocation, key: str) -> dict[str, object]:
    return {'table': location.table, 'part': location.part(key)}


def _status_failure(status: int) -> Failure:
    reason = f'store answered with status {status}'
    if status in _REFUSED_STATUSES:
        return Failure(ErrorKind.store_unavailable, reason)
    return Failure(ErrorKind.store_outcome_unknown, reason)


def _store_failure(failure: Failure) -> Failure:
    if failure.is_not_run:
        return Failure(ErrorKind.store_unavailable, failure.reason)
    return Failure(ErrorKind.store_outcome_unknown, failure.reason)


def _transaction_fields(transaction: Transaction) -> dict[str, Any]:
    conditions = []
    for condition in transaction.conditions:
        conditions.append(
            {
                **_row_key(condition.table, condition.key),
                'ver': condition.version,
            },
        )
    puts = []
    removed = []
    for write in transaction.writes:
        row_key = _row_key(write.table, write.key)
        if write.value is None:
            removed.append(row_key)
        else:
            puts.append({**row_key, 'value': _encode(write.value)})
    return {'expectedRev': conditions, 'puts': puts, 'remove': removed}


def _row_key(table: str, key: str) -> dict[str, Any]:
    return {**_location_fields(find_location(table), key), 'key': key}


def _encode(row_value: Mapping[str, Any]) -> str:
    text = json.dumps(row_value, separators=(',', ':'))
    return base64.b64encode(text.encode()).decode()


def _decode(encoded: object) -> Mapping[str, Any]:
    """Decodes a row's value; returns no fields if it can't be read.

    Only a row that was removed has no value.
    """
    try:
        return read_object(base64.b64decode(read_text(encoded)))
    except DECODE_ERRORS:
        return {}


def _decode_outcome(
    answer: JsonAnswer,
    transaction: Transaction,
) -> Committed | Conflict | Failure:
    if answer.status == _OK:
        # All rows of a transaction get the same version.
        version = read_count(answer.fields['ver'])
        return Committed((version,) * len(transaction.writes))
    if answer.status == _CONFLICT:
        return Conflict(_conflict_rows(answer, transaction))
    return _status_failure(answer.status)


def _malformed_answer(error: Exception) -> Failure:
    return Failure(
        ErrorKind.store_outcome_unknown,
        f'malformed answer of the store: {describe(error)}',
    )


def _read_changed(answer: JsonAnswer, table: str) -> ChangedRows | Failure:
    try:
        return ChangedRows(
            _decode_rows(answer, table), read_count(answer.fields['ver'])
        )
    except DECODE_ERRORS as error:
        return _malformed_answer(error)


def _conflict_rows(
    answer: JsonAnswer,
    transaction: Transaction,
) -> tuple[Row, ...]:
    rows: list[Row] = []
    tables = {condition.table for condition in transaction.conditions}
    for table in sorted(tables):
        rows.extend(_decode_rows(answer, table))
    return tuple(rows)


def _decode_rows(answer: JsonAnswer, table: str) -> tuple[Row, ...]:
    rows = []
    for fields in answer.fields.get('rows', ()):
        if find_table(fields) != table:
            continue
        key = read_text(fields['key'])
        is_removed = bool(fields.get('removed'))
        row_value = None if is_removed else _decode(fields.get('value'))
        # Rows that don't exist may come without a version.
        version = read_count(fields.get('ver', 0))
        rows.append(Row(table, key, version, row_value))
    return tuple(rows)


__all__ = ('PlatformStore',)
