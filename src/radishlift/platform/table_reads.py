"""Reads whole tables of the platform's store in pages.

A snapshot keeps the pages that were read when a call fails, and continues with
the others. Only as many parts are read at once as the link of the host bears:
the heartbeats of a leader use the same link.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from radishlift.cell.ports import ChangedRows
from radishlift.core.errors import Failure
from radishlift.services.api import Row

# Answers on the way to the host delay other answers by this at most.
_LINK_BACKLOG_S: Final = 0.25
# What a connection delivers without a further reading of its receiver.
_WINDOW_BYTES: Final = 65_536
_MIN_CONCURRENT_READS: Final = 2
_MAX_CONCURRENT_READS: Final = 32
# Parts of a store may fail alone; reads of the others go on.
_MAX_FAILURES_IN_ROW: Final = 3


@dataclass(frozen=True, slots=True)
class Page:
    """Rows of a part in ascending order of their keys."""

    rows: tuple[Row, ...]
    version: int
    has_more: bool
    size_bytes: int


PageReader = Callable[[str, str], Awaitable[Page | Failure]]
"""Reads the page of a part that begins with a key."""


@dataclass(slots=True)
class _PartRead:
    """A part of a table, and the key from which to read on."""

    part: str
    next_key: str = ''
    version: int | None = None
    rows: list[Row] = field(default_factory=list)
    is_finished: bool = False


class SnapshotRead:
    """Reads of the parts of a table, finished and not."""

    def __init__(self, parts: tuple[str, ...]) -> None:
        self._parts = [_PartRead(part) for part in parts]
        self._waiting: deque[_PartRead] = deque()
        self._answers_count = 0
        self._answers_bytes = 0
        self._failures_in_row = 0
        self._failure: Failure | None = None

    async def run(
        self, read_page: PageReader, link_bytes_per_s: float
    ) -> ChangedRows | Failure:
        """Reads all pages that were not read by earlier runs.

        Changes after the version that it returns repeat the rows that changed
        while pages were read.
        """
        self._failures_in_row = 0
        self._waiting = deque(
            part for part in self._parts if not part.is_finished
        )
        readers: set[asyncio.Task[None]] = set()
        async with asyncio.TaskGroup() as group:
            while readers or self._may_go_on:
                limit = self._concurrent_reads(link_bytes_per_s)
                while self._may_go_on and len(readers) < limit:
                    work = self._read_on(self._waiting.popleft(), read_page)
                    readers.add(group.create_task(work))
                _, readers = await asyncio.wait(
                    readers, return_when=asyncio.FIRST_COMPLETED
                )
        if self._waiting and self._failure is not None:
            return self._failure
        return ChangedRows(
            tuple(row for part in self._parts for row in part.rows),
            min(part.version or 0 for part in self._parts),
        )

    @property
    def _may_go_on(self) -> bool:
        is_failing = self._failures_in_row >= _MAX_FAILURES_IN_ROW
        return bool(self._waiting) and not is_failing

    def _concurrent_reads(self, link_bytes_per_s: float) -> int:
        if not link_bytes_per_s:
            return _MAX_CONCURRENT_READS
        answer_bytes: float = _WINDOW_BYTES
        if self._answers_count:
            answer_bytes = max(1, self._answers_bytes / self._answers_count)
        count = int(link_bytes_per_s * _LINK_BACKLOG_S / answer_bytes)
        return max(_MIN_CONCURRENT_READS, min(_MAX_CONCURRENT_READS, count))

    async def _read_on(self, part: _PartRead, read_page: PageReader) -> None:
        """Reads the next page of a part, which then waits for the others."""
        page = await read_page(part.part, part.next_key)
        if isinstance(page, Failure):
            self._failure = page
            self._failures_in_row += 1
            self._waiting.append(part)
            return
        self._failures_in_row = 0
        self._answers_count += 1
        self._answers_bytes += page.size_bytes
        part.rows.extend(page.rows)
        if part.version is None:
            part.version = page.version
        part.is_finished = not page.has_more
        if page.has_more:
            # Ranges include their first key, so the next page starts at the
            # last key with a zero byte appended.
            part.next_key = f'{page.rows[-1].key}\0'
            self._waiting.append(part)


__all__ = ('Page', 'PageReader', 'SnapshotRead')
