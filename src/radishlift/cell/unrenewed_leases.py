"""Stored list of the leases that a leader does not renew.

A new leader waits until the leases of earlier leaders have expired before it
starts the tasks of a lost target elsewhere. It can't know when they were last
renewed, unless its predecessor has stored that it had stopped renewing them.
Without that, takeovers in short succession would prolong the wait each time.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from radishlift.cell.tables import COMMITS, UNRENEWED_KEY
from radishlift.services.api import Row, Write
from radishlift.steps.ids import TargetId


class UnrenewedLeases:
    """Writes the list with the leader's heartbeats.

    A lease in the stored list must not be renewed before a list without it is
    committed. `list_remaining_ms` returns how long each of these leases may
    last, in milliseconds.
    """

    def __init__(self, request_commit: Callable[[], None]) -> None:
        self._request_commit = request_commit
        self._stored: frozenset[TargetId] = frozenset()
        self._written: frozenset[TargetId] | None = None
        self._requested: list[asyncio.Future[None]] = []
        self._writing: list[asyncio.Future[None]] = []
        self.list_remaining_ms: Callable[[], Mapping[TargetId, int]] = dict

    @property
    def is_write_requested(self) -> bool:
        """Returns whether a lease waits to be removed from the list."""
        return bool(self._requested)

    def load(self, target_ids: Iterable[TargetId]) -> None:
        """Records which leases the stored list contains."""
        self._stored = frozenset(target_ids)

    async def wait_removed(self, target_id: TargetId) -> None:
        """Waits until the stored list does not contain a lease.

        `list_remaining_ms` must already omit it.
        """
        if target_id not in self._stored:
            return
        removed = asyncio.get_running_loop().create_future()
        self._requested.append(removed)
        self._request_commit()
        await removed

    def start_write(self) -> list[Write]:
        """Returns the write of the list, if it is not empty as before."""
        remaining_ms = self.list_remaining_ms()
        self._writing = self._requested
        self._requested = []
        if not remaining_ms and not self._stored:
            return []
        self._written = frozenset(remaining_ms)
        self._stored |= self._written
        return [Write(COMMITS, UNRENEWED_KEY, {'remaining_ms': remaining_ms})]

    def finish_write(self) -> None:
        """Records that the latest write is committed."""
        if self._written is not None:
            self._stored = self._written
            self._written = None
        for removed in self._writing:
            if not removed.done():
                removed.set_result(None)
        self._writing = []


def load_remaining_ms(row: Row) -> dict[TargetId, int]:
    """Reads a stored list.

    Raises AttributeError, TypeError or ValueError for invalid data.
    """
    if row.value is None:
        return {}
    return {
        TargetId(target_id): int(remaining_ms)
        for target_id, remaining_ms in row.value['remaining_ms'].items()
    }


__all__ = ('UnrenewedLeases', 'load_remaining_ms')
