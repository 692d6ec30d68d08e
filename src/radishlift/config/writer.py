"""Inserts version rows and resolves unknown outcomes of the inserts."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from radishlift.config.rows import (
    CONFIG_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    ConfigRow,
    Head,
    parse_head,
    version_key,
    version_writes,
)
from radishlift.config.settings import ConfigSettings
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.services.api import (
    Committed,
    Condition,
    Conflict,
    TableStore,
    Transaction,
)

Pause = Callable[[int], Awaitable[None]]


async def sleep_ms(pause_ms: int) -> None:
    """Waits between two attempts."""
    await asyncio.sleep(pause_ms / 1000)


@dataclass(frozen=True, slots=True)
class HeadMoved:
    """Another change was written first; contains the current head."""

    head: Head


class VersionWriter:
    """Writes version rows under the condition that the head is unchanged."""

    def __init__(
        self,
        store: TableStore,
        settings: ConfigSettings,
        clock: Clock,
        pause: Pause = sleep_ms,
    ) -> None:
        self._store = store
        self._settings = settings
        self._clock = clock
        self._pause = pause

    async def insert(
        self,
        head: Head,
        row: ConfigRow,
        deadline_ms: int,
        more_conditions: tuple[Condition, ...] = (),
    ) -> Committed | HeadMoved | Failure:
        """Inserts the version after the head.

        If one of `more_conditions` fails, nothing is written and `HeadMoved`
        contains the same head; the caller must check the change again.
        An unknown outcome is resolved by repeating the same transaction,
        whose conditions let it take effect only once. Fails with
        `store_outcome_unknown` only if that does not succeed in time; other
        failures mean that nothing was written.
        """
        transaction = self._transaction(head, row, more_conditions)
        is_sent = False
        while self._clock.monotonic_ms() < deadline_ms:
            outcome = await self._store.commit(transaction)
            if isinstance(outcome, Committed):
                return outcome
            if isinstance(outcome, Conflict):
                return _resolve_conflict(outcome, head, row.nonce, is_sent)
            is_sent |= outcome.kind is ErrorKind.store_outcome_unknown
            if not is_sent:
                return outcome
            await self._pause(self._settings.retry_pause_ms)
        return _deadline_failure(is_sent)

    def _transaction(
        self,
        head: Head,
        row: ConfigRow,
        more_conditions: tuple[Condition, ...],
    ) -> Transaction:
        version = ConfigVersion(head.version + 1)
        conditions = (
            Condition(HEAD_TABLE, HEAD_KEY, head.row_version),
            Condition(CONFIG_TABLE, version_key(version), 0),
            *more_conditions,
        )
        kept_count = self._settings.kept_versions_count
        return Transaction(conditions, version_writes(version, row, kept_count))


def _resolve_conflict(
    conflict: Conflict,
    head: Head,
    nonce: str,
    is_sent: bool,
) -> Committed | HeadMoved | Failure:
    head_row, version_row, *_ = conflict.rows
    if version_row.value is not None:
        if version_row.value.get('nonce') == nonce:
            return Committed((version_row.version,))
    elif is_sent and head_row.version != head.row_version:
        # The version was written and has been deleted since, so its writer
        # cannot be determined.
        reason = 'the version was deleted before its writer was known'
        return Failure(ErrorKind.store_outcome_unknown, reason)
    current = parse_head(head_row)
    return current if isinstance(current, Failure) else HeadMoved(current)


def _deadline_failure(is_sent: bool) -> Failure:
    if is_sent:
        reason = 'the change was sent and its outcome could not be read back'
        return Failure(ErrorKind.store_outcome_unknown, reason)
    reason = 'the change was not sent before its deadline'
    return Failure(ErrorKind.deadline_passed, reason)


__all__ = ('HeadMoved', 'Pause', 'VersionWriter', 'sleep_ms')
