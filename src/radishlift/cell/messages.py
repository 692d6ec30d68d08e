"""Messages between the daemons of a cell."""

from dataclasses import dataclass
from typing import Final

from radishlift.wire.messages import message

CELL_LEVEL: Final = 2
"""Format level that introduced messages between daemons of a cell."""

RELAY_LEVEL: Final = 3
"""Format level that introduced relayed access to the store."""


@message('advise', CELL_LEVEL)
@dataclass(frozen=True, slots=True)
class AdviseCall:
    """Requests a call of the advice service for the leader."""

    job_id: str
    occurrence: int
    step: int
    target_ids: tuple[str, ...]
    timeout_ms: int


@message('advised', CELL_LEVEL)
@dataclass(frozen=True, slots=True)
class AdviseReply:
    """Answer with tickets, as pairs of a target id and a ticket text."""

    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


@message('config_ask', CELL_LEVEL)
@dataclass(frozen=True, slots=True)
class ConfigAsk:
    """Requests the configuration if it is newer than a row version."""

    row_version: int


@message('config_told', CELL_LEVEL)
@dataclass(frozen=True, slots=True)
class ConfigTold:
    """The configuration row as JSON text; empty if it is not newer.

    `age_ms` is the time since the sender's configuration was known to be the
    newest. Without it the answer says nothing about that.
    """

    row_version: int
    text: str
    age_ms: int | None = None


@message('row_ask', RELAY_LEVEL)
@dataclass(frozen=True, slots=True)
class RowAsk:
    """Requests a row of the store."""

    table: str
    key: str


@message('row_told', RELAY_LEVEL)
@dataclass(frozen=True, slots=True)
class RowTold:
    """A row of the store as JSON text.

    An absent row has version 0 and an empty text.
    """

    version: int
    text: str


@message('row_insert', RELAY_LEVEL)
@dataclass(frozen=True, slots=True)
class RowInsert:
    """Requests the insertion of a row, as JSON text, unless it exists."""

    table: str
    key: str
    text: str


@message('row_inserted', RELAY_LEVEL)
@dataclass(frozen=True, slots=True)
class RowInserted:
    """Confirms that the row is in the store."""


__all__ = (
    'CELL_LEVEL',
    'RELAY_LEVEL',
    'AdviseCall',
    'AdviseReply',
    'ConfigAsk',
    'ConfigTold',
    'RowAsk',
    'RowInsert',
    'RowInserted',
    'RowTold',
)
