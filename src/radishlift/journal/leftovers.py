"""Deletes objects that a snapshot row lists as no longer needed."""

from typing import Final

from radishlift.core.logs import log_event
from radishlift.journal.snapshot_rows import SnapshotRow
from radishlift.services.api import ObjectStore

# A flush waits for the deletions of its step, which take a call each.
_DELETES_COUNT: Final = 4


class Leftovers:
    """Objects to delete, a few at a time.

    The caller must know that the row is current: an outdated one may list
    an object that is in use by now.
    """

    def __init__(self, object_store: ObjectStore) -> None:
        self._object_store = object_store
        self._deleted: set[str] = set()
        self.has_work = True

    def pending(self, named: SnapshotRow) -> list[str]:
        """Lists what is still to be deleted."""
        return [
            name
            for name in named.leftover
            if name not in self._deleted and name not in named.in_use
        ]

    def after(
        self,
        named: SnapshotRow,
        in_use: frozenset[str],
    ) -> tuple[str, ...]:
        """Returns what is left over when the snapshot is replaced."""
        known = {*named.leftover, *named.in_use} - self._deleted
        return tuple(sorted(known - in_use - {''}))

    def note_row(self, named: SnapshotRow) -> None:
        """Notes a row that was written; names it does not list are done."""
        self._deleted &= set(named.leftover)
        self.has_work = True

    async def delete(self, named: SnapshotRow) -> None:
        """Deletes some objects; a failure is repeated after the next row."""
        pending = self.pending(named)
        for object_name in pending[:_DELETES_COUNT]:
            if not await self.delete_one(object_name):
                self.has_work = False
                return
        self.has_work = len(pending) > _DELETES_COUNT

    async def delete_one(self, object_name: str) -> bool:
        """Deletes an object; tells whether that is certain."""
        failure = await self._object_store.delete(object_name)
        if failure is None:
            self._deleted.add(object_name)
            return True
        log_event(
            'snapshot_object_left',
            object=object_name,
            reason=failure.reason,
        )
        return False


__all__ = ('Leftovers',)
