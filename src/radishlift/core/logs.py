"""Structured logs: one line of key=value pairs for each event."""

import json
import re
import sys
from enum import Enum
from typing import Final

from loguru import logger

from radishlift.core.events import EVENT_LEVELS

_PLAIN: Final = re.compile(r'[\w./:@+-]+')
_FORMAT: Final = '{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}'


def format_field(name: str, field: object) -> str:
    """Formats one pair; quotes text that is not a plain word.

    Quoting is JSON's, so that text from outside can't start a new line or
    look like another field.
    """
    if isinstance(field, Enum):
        field = field.value
    text = str(field)
    if not _PLAIN.fullmatch(text):
        text = json.dumps(text)
    return f'{name}={text}'


def log_event(event: str, **fields: object) -> None:
    """Logs one event with its fields, at the level of `EVENT_LEVELS`."""
    pairs = [format_field('event', event)]
    pairs.extend(format_field(name, field) for name, field in fields.items())
    level = EVENT_LEVELS[event]
    logger.opt(raw=False).log(level, '{}', ' '.join(pairs))


def setup_logs(level: str) -> None:
    """Sends logs of this level and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, format=_FORMAT, level=level, backtrace=False)


__all__ = ('format_field', 'log_event', 'setup_logs')
