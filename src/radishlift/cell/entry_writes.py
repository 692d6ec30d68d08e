"""Infers from the writes of an entry whether its removal is deliberate.

The platform removes an entry when its target has left, and otherwise after
three heartbeats without a write. An entry that was written more recently can't
have expired. While the store is down entries may expire unseen. A target that
drains says how long it stays at least.
"""

from typing import Final

from radishlift.steps.ids import TargetId

# One heartbeat less than the platform's three, as their interval varies.
_RECENT_HEARTBEATS_COUNT: Final = 2


class EntryWrites:
    """Tracks since when the entries of targets were last written.

    A change that a read returns was written after the previous read was
    requested. Without a heartbeat interval no removal is known to be
    deliberate.
    """

    def __init__(self, heartbeat_ms: int) -> None:
        self._recent_ms = heartbeat_ms * _RECENT_HEARTBEATS_COUNT
        self._read_at_ms: int | None = None
        self._written_after_ms: dict[TargetId, int] = {}

    def record_read(self, requested_at_ms: int) -> None:
        """Records when the latest successful read was requested."""
        self._read_at_ms = requested_at_ms

    def record_outage(self) -> None:
        """Records that the store could not be read for some time."""
        self._read_at_ms = None
        self._written_after_ms.clear()

    def record_write(self, target_id: TargetId) -> None:
        """Records that the current read returned a change of an entry."""
        if self._read_at_ms is not None:
            self._written_after_ms[target_id] = self._read_at_ms

    def has_recent(self, now_ms: int) -> bool:
        """Returns whether any target has written its entry recently."""
        limit_ms = now_ms - self._recent_ms
        return any(
            written_after_ms > limit_ms
            for written_after_ms in self._written_after_ms.values()
        )

    def is_deliberate(
        self, target_id: TargetId, now_ms: int, remaining_ms: int = 0
    ) -> bool:
        """Returns whether an entry is removed now because its target left.

        It has not expired, and the `remaining_ms` of its latest write are over.
        """
        written_after_ms = self._written_after_ms.get(target_id)
        if written_after_ms is None:
            return False
        return remaining_ms <= now_ms - written_after_ms < self._recent_ms

    def forget(self, target_id: TargetId) -> None:
        """Discards the writes of an entry that was removed or replaced."""
        self._written_after_ms.pop(target_id, None)


__all__ = ('EntryWrites',)
