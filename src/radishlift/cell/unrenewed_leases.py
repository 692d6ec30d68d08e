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
from radishlift.steps.ids import FencingToken, TargetId


class UnrenewedLeases:
    """Writes the list with the leader's heartbeats.

    A lease in the stored list must not be renewed before a list without it is
    committed. `list_remaining_ms` returns how long each of these leases may
    last, in milliseconds. The list names the last token of its term: a leader
    of an earlier release renews leases without a look at it.
    """

    def __init__(
        self, last_token: FencingToken, request_commit: Callable[[], None]
    ) -> None:
        self._last_token = last_token
        self._request_commit = request_commit
        self._is_first_write = True
        self._is_loading = False
        self._stored: frozenset[TargetId] = frozenset()
        self._written: frozenset[TargetId] | None = None
        self._requested: list[asyncio.Future[None]] = []
        self._writing: list[asyncio.Future[None]] = []
        self.list_remaining_ms: Callable[[], Mapping[TargetId, int]] = dict

    @property
    def is_write_requested(self) -> bool:
        """Returns whether a lease waits to be removed from the list."""
        return bool(self._requested)

    def begin_load(self) -> None:
        """Lets no write replace the stored list until it is loaded."""
        self._is_loading = True

    def load(self, target_ids: Iterable[TargetId]) -> None:
        """Records which leases the stored list contains."""
        self._stored = frozenset(target_ids)
        self._is_loading = False

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
        """Returns the write of the list, unless it is empty as before."""
        if self._is_loading:
            return []
        remaining_ms = self.list_remaining_ms()
        self._writing = self._requested
        self._requested = []
        if not remaining_ms and not self._stored and not self._is_first_write:
            return []
        self._is_first_write = False
        self._written = frozenset(remaining_ms)
        self._stored |= self._written
        fields = {'epoch': self._last_token, 'remaining_ms': remaining_ms}
        return [Write(COMMITS, UNRENEWED_KEY, fields)]

    def finish_write(self) -> None:
        """Records that the latest write is committed."""
        if self._written is not None:
            self._stored = self._written
            self._written = None
        for removed in self._writing:
            if not removed.done():
                removed.set_result(None)
        self._writing = []


def load_remaining_ms(row: Row, epoch: FencingToken) -> dict[TargetId, int]:
    """Reads the list of the previous leader.

    Returns an empty list if an earlier leader wrote it. Raises AttributeError,
    KeyError, TypeError or ValueError for invalid data.
    """
    if row.value is None or row.value['epoch'] != epoch - 1:
        return {}
    return {
        TargetId(target_id): int(remaining_ms)
        for target_id, remaining_ms in row.value['remaining_ms'].items()
    }


__all__ = ('UnrenewedLeases', 'load_remaining_ms')
