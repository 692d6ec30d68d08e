"""Messages between the daemons of a cell."""

from dataclasses import dataclass
from typing import Final

from radishlift.wire.messages import message

CELL_LEVEL: Final = 2
"""Format level of the first messages of a cell."""

RELAY_LEVEL: Final = 3
"""Format level from which daemons reach the store for each other."""


@message('advise', CELL_LEVEL)
@dataclass(frozen=True, slots=True)
class AdviseCall:
    """Asks a daemon to call the advice service for the leader."""

    job_id: str
    occurrence: int
    step: int
    target_ids: tuple[str, ...]
    timeout_ms: int


@message('advised', CELL_LEVEL)
@dataclass(frozen=True, slots=True)
class AdviseReply:
    """Tickets: pairs of a target's id and a text."""

    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


@message('config_ask', CELL_LEVEL)
@dataclass(frozen=True, slots=True)
class ConfigAsk:
    """Asks a daemon for the configuration if it is newer than a row."""

    row_version: int


@message('config_told', CELL_LEVEL)
@dataclass(frozen=True, slots=True)
class ConfigTold:
    """The row of the configuration as JSON; empty if it is not newer."""

    row_version: int
    text: str


@message('row_ask', RELAY_LEVEL)
@dataclass(frozen=True, slots=True)
class RowAsk:
    """Asks a daemon to read a row of the store."""

    table: str
    key: str


@message('row_told', RELAY_LEVEL)
@dataclass(frozen=True, slots=True)
class RowTold:
    """A row of the store as JSON; an absent one has version 0 and no text."""

    version: int
    text: str


@message('row_insert', RELAY_LEVEL)
@dataclass(frozen=True, slots=True)
class RowInsert:
    """Asks a daemon to insert a row, given as JSON, unless it is there."""

    table: str
    key: str
    text: str


@message('row_inserted', RELAY_LEVEL)
@dataclass(frozen=True, slots=True)
class RowInserted:
    """The row is in the store."""


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
