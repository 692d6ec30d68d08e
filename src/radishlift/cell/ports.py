"""Interfaces of the cell to the store, the targets and the advice service."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, unique
from typing import Protocol

from radishlift.core.errors import Failure
from radishlift.core.ids import Address
from radishlift.services.api import Committed, Conflict, Row, Transaction
from radishlift.steps.endings import EndKind
from radishlift.steps.ids import (
    FencingToken,
    StepKey,
    TargetId,
    TargetIncarnation,
    TaskKey,
)


@dataclass(frozen=True, slots=True)
class ChangedRows:
    """Rows at a version of the store; rows without a value are removed."""

    rows: tuple[Row, ...]
    version: int


@dataclass(slots=True)
class PartialSnapshot:
    """What failed reads of a table have already read; known to the store.

    `pages_count` is how many pages that are.
    """

    read: object = None
    pages_count: int = 0


class CellStore(Protocol):
    """The platform's tables, whose changes can be followed.

    All rows of a transaction must be in one shard, or in tables in which only
    the leader commits several rows.
    """

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""

    async def commit(
        self,
        transaction: Transaction,
    ) -> Committed | Conflict | Failure:
        """Applies a transaction.

        Fails with `store_unavailable` if it is confirmed to have no effect,
        and with `store_outcome_unknown` if it may have taken effect.
        """

    async def snapshot(
        self, table: str, partial: PartialSnapshot | None = None
    ) -> ChangedRows | Failure:
        """Reads a whole table and the version from which to follow it.

        What it reads before a failure is kept in `partial`, and not read again
        when it is called with this the next time.
        """

    async def changes(
        self,
        table: str,
        after_version: int,
        wait_ms: int,
    ) -> ChangedRows | Failure:
        """Waits for changes of a table.

        Fails with `not_found` if the history is no longer available.
        """

    def notify_received(self, callback: Callable[[], None]) -> None:
        """Lets a callback run whenever a part of a success arrives."""

    async def probe(self, timeout_ms: int, parts_count: int) -> Failure | None:
        """Checks on new connections whether the store answers.

        Fails with `store_unavailable` if none of several parts can be read.
        """


@unique
class StartVerdict(Enum):
    """Answer of a target to a call."""

    started = 'started'
    fenced = 'fenced'
    superseded = 'superseded'
    late = 'late'
    no_room = 'no_room'
    bad_ticket = 'bad_ticket'
    refused = 'refused'
    invalid = 'invalid'
    other_process = 'other_process'


@dataclass(frozen=True, slots=True)
class TargetRef:
    """Address of a target, and the id that the call is meant for."""

    target_id: TargetId
    address: Address


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts an attempt.

    `until_ms` is the end of the lease on the target's clock.
    """

    key: TaskKey
    attempt: int
    text: str
    until_ms: int
    fencing_token: FencingToken
    checkpoint: str = ''
    ticket: str = ''

    def for_call(self, until_ms: int, token: FencingToken) -> 'StartOrder':
        """Returns the order with the end of the lease and token of a call."""
        return replace(self, until_ms=until_ms, fencing_token=token)


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Renews the lease of a target and requests its lists of attempts.

    `until_ms` is the end of the lease on the target's clock, None to renew
    nothing. The target drops ended attempts up to `ended_cursor`. `wait_ms` is
    how long the target may wait for an attempt to end before it answers.
    """

    fencing_token: FencingToken
    ended_cursor: int
    until_ms: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt that a target runs."""

    key: TaskKey
    attempt: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that has ended.

    `sequence` counts the ended attempts of one target process.
    """

    sequence: int
    key: TaskKey
    attempt: int
    kind: EndKind
    checkpoint: str = ''


@dataclass(frozen=True, slots=True)
class HoldReport:
    """A target's answer to a hold order.

    `incarnation` is None if the target did not report it. With
    `has_all_ended` false more ended attempts follow once these are
    acknowledged.
    """

    clock_ms: int
    incarnation: TargetIncarnation | None
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]
    last_sequence: int
    has_all_ended: bool = True


class TargetCalls(Protocol):
    """Calls targets.

    A call fails with `peer_unavailable` if it was not sent, so that it has no
    effect. A call without an answer fails with `target_outcome_unknown`: it may
    still take effect, even seconds later.
    """

    async def start(
        self,
        target: TargetRef,
        order: StartOrder,
    ) -> StartVerdict | Failure:
        """Starts an attempt; the call is idempotent."""

    async def stop(
        self,
        target: TargetRef,
        key: TaskKey,
        attempt: int,
        fencing_token: FencingToken,
    ) -> StartVerdict | Failure:
        """Stops an attempt or blocks its start; `started` means success."""

    async def hold(
        self,
        target: TargetRef,
        order: HoldOrder,
    ) -> HoldReport | StartVerdict | Failure:
        """Renews the lease and reads the running and ended attempts."""


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """Targets that may run a step, with their ticket texts."""

    tickets: tuple[tuple[TargetId, str], ...]
    valid_ms: int


class AdviceCalls(Protocol):
    """Calls the advice service, which handles one call per host at a time."""

    async def request(
        self,
        key: StepKey,
        target_ids: tuple[TargetId, ...],
        timeout_ms: int,
    ) -> AdviceAnswer | Failure:
        """Requests tickets for the targets that may run a step."""


__all__ = (
    'AdviceAnswer',
    'AdviceCalls',
    'CellStore',
    'ChangedRows',
    'EndedAttempt',
    'HoldOrder',
    'HoldReport',
    'PartialSnapshot',
    'RunningAttempt',
    'StartOrder',
    'StartVerdict',
    'TargetCalls',
    'TargetRef',
)
