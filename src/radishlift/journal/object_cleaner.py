"""Deletes objects that a snapshot row lists as no longer needed."""

from typing import Final

from radishlift.core.logs import log_event
from radishlift.journal.snapshot_rows import SnapshotRow
from radishlift.services.api import ObjectStore

# Each deletion is one call, and the next flush waits for all deletions of a
# step.
_DELETES_COUNT: Final = 4


class ObjectCleaner:
    """Deletes unneeded snapshot objects, a few in each step.

    The caller must make sure that the snapshot row is current: an outdated
    row may list an object that is in use by now.
    """

    def __init__(self, object_store: ObjectStore) -> None:
        self._object_store = object_store
        self._deleted: set[str] = set()
        self.has_work = True

    def list_pending(self, snapshot_row: SnapshotRow) -> list[str]:
        """Returns the names of the objects that are still to be deleted."""
        return [
            name
            for name in snapshot_row.leftover
            if name not in self._deleted and name not in snapshot_row.in_use
        ]

    def leftover_after(
        self,
        snapshot_row: SnapshotRow,
        in_use: frozenset[str],
    ) -> tuple[str, ...]:
        """Returns the unneeded objects once the snapshot is replaced.

        `in_use` are the objects of the new snapshot.
        """
        known = {*snapshot_row.leftover, *snapshot_row.in_use} - self._deleted
        return tuple(sorted(known - in_use - {''}))

    def on_row_written(self, snapshot_row: SnapshotRow) -> None:
        """Drops deleted names that the newly written row no longer lists."""
        self._deleted &= set(snapshot_row.leftover)
        self.has_work = True

    async def delete(self, snapshot_row: SnapshotRow) -> None:
        """Deletes some objects.

        After a failure, deletion resumes once the next row is written.
        """
        pending = self.list_pending(snapshot_row)
        for object_name in pending[:_DELETES_COUNT]:
            if not await self.delete_object(object_name):
                self.has_work = False
                return
        self.has_work = len(pending) > _DELETES_COUNT

    async def delete_object(self, object_name: str) -> bool:
        """Deletes an object; returns whether the deletion is confirmed."""
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


__all__ = ('ObjectCleaner',)
