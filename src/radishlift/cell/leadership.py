"""Election of the leader through the rows of the cell in the store."""

import asyncio
from contextlib import suppress
from typing import Any, Final

from transitions import Machine

from radishlift.cell.commits import Claim
from radishlift.cell.fences import last_token
from radishlift.cell.ports import CellStore
from radishlift.cell.settings import CellSettings
from radishlift.cell.table_follower import TableFollower
from radishlift.cell.tables import (
    CELL,
    COMMITS,
    DAEMON_PREFIX,
    HEARTBEAT_KEY,
    LAST_COMMIT_KEY,
    LEADER_KEY,
    daemon_key,
)
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.core.levels import FORMAT_LEVEL, normalize_level
from radishlift.core.logs import log_event
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    Row,
    Transaction,
    Write,
)
from radishlift.steps.ids import FencingToken

_CHECK_INTERVAL_MS: Final = 100


class CellView:
    """The rows of the cell: leader, heartbeat and daemons.

    `heartbeat_at_ms` is when the leader's row or heartbeat last changed. Times
    in which the store can't be read are added to it.
    `changed` is set on each change of a row.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rows: dict[str, Row] = {}
        self.changed = asyncio.Event()
        self.heartbeat_at_ms = clock.monotonic_ms()

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Replaces all rows."""
        is_first = not self._rows
        before = self._leader_versions()
        self._rows = {row.key: row for row in rows}
        # A snapshot may be read without a sign of the leader.
        if is_first or self._leader_versions() != before:
            self.heartbeat_at_ms = self._clock.monotonic_ms()
        self.changed.set()

    def update(self, rows: tuple[Row, ...]) -> None:
        """Applies changed rows."""
        for row in rows:
            self._rows[row.key] = row
            if row.key in {HEARTBEAT_KEY, LEADER_KEY}:
                self.heartbeat_at_ms = self._clock.monotonic_ms()
        self.changed.set()

    def exclude_outage(self, outage_ms: int) -> None:
        """Excludes a time in which the leader could not be seen."""
        self.heartbeat_at_ms = min(
            self.heartbeat_at_ms + outage_ms, self._clock.monotonic_ms()
        )

    @property
    def leader(self) -> Row:
        """Returns the leader's row; version 0 if there was no leader yet."""
        return self._rows.get(LEADER_KEY) or Row(CELL, LEADER_KEY, 0, None)

    @property
    def leader_id(self) -> DaemonId:
        """Returns the leader's id; empty if it has stepped down."""
        return DaemonId((self.leader.value or {}).get('daemon', ''))

    @property
    def has_leader_restarted(self) -> bool:
        """Returns whether the leader's process restarted since its claim."""
        row = self._rows.get(daemon_key(self.leader_id))
        return row is not None and row.version > self.leader.version

    @property
    def heartbeat(self) -> Any:
        """Returns the latest leader heartbeat; empty if there is none."""
        row = self._rows.get(HEARTBEAT_KEY)
        return {} if row is None or row.value is None else row.value

    def daemons(self) -> dict[DaemonId, Address]:
        """Returns the addresses of all daemons."""
        return {
            DaemonId(key.removeprefix(DAEMON_PREFIX)): Address(address)
            for key, row in self._rows.items()
            if key.startswith(DAEMON_PREFIX)
            and (address := (row.value or {}).get('address'))
        }

    def format_levels(self) -> dict[DaemonId, int]:
        """Returns the format level that each daemon supports."""
        return {
            daemon_id: normalize_level(
                (self._rows[daemon_key(daemon_id)].value or {}).get(
                    'format_level'
                )
            )
            for daemon_id in self.daemons()
        }

    def by_leader_rank(self) -> list[DaemonId]:
        """Lists the daemons by descending leader rank, then by id."""
        ranks = {
            key: (row.value or {}).get('strength', 0)
            for key, row in self._rows.items()
        }
        return sorted(
            self.daemons(),
            key=lambda daemon_id: (-ranks[daemon_key(daemon_id)], daemon_id),
        )

    def _leader_versions(self) -> tuple[int, ...]:
        return tuple(
            self._rows[key].version if key in self._rows else 0
            for key in (LEADER_KEY, HEARTBEAT_KEY)
        )


class Leadership(Machine):
    """Claims leadership if there is no leader or it is unresponsive."""

    def __init__(
        self,
        daemon_id: DaemonId,
        store: CellStore,
        view: CellView,
        settings: CellSettings,
        clock: Clock,
    ) -> None:
        super().__init__(
            states=['following', 'claiming', 'leading', 'stopping'],
            initial='following',
            transitions=[
                ['claim', 'following', 'claiming'],
                ['win', 'claiming', 'leading'],
                ['follow', ['claiming', 'leading'], 'following'],
                ['stop', '*', 'stopping'],
            ],
            after_state_change='_log_change',
        )
        self._daemon_id = daemon_id
        self._store = store
        self._view = view
        self._settings = settings
        self._clock = clock
        self._abstains_until_ms = 0

    async def register(
        self,
        address: Address,
        leader_rank: int,
    ) -> Failure | None:
        """Writes this daemon's row; daemons of higher rank lead first."""
        row = {
            'address': address,
            'strength': leader_rank,
            'format_level': FORMAT_LEVEL,
        }
        outcome = await self._store.commit(
            Transaction((), (Write(CELL, daemon_key(self._daemon_id), row),)),
        )
        return outcome if isinstance(outcome, Failure) else None

    async def wait_for_claim(self, follower: TableFollower) -> Claim:
        """Waits until a claim of this daemon has succeeded."""
        while True:
            wait_ms = self._due_in_ms(follower)
            if wait_ms:
                await self._wait_for_change(wait_ms)
                continue
            observed_leader = self._view.leader
            self.claim()
            claim = await self._try_claim(observed_leader)
            if claim is not None:
                self.win()
                return claim
            self.follow()
            await asyncio.sleep(_CHECK_INTERVAL_MS / 1000)

    async def abandon(self, claim: Claim) -> None:
        """Steps down as this daemon can't do the work; others claim first."""
        now_ms = self._clock.monotonic_ms()
        self._abstains_until_ms = now_ms + self._settings.abstain_for_ms
        await self.release(claim, claim.abandoned_count + 1)

    async def release(self, claim: Claim, abandoned_count: int = 0) -> None:
        """Steps down so that another daemon can lead at once.

        After a failure the others claim once the heartbeat is overdue.
        """
        row = {'daemon': '', 'epoch': claim.last_token}
        if abandoned_count:
            row['abandoned'] = abandoned_count
        outcome = await self._store.commit(
            Transaction(
                (Condition(CELL, LEADER_KEY, claim.leader_version),),
                (Write(CELL, LEADER_KEY, row),),
            ),
        )
        if isinstance(outcome, Failure):
            log_event('release_failed', reason=outcome.reason)

    def choose_rest_ms(self) -> int:
        """Returns how long the cell may be left unread after each read.

        Each heartbeat of the leader ends a wait for changes. Daemons that claim
        late anyway may learn of several at once: each may lag by as much as
        earlier daemons claim before it.
        """
        rest_ms = self._claim_position() * self._settings.claim_stagger_ms
        if self.state == 'leading' or rest_ms < self._settings.pulse_ms:
            return 0
        return min(rest_ms, self._settings.max_rest_ms)

    def _log_change(self) -> None:
        log_event('leadership', state=self.state, leader=self._view.leader_id)

    async def _wait_for_change(self, wait_ms: int) -> None:
        """Waits until a row of the cell changes, and `wait_ms` at most.

        The order of claims holds only if each daemon notices a change at once.
        """
        changed = self._view.changed
        changed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await changed.wait()

    def _due_in_ms(self, follower: TableFollower) -> int:
        """Returns the time until a claim is due, or until the next check."""
        if self.state != 'following' or follower.last_contact_ms is None:
            return _CHECK_INTERVAL_MS
        now_ms = self._clock.monotonic_ms()
        wait_ms = self._claim_position() * self._settings.claim_stagger_ms
        if now_ms < self._abstains_until_ms:
            wait_ms += self._settings.abstain_ms
        if not self._view.leader.version:
            # At the first start, wait until the daemons have registered.
            wait_ms += self._settings.first_claim_ms
        elif self._view.leader_id and not self._view.has_leader_restarted:
            # A missing heartbeat counts only while the store can be read.
            contact_age_ms = now_ms - follower.last_contact_ms
            if contact_age_ms >= self._settings.silence_ms:
                return _CHECK_INTERVAL_MS
            wait_ms += self._settings.silence_ms
        silence_ms = now_ms - self._view.heartbeat_at_ms
        return min(_CHECK_INTERVAL_MS, max(0, wait_ms - silence_ms))

    def _claim_position(self) -> int:
        # The unresponsive leader claims last.
        others = [
            daemon_id
            for daemon_id in self._view.by_leader_rank()
            if daemon_id != self._view.leader_id
        ]
        if self._daemon_id in others:
            return others.index(self._daemon_id)
        return len(others)

    async def _try_claim(self, observed_leader: Row) -> Claim | None:
        leader = await self._store.read(CELL, LEADER_KEY)
        if (
            isinstance(leader, Failure)
            or leader.version != observed_leader.version
        ):
            return None
        # Leaders of earlier releases have one token each, and take the next.
        leader_row = leader.value or {}
        epoch = FencingToken(leader_row.get('epoch', 0) + 1)
        leader_fields = self._leader_fields(epoch)
        commit_fields = {'epoch': epoch, 'number': 0}
        sent_at_ms = self._clock.monotonic_ms()
        outcome = await self._store.commit(
            Transaction(
                (Condition(CELL, LEADER_KEY, leader.version),),
                (
                    Write(CELL, LEADER_KEY, leader_fields),
                    Write(COMMITS, LAST_COMMIT_KEY, commit_fields),
                ),
            ),
        )
        if isinstance(outcome, Committed):
            leader_version, last_version = outcome.versions
            return Claim(
                epoch,
                leader_version,
                last_version,
                sent_at_ms,
                leader_row.get('abandoned', 0),
            )
        if isinstance(outcome, Conflict):
            log_event('claim_lost', epoch=epoch)
            return None
        # An unread claim would leave the cell without a leader for as long as
        # the silence of an unresponsive one.
        while True:
            requested_at_ms = self._clock.monotonic_ms()
            found = await self._read_claim_outcome(epoch, requested_at_ms)
            if not isinstance(found, Failure):
                return found
            await asyncio.sleep(_CHECK_INTERVAL_MS / 1000)

    def _leader_fields(self, epoch: FencingToken) -> dict[str, Any]:
        return {'daemon': self._daemon_id, 'epoch': last_token(epoch)}

    async def _read_claim_outcome(
        self, epoch: FencingToken, requested_at_ms: int
    ) -> Claim | Failure | None:
        """Checks whether a claim without an answer took effect.

        Returns None if it did not.
        """
        leader = await self._store.read(CELL, LEADER_KEY)
        if isinstance(leader, Failure):
            return leader
        if leader.value != self._leader_fields(epoch):
            return None
        last_commit = await self._store.read(COMMITS, LAST_COMMIT_KEY)
        if isinstance(last_commit, Failure):
            return last_commit
        return Claim(
            epoch, leader.version, last_commit.version, requested_at_ms
        )


__all__ = ('CellView', 'Leadership')
