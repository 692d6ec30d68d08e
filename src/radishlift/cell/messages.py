"""Messages between the daemons of a cell."""

from dataclasses import dataclass
from typing import Final

from radishlift.wire.messages import message

CELL_LEVEL: Final = 2
"""Format level from which daemons know these messages."""


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


__all__ = ('CELL_LEVEL', 'AdviseCall', 'AdviseReply', 'ConfigAsk', 'ConfigTold')
