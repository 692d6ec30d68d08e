"""Finds the owner of a job's home and calls it until the deadline."""

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

# What a home says about the job itself; calling again can't change it.
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
_LEAST_REPLY_MARGIN_MS: Final = 50
_REPLY_MARGIN_SHARE: Final = 8
# A call with less time ends before its answer can come, and its outcome would
# be unknown although the owner had said before that nothing was written.
_LEAST_CALL_MS: Final = 2 * _LEAST_REPLY_MARGIN_MS
_ID_BYTES: Final = 8
_MADE_ID: Final = re.compile(
    rf'{PARTITION_PATTERN.pattern}\.[0-9a-f]{{{2 * _ID_BYTES}}}',
)


class JobDirectory(PartitionDirectory, Protocol):
    """A directory that can be corrected by reading an owner row."""

    def partitions(self) -> tuple[PartitionId, ...]:
        """Lists the partitions."""

    def is_home(self, partition_id: PartitionId) -> bool:
        """Tells whether ids and keys may be at home in a partition."""

    def update(self, seen: StoredOwner) -> None:
        """Takes over an owner row."""


class OwnerLookup:
    """Owners as last read, corrected by reading single rows."""

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
        """Returns the home of a job: the one in its id, else by hash.

        The answer must not depend on which partitions are configured, or a
        repeat after a change would reach another home. So an id names a
        partition only if that is a fixed home, or if the id has the form of
        those that daemons make, which are never hashed.
        """
        directory = self._directory
        named = PartitionId(job_id.partition('.')[0])
        if _MADE_ID.fullmatch(job_id):
            if named in directory.partitions():
                return named
            reason = f'no partition {named} is known, which {job_id} names'
            return Failure(ErrorKind.no_owner, reason)
        if named != job_id and directory.is_home(named):
            return named
        home = directory.home_of(job_id)
        if home is not None:
            return home
        if directory.partitions():
            reason = 'the homes of job ids are not known yet'
            return Failure(ErrorKind.store_unavailable, reason)
        return no_partition()

    async def refresh(self, partition_id: PartitionId) -> None:
        """Reads an owner row, unless that was done a moment ago.

        Many callers wait for the same takeover, and the table service takes
        a limited rate of reads.
        """
        now_ms = self._clock.monotonic_ms()
        last_ms = self._read_at_ms.get(partition_id)
        if last_ms is not None and now_ms - last_ms < _REFRESH_INTERVAL_MS:
            return
        self._read_at_ms[partition_id] = now_ms
        row = await self._store.read(OWNERS_TABLE, partition_id)
        if isinstance(row, Failure):
            return
        seen = parse_owner(row)
        if not isinstance(seen, Failure):
            self._directory.update(seen)


class HomeCaller:
    """Calls owners with idempotent messages and tells true outcomes."""

    def __init__(self, parts: DaemonParts, lookup: OwnerLookup) -> None:
        self._clock = parts.clock
        self._members: MemberDirectory = parts.members
        self._network: PeerNetwork = parts.network
        self._settings = parts.settings.partitions
        self._lookup = lookup

    def deadline_ms(self, timeout_ms: int) -> int:
        """Returns the monotonic time at which a call that begins now ends."""
        return self._clock.monotonic_ms() + timeout_ms

    async def pause(self, deadline_ms: int) -> bool:
        """Waits before the next call; False if too little time is left."""
        retry_interval_ms = self._settings.retry_interval_ms
        if self.left_ms(deadline_ms) <= retry_interval_ms + _LEAST_CALL_MS:
            return False
        await asyncio.sleep(retry_interval_ms / 1000)
        return True

    def left_ms(self, deadline_ms: int) -> int:
        """Returns the time until a deadline."""
        return deadline_ms - self._clock.monotonic_ms()

    async def call(
        self,
        partition_id: PartitionId,
        message_of: Callable[[int], object],
        timeout_ms: int,
    ) -> Any:
        """Calls the owner of a partition, again after a takeover.

        `message_of` builds the message for the time that it may take. Fails
        with `peer_outcome_unknown` when an earlier call may have taken effect
        and no later one could tell.
        """
        deadline_ms = self.deadline_ms(timeout_ms)
        unknown: Failure | None = None
        while True:
            left_ms = self.left_ms(deadline_ms)
            reply = await self._call_once(partition_id, message_of, left_ms)
            if not isinstance(reply, Failure) or reply.kind in _FINAL_KINDS:
                return reply
            if reply.answer.outcome is not Outcome.not_run:
                unknown = reply
            await self._lookup.refresh(partition_id)
            if not await self.pause(deadline_ms):
                return reply if unknown is None else _unknown(unknown)

    async def _call_once(
        self,
        partition_id: PartitionId,
        message_of: Callable[[int], object],
        left_ms: int,
    ) -> Any:
        owner = self._lookup.owner_of(partition_id)
        if owner is None:
            reason = f'{partition_id} has no owner'
            return Failure(ErrorKind.no_owner, reason)
        if self._members.is_suspected(owner):
            reason = f'{owner}, which owns {partition_id}, is suspected'
            return Failure(ErrorKind.peer_unavailable, reason)
        call_ms = max(1, min(left_ms, self._settings.call_timeout_ms))
        # The owner answers before the call ends, so that its own reason
        # reaches the caller instead of a timeout.
        margin_ms = max(_LEAST_REPLY_MARGIN_MS, call_ms // _REPLY_MARGIN_SHARE)
        message = message_of(max(1, call_ms - margin_ms))
        return await self._network.call(owner, message, call_ms)


def make_job_id(home: PartitionId) -> JobId:
    """Makes an id for a job of a caller that gave none."""
    return JobId(f'{home}.{token_hex(_ID_BYTES)}')


def no_partition() -> Failure:
    """Tells that no home can be found or chosen."""
    return Failure(
        ErrorKind.no_configuration,
        'the configuration in force has no partition',
    )


def _unknown(failure: Failure) -> Failure:
    return Failure(ErrorKind.peer_outcome_unknown, failure.reason)


__all__ = (
    'HomeCaller',
    'JobDirectory',
    'OwnerLookup',
    'make_job_id',
    'no_partition',
)
