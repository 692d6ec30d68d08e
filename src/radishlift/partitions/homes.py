"""Finds the owner of a home partition and calls it until a deadline."""

import asyncio
import re
from collections.abc import Callable
from secrets import token_hex
from typing import Any, Final, Protocol

from radishlift.config.kinds import PARTITION_PATTERN
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.ids import DaemonId, JobId, PartitionId
from radishlift.membership.api import MemberDirectory
from radishlift.ownership.api import OWNERS_TABLE
from radishlift.ownership.owner_rows import StoredOwner, parse_owner
from radishlift.partitions.api import PartitionDirectory
from radishlift.partitions.parts import DaemonParts
from radishlift.services.api import TableStore
from radishlift.wire.network import PeerNetwork

# Failures that concern the job itself: another call returns the same.
_FINAL_KINDS: Final = frozenset(
    (
        ErrorKind.invalid_input,
        ErrorKind.not_found,
        ErrorKind.conflict,
        ErrorKind.too_large,
        ErrorKind.unauthorized,
        ErrorKind.quota_exceeded,
        ErrorKind.never_fits,
        ErrorKind.cancelled,
    )
)
_REFRESH_INTERVAL_MS: Final = 100
_MIN_REPLY_MARGIN_MS: Final = 50
_REPLY_MARGIN_DIVISOR: Final = 8
# A shorter call ends before its reply can arrive. Its outcome would be unknown,
# although an earlier reply of the owner said that nothing was written.
_MIN_CALL_MS: Final = 2 * _MIN_REPLY_MARGIN_MS
_ID_BYTES: Final = 8
_GENERATED_ID: Final = re.compile(
    rf'{PARTITION_PATTERN.pattern}\.[0-9a-f]{{{2 * _ID_BYTES}}}',
)


class JobDirectory(PartitionDirectory, Protocol):
    """A directory that is updated after an owner row was read."""

    def partitions(self) -> tuple[PartitionId, ...]:
        """Lists the partitions."""

    def is_home(self, partition_id: PartitionId) -> bool:
        """Returns whether a partition is a home of job ids and keys."""

    def update(self, owner_row: StoredOwner) -> None:
        """Stores an owner row that was read."""


class OwnerLookup:
    """Owners and homes as last read; single owner rows are read on demand."""

    def __init__(
        self,
        directory: JobDirectory,
        store: TableStore,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._store = store
        self._clock = clock
        self._read_at_ms: dict[PartitionId, int] = {}

    def owner_of(self, partition_id: PartitionId) -> DaemonId | None:
        """Returns the owner of a partition; it may be outdated."""
        return self._directory.owner_of(partition_id)

    def partitions(self) -> tuple[PartitionId, ...]:
        """Lists the partitions."""
        return self._directory.partitions()

    def home_of(self, job_id: JobId) -> PartitionId | Failure:
        """Returns the home of a job: the one that its id names, else by hash.

        The result must not depend on which partitions are configured, or a
        call repeated after a change would reach another home. An id therefore
        names a partition only if that is a fixed home, or if the id has the
        form of generated ids, which are never hashed.
        """
        directory = self._directory
        named = PartitionId(job_id.partition('.')[0])
        if _GENERATED_ID.fullmatch(job_id):
            if named in directory.partitions():
                return named
            reason = f'{job_id} names the unknown partition {named}'
            return Failure(ErrorKind.no_owner, reason)
        if named != job_id and directory.is_home(named):
            return named
        home = directory.home_of(job_id)
        if home is not None:
            return home
        if directory.partitions():
            reason = 'the homes of job ids are not known yet'
            return Failure(ErrorKind.store_unavailable, reason)
        return no_partition_failure()

    async def refresh(self, partition_id: PartitionId) -> None:
        """Reads an owner row unless it was read within the last 100 ms.

        Many callers may wait for the same takeover, and the table service
        limits the rate of reads.
        """
        now_ms = self._clock.monotonic_ms()
        last_ms = self._read_at_ms.get(partition_id)
        if last_ms is not None and now_ms - last_ms < _REFRESH_INTERVAL_MS:
            return
        self._read_at_ms[partition_id] = now_ms
        row = await self._store.read(OWNERS_TABLE, partition_id)
        if isinstance(row, Failure):
            return
        owner_row = parse_owner(row)
        if not isinstance(owner_row, Failure):
            self._directory.update(owner_row)


class HomeCaller:
    """Calls the owners of partitions with idempotent messages."""

    def __init__(self, parts: DaemonParts, lookup: OwnerLookup) -> None:
        self._clock = parts.clock
        self._members: MemberDirectory = parts.members
        self._network: PeerNetwork = parts.network
        self._settings = parts.settings.partitions
        self._lookup = lookup

    def deadline_ms(self, timeout_ms: int) -> int:
        """Returns the monotonic time at which a call that starts now ends."""
        return self._clock.monotonic_ms() + timeout_ms

    async def wait_before_retry(self, deadline_ms: int) -> bool:
        """Waits before the next call.

        Returns False at once if too little time is left for another call.
        """
        retry_interval_ms = self._settings.retry_interval_ms
        if self.remaining_ms(deadline_ms) <= retry_interval_ms + _MIN_CALL_MS:
            return False
        await asyncio.sleep(retry_interval_ms / 1000)
        return True

    def remaining_ms(self, deadline_ms: int) -> int:
        """Returns the ms until a deadline."""
        return deadline_ms - self._clock.monotonic_ms()

    async def call(
        self,
        partition_id: PartitionId,
        message_of: Callable[[int], object],
        timeout_ms: int,
    ) -> Any:
        """Calls the owner of a partition and retries, as after a takeover.

        `message_of` builds the message from the time in ms that its handling
        may take. Fails with `peer_outcome_unknown` if an earlier call may have
        taken effect and no later call returned its outcome.
        """
        deadline_ms = self.deadline_ms(timeout_ms)
        unknown: Failure | None = None
        while True:
            remaining_ms = self.remaining_ms(deadline_ms)
            reply = await self._call_once(
                partition_id, message_of, remaining_ms
            )
            if not isinstance(reply, Failure) or reply.kind in _FINAL_KINDS:
                return reply
            if reply.answer.outcome is not Outcome.not_run:
                unknown = reply
            await self._lookup.refresh(partition_id)
            if not await self.wait_before_retry(deadline_ms):
                return reply if unknown is None else _outcome_unknown(unknown)

    def is_suspected(self, partition_id: PartitionId) -> bool:
        """Returns whether the known owner of a partition is suspected."""
        owner = self._lookup.owner_of(partition_id)
        return owner is not None and self._members.is_suspected(owner)

    async def _call_once(
        self,
        partition_id: PartitionId,
        message_of: Callable[[int], object],
        remaining_ms: int,
    ) -> Any:
        owner = self._lookup.owner_of(partition_id)
        if owner is None:
            reason = f'{partition_id} has no owner'
            return Failure(ErrorKind.no_owner, reason)
        if self._members.is_suspected(owner):
            reason = f'{owner}, which owns {partition_id}, is suspected'
            return Failure(ErrorKind.peer_unavailable, reason)
        call_ms = max(1, min(remaining_ms, self._settings.call_timeout_ms))
        # The owner replies before the call ends, so that the caller gets the
        # reason of the owner instead of a timeout.
        margin_ms = max(_MIN_REPLY_MARGIN_MS, call_ms // _REPLY_MARGIN_DIVISOR)
        message = message_of(max(1, call_ms - margin_ms))
        return await self._network.call(owner, message, call_ms)


def generate_job_id(home: PartitionId) -> JobId:
    """Generates the id of a job that was submitted without one."""
    return JobId(f'{home}.{token_hex(_ID_BYTES)}')


def no_partition_failure() -> Failure:
    """Returns the failure for when no home can be found or chosen."""
    return Failure(
        ErrorKind.no_configuration,
        'the configuration in force has no partition',
    )


def _outcome_unknown(failure: Failure) -> Failure:
    return Failure(ErrorKind.peer_outcome_unknown, failure.reason)


__all__ = (
    'HomeCaller',
    'JobDirectory',
    'OwnerLookup',
    'generate_job_id',
    'no_partition_failure',
)
