"""The targets of a leader and its sessions with them."""

from collections.abc import Iterator

from radishlift.cell.entry_writes import EntryWrites
from radishlift.cell.session_context import SessionContext
from radishlift.cell.sessions import TargetSession
from radishlift.cell.settings import CellSettings
from radishlift.core.logs import log_event
from radishlift.steps.ids import TargetId, TaskKey
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import Target, TargetEntry, TargetTable


class TargetFleet:
    """Opens a session with each target and closes it on removal.

    `entries_read_at_ms` is when the latest entries of targets were requested.
    """

    def __init__(
        self,
        targets: TargetTable,
        settings: StepSettings,
        cell_settings: CellSettings,
        target_heartbeat_ms: int,
    ) -> None:
        self._targets = targets
        self.workspace_use = targets.workspace_use
        self.entry_writes = EntryWrites(target_heartbeat_ms)
        self.settings = settings
        self._max_entry_age_ms = cell_settings.max_entry_age_ms
        self.entries_read_at_ms = 0
        self._sessions: dict[TargetId, TargetSession] = {}

    def __iter__(self) -> Iterator[TargetId]:
        return iter(list(self._sessions))

    def __len__(self) -> int:
        return len(self._sessions)

    def find_session(self, target_id: TargetId) -> TargetSession | None:
        """Returns the session with a target, or None if it is unknown."""
        return self._sessions.get(target_id)

    def find_target(self, target_id: TargetId) -> Target | None:
        """Returns a target, or None if it is unknown."""
        return self._targets.get(target_id)

    def update(self, entry: TargetEntry, context: SessionContext) -> bool:
        """Stores a target's entry; returns whether it changed."""
        known_target = self._targets.get(entry.target_id)
        is_changed = known_target is None or known_target.entry != entry
        session = self._sessions.get(entry.target_id)
        if session is not None and session.target.entry.life != entry.life:
            session.record_life(entry.life)
        if (
            known_target is not None
            and known_target.entry.state is not entry.state
        ):
            log_event(
                'target_state',
                target=entry.target_id,
                state=entry.state,
                remaining_ms=entry.remaining_ms,
            )
        target = self._targets.update(entry)
        if session is None:
            # The target's clock is unknown until its first answer.
            target.is_reachable = False
            session = TargetSession(target, context)
            self._sessions[entry.target_id] = session
        return is_changed

    def remove(self, target_id: TargetId) -> None:
        """Removes a target that runs nothing any more."""
        log_event('target_removed', target=target_id)
        self._sessions.pop(target_id).close()
        self._targets.remove(target_id)

    def record_read(self, requested_at_ms: int) -> None:
        """Records when the latest entries of targets were requested."""
        self.entries_read_at_ms = requested_at_ms
        self.entry_writes.record_read(requested_at_ms)

    def record_outage(self, _: int) -> None:
        """Records that no entries could be read for some time."""
        self.entry_writes.record_outage()

    def has_recent_entries(self, now_ms: int) -> bool:
        """Returns whether placement may rely on the entries of targets."""
        return now_ms - self.entries_read_at_ms <= self._max_entry_age_ms

    def may_start(self, target: Target, now_ms: int) -> bool:
        """Returns whether recent entries allow all attempts on a target."""
        return self.has_recent_entries(now_ms) and Amounts().fits_in(
            target.free_capacity
        )

    def stop(self, target_id: TargetId, key: TaskKey, attempt: int) -> None:
        """Stops an attempt, if its target is known."""
        session = self._sessions.get(target_id)
        if session is not None:
            session.stop(key, attempt)

    def record_outcome(
        self, target: Target, now_ms: int, *, is_failure: bool
    ) -> None:
        """Counts consecutive failures; starts a cooldown at their limit."""
        if not is_failure:
            target.consecutive_failures_count = 0
            return
        target.consecutive_failures_count += 1
        if (
            target.consecutive_failures_count
            >= self.settings.distrust_after_count
        ):
            self.start_cooldown(target, now_ms)

    def start_cooldown(self, target: Target, now_ms: int) -> None:
        """Keeps new tasks off a target for `distrust_ms`."""
        target.consecutive_failures_count = 0
        target.cooldown_until_ms = now_ms + self.settings.distrust_ms
        log_event('target_distrusted', target=target.entry.target_id)

    def unrenewed_ms(self) -> dict[TargetId, int]:
        """Returns how long each lease may last that is not renewed."""
        return {
            target_id: remaining_ms
            for target_id, session in self._sessions.items()
            if (remaining_ms := session.unrenewed_ms) is not None
        }

    def close(self) -> None:
        """Closes all sessions; running tasks are not affected."""
        for session in self._sessions.values():
            session.close()


__all__ = ('TargetFleet',)
