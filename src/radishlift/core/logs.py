"""Structured logs: a line of key=value pairs for each event."""

import json
import re
import sys
from collections.abc import Callable, Mapping
from enum import Enum
from typing import TYPE_CHECKING, Final

from loguru import logger

from radishlift.core.events import EVENT_LEVELS

if TYPE_CHECKING:
    from loguru import Writable

_UNQUOTED: Final = re.compile(r'[\w./:@+-]+')
_FORMAT: Final = '{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}'

EventSink = Callable[[str, str, Mapping[str, object]], None]

# Sinks receive every event, independent of the log level.
_SINKS: Final[list[EventSink]] = []


def format_field(name: str, field: object) -> str:
    """Formats a field as `name=value`.

    Values with spaces or special characters are quoted as JSON strings, so
    that external text can't start a new line or imitate another field.
    """
    if isinstance(field, Enum):
        field = field.value
    text = str(field)
    if not _UNQUOTED.fullmatch(text):
        text = json.dumps(text)
    return f'{name}={text}'


def log_event(event: str, **fields: object) -> None:
    """Logs an event with its fields, at its level in `EVENT_LEVELS`."""
    pairs = [format_field('event', event)]
    pairs.extend(format_field(name, field) for name, field in fields.items())
    level = EVENT_LEVELS[event]
    logger.opt(raw=False).log(level, '{}', ' '.join(pairs))
    for sink in _SINKS:
        sink(event, level, fields)


def add_event_sink(sink: EventSink) -> None:
    """Adds a function that receives the name, level and fields of events."""
    _SINKS.append(sink)


def remove_event_sink(sink: EventSink) -> None:
    """Removes a sink that `add_event_sink` added."""
    _SINKS.remove(sink)


def setup_logs(level: str, stream: 'Writable | None' = None) -> None:
    """Sends logs of this level and above to a stream, or standard error."""
    logger.remove()
    logger.add(
        stream or sys.stderr, format=_FORMAT, level=level, backtrace=False
    )


__all__ = (
    'EventSink',
    'add_event_sink',
    'format_field',
    'log_event',
    'remove_event_sink',
    'setup_logs',
)
