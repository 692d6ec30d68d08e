"""Messages between the daemons of a cell."""

from dataclasses import dataclass

from radishlift.wire.messages import message


@message('advise')
@dataclass(frozen=True, slots=True)
class AdviseCall:
    """Asks a daemon to call the advice service for the leader."""

    job_id: str
    occurrence: int
    step: int
    target_ids: tuple[str, ...]
    timeout_ms: int


@message('advised')
@dataclass(frozen=True, slots=True)
class AdviseReply:
    """Tickets: pairs of a target's id and a text."""

    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


@message('config_ask')
@dataclass(frozen=True, slots=True)
class ConfigAsk:
    """Asks a daemon for the configuration if it is newer than a row."""

    row_version: int


@message('config_told')
@dataclass(frozen=True, slots=True)
class ConfigTold:
    """The row of the configuration as JSON; empty if it is not newer."""

    row_version: int
    text: str


__all__ = ('AdviseCall', 'AdviseReply', 'ConfigAsk', 'ConfigTold')
