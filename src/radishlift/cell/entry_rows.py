"""Rows that daemons read and insert for callers, directly or through a peer.

A daemon that is rejected by the store or can't reach it still serves its
callers while it reaches another daemon that can use the store.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, Protocol

from radishlift.cell.job_rows import read_key_digest, read_workspace
from radishlift.cell.messages import RowAsk, RowInsert, RowInserted, RowTold
from radishlift.cell.ports import CellStore
from radishlift.cell.tables import CANCELS, JOBS, PROGRESS, cancel_key
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, JobId
from radishlift.core.logs import log_event
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    Row,
    Transaction,
    Write,
)
from radishlift.steps.workspaces import NO_WORKSPACE
from radishlift.wire.network import PeerNetwork

# A quarter of the shortest deadline of callers, which leaves time for a second
# peer and a retry.
_CALL_TIMEOUT_MS: Final = 750
# Connections are accepted within one trip to the farthest data centre.
_CONNECT_TIMEOUT_MS: Final = 150
_MAX_PEERS: Final = 2
# Peers without an answer are skipped for this long, or until they answer.
_AVOID_MS: Final = 3000
# Peers that refuse have not got the store either, and notice its return as
# early as this daemon.
_AVOID_REFUSING_MS: Final = 300
# An operation that is not attempted has a known outcome.
_NOT_TRIED: Final = Failure(
    ErrorKind.store_unavailable, 'the store does not respond'
)
_UNREACHABLE_KINDS: Final = frozenset(
    (ErrorKind.peer_unavailable, ErrorKind.peer_outcome_unknown),
)
# The row can't have been inserted, by this call or an earlier one.
SETTLED_KINDS: Final = frozenset((ErrorKind.cancelled, ErrorKind.conflict))
_READ_TABLES: Final = frozenset((JOBS, CANCELS, PROGRESS))
_INSERT_TABLES: Final = frozenset((JOBS, CANCELS))


class EntryRows(Protocol):
    """Access of an entry daemon to rows of the store."""

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""

    async def insert(
        self,
        table: str,
        key: str,
        row: Mapping[str, Any],
    ) -> Failure | None:
        """Inserts a row; succeeds if the row already exists.

        Fails with `store_unavailable` if nothing was inserted, with
        `cancelled` if a job was cancelled before, so that it can't be inserted
        any more, with `conflict` if a job of another workspace has its id, and
        with `store_outcome_unknown` if the row may still appear.
        """


class StoreRows:
    """Rows of the store, accessed directly."""

    def __init__(self, store: CellStore) -> None:
        self._store = store

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""
        return await self._store.read(table, key)

    async def insert(
        self,
        table: str,
        key: str,
        row: Mapping[str, Any],
    ) -> Failure | None:
        """Inserts a row; succeeds if the row already exists."""
        outcome = await self._store.commit(
            Transaction(
                _insert_conditions(table, key, row),
                (Write(table, key, row),),
            ),
        )
        if isinstance(outcome, Conflict):
            return _explain_conflict(outcome, table, key, row)
        return None if isinstance(outcome, Committed) else outcome


class RelayedRows:
    """Rows of the store, accessed through a peer while it is unreachable.

    A daemon relays nothing while `is_store_doubted`: what it sends may remain
    without an answer, and the caller could not be told that nothing was done.
    """

    def __init__(
        self,
        rows: EntryRows,
        network: PeerNetwork,
        is_store_lost: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._rows = rows
        self._network = network
        self._is_store_lost = is_store_lost
        self.is_store_doubted = is_store_lost
        self._clock = clock
        self._avoided_until_ms: dict[DaemonId, int] = {}
        network.register(RowAsk, self._serve_read)
        network.register(RowInsert, self._serve_insert)

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""
        row = await self._try_store(lambda: self._rows.read(table, key))
        if not _is_not_done(row):
            return row
        reply = await self._call_peers(RowAsk(table, key))
        if not isinstance(reply, RowTold):
            return reply
        plain = json.loads(reply.text) if reply.text else None
        return Row(table, key, reply.version, plain)

    async def insert(
        self,
        table: str,
        key: str,
        row: Mapping[str, Any],
    ) -> Failure | None:
        """Inserts a row; succeeds if the row already exists."""
        outcome = await self._try_store(
            lambda: self._rows.insert(table, key, row),
        )
        if not _is_not_done(outcome):
            return outcome
        reply = await self._call_peers(RowInsert(table, key, json.dumps(row)))
        is_inserted = isinstance(reply, RowInserted)
        log_event(
            'insert_relayed',
            table=table,
            key=key,
            outcome='accepted' if is_inserted else reply.kind,
        )
        return None if is_inserted else reply

    def readmit(self, peer: DaemonId) -> None:
        """Lets a peer that has answered be called again."""
        self._avoided_until_ms.pop(peer, None)

    async def _try_store(self, work: Callable[[], Awaitable[Any]]) -> Any:
        return _NOT_TRIED if self._is_store_lost() else await work()

    async def _serve(self, work: Callable[[], Awaitable[Any]]) -> Any:
        return _NOT_TRIED if self.is_store_doubted() else await work()

    async def _call_peers(self, request: object) -> Any:
        for peer in self._choose_peers():
            reply = await self._call(peer, request)
            if not isinstance(reply, Failure):
                return reply
            if reply.kind in SETTLED_KINDS:
                return reply
            if not reply.is_not_run:
                return Failure(ErrorKind.store_outcome_unknown, reply.reason)
        reason = 'neither the store nor a peer that can reach it responds'
        return Failure(ErrorKind.store_unavailable, reason)

    def _choose_peers(self) -> list[DaemonId]:
        now_ms = self._clock.monotonic_ms()
        peers = [
            peer
            for peer in self._network.peers
            if self._avoided_until_ms.get(peer, 0) <= now_ms
        ]
        return random.sample(peers, min(len(peers), _MAX_PEERS))

    async def _call(self, peer: DaemonId, request: object) -> Any:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_MS / 1000):
                failure = await self._network.probe(peer)
        except TimeoutError:
            # The request was not sent.
            reason = f'no connection to {peer} in {_CONNECT_TIMEOUT_MS} ms'
            failure = Failure(ErrorKind.peer_unavailable, reason)
        reply: Any = failure or await self._network.call(
            peer, request, _CALL_TIMEOUT_MS
        )
        if isinstance(reply, Failure):
            now_ms = self._clock.monotonic_ms()
            if reply.kind in _UNREACHABLE_KINDS:
                self._avoided_until_ms[peer] = now_ms + _AVOID_MS
            elif _is_not_done(reply):
                self._avoided_until_ms[peer] = now_ms + _AVOID_REFUSING_MS
        return reply

    async def _serve_read(
        self,
        _: DaemonId,
        request: RowAsk,
    ) -> RowTold | Failure:
        if request.table not in _READ_TABLES:
            return Failure(ErrorKind.invalid_input, f'table {request.table}')
        row = await self._serve(
            lambda: self._rows.read(request.table, request.key),
        )
        if isinstance(row, Failure):
            return row
        text = '' if row.value is None else json.dumps(row.value)
        return RowTold(row.version, text)

    async def _serve_insert(
        self,
        _: DaemonId,
        request: RowInsert,
    ) -> RowInserted | Failure:
        if request.table not in _INSERT_TABLES:
            return Failure(ErrorKind.invalid_input, f'table {request.table}')
        outcome = await self._serve(
            lambda: self._rows.insert(
                request.table,
                request.key,
                json.loads(request.text),
            ),
        )
        return RowInserted() if outcome is None else outcome


def _insert_conditions(
    table: str, key: str, row: Mapping[str, Any]
) -> tuple[Condition, ...]:
    absent = Condition(table, key, 0)
    if table != JOBS:
        return (absent,)
    # A submission may arrive after the cancel of its job: a daemon, a peer or
    # the store may have held it for seconds.
    cancel = cancel_key(JobId(key), read_workspace(row))
    return absent, Condition(CANCELS, cancel, 0)


def _explain_conflict(
    conflict: Conflict, table: str, key: str, inserted: Mapping[str, Any]
) -> Failure | None:
    existing = {row.table: row for row in conflict.rows if row.version}
    if table in existing:
        found = existing[table].value or {}
        if not found or _is_of_same_caller(found, inserted):
            return None
        return Failure(
            ErrorKind.conflict, f'{key} is a job of another workspace'
        )
    if CANCELS in existing:
        return Failure(ErrorKind.cancelled, f'job {key} was cancelled')
    return Failure(
        ErrorKind.store_outcome_unknown, f'conflict without a row of {key}'
    )


def _is_of_same_caller(
    found: Mapping[str, Any], inserted: Mapping[str, Any]
) -> bool:
    """Returns whether an insert repeats the submission of a stored job."""
    key_digest = read_key_digest(inserted)
    if key_digest and key_digest == read_key_digest(found):
        return True
    return read_workspace(found) in {NO_WORKSPACE, read_workspace(inserted)}


def _is_not_done(outcome: object) -> bool:
    if not isinstance(outcome, Failure):
        return False
    return outcome.kind is ErrorKind.store_unavailable


__all__ = ('EntryRows', 'RelayedRows', 'StoreRows')
