"""What the cell needs of the outside: tables, targets and advice."""

from dataclasses import dataclass, replace
from enum import Enum, unique
from typing import Protocol

from radishlift.core.errors import Failure
from radishlift.core.ids import Address
from radishlift.services.api import Committed, Conflict, Row, Transaction
from radishlift.steps.endings import EndKind
from radishlift.steps.ids import Fence, Life, StepKey, TargetId, TaskKey


@dataclass(frozen=True, slots=True)
class ChangedRows:
    """Rows as of a version of the store; no value means removed."""

    rows: tuple[Row, ...]
    version: int


class CellStore(Protocol):
    """The platform's tables, which also tell of changes.

    The rows of a transaction share an entry share, or lie in tables of which
    only the leader commits several rows.
    """

    async def read(self, table: str, key: str) -> Row | Failure:
        """Reads one row; an absent row has version 0."""

    async def commit(
        self,
        transaction: Transaction,
    ) -> Committed | Conflict | Failure:
        """Applies a transaction.

        Fails with `store_unavailable` when it has certainly not taken effect
        and with `store_outcome_unknown` when it may have.
        """

    async def snapshot(self, table: str) -> ChangedRows | Failure:
        """Reads a whole table and a version to follow it from."""

    async def changes(
        self,
        table: str,
        after_version: int,
        wait_ms: int,
    ) -> ChangedRows | Failure:
        """Waits for changes of a table.

        Fails with `not_found` when the history is no longer kept.
        """


@unique
class StartVerdict(Enum):
    """What a target did with a start."""

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
    """Where a target is called, and which one is meant."""

    target_id: TargetId
    address: Address


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts an attempt; `until_ms` is on the target's clock."""

    key: TaskKey
    attempt: int
    text: str
    until_ms: int
    fence: Fence
    checkpoint: str = ''
    ticket: str = ''

    def prolonged(self, until_ms: int) -> 'StartOrder':
        """Returns the order with another end of the lease."""
        return replace(self, until_ms=until_ms)


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Prolongs the lease of all that runs on a target, and asks for news.

    `until_ms` is on the target's clock, None to prolong nothing. Ends up to
    `ended_cursor` are forgotten by the target. `wait_ms` is how long the
    target may wait for an end before it answers.
    """

    fence: Fence
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
    """An attempt that has ended; `number` counts the ends of one process."""

    number: int
    key: TaskKey
    attempt: int
    how: EndKind
    checkpoint: str = ''


@dataclass(frozen=True, slots=True)
class HoldReport:
    """A target's answer; None for the life if it did not say."""

    clock_ms: int
    life: Life | None
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]
    last_number: int


class TargetCalls(Protocol):
    """Calls targets.

    A call without an answer fails with `target_outcome_unknown`: it may be
    carried out, even seconds later.
    """

    async def start(
        self,
        target: TargetRef,
        order: StartOrder,
    ) -> StartVerdict | Failure:
        """Starts an attempt; repeating it is harmless."""

    async def stop(
        self,
        target: TargetRef,
        key: TaskKey,
        attempt: int,
        fence: Fence,
    ) -> StartVerdict | Failure:
        """Stops an attempt, or bars it from starting; `started` is success."""

    async def hold(
        self,
        target: TargetRef,
        order: HoldOrder,
    ) -> HoldReport | StartVerdict | Failure:
        """Prolongs the lease and reads what runs and what has ended."""


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """Targets that may run a step, with their tickets."""

    tickets: tuple[tuple[TargetId, str], ...]
    valid_ms: int


class AdviceCalls(Protocol):
    """Calls the advice service, which serves one call a host at a time."""

    async def command_all(
        self,
        key: StepKey,
        target_ids: tuple[TargetId, ...],
        timeout_ms: int,
    ) -> AdviceAnswer | Failure:
        """Asks which targets may run a step."""


__all__ = (
    'AdviceAnswer',
    'AdviceCalls',
    'CellStore',
    'ChangedRows',
    'EndedAttempt',
    'HoldOrder',
    'HoldReport',
    'RunningAttempt',
    'StartOrder',
    'StartVerdict',
    'TargetCalls',
    'TargetRef',
)
