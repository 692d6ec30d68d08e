"""Registry of message types of the streams between daemons."""

from collections.abc import Callable
from dataclasses import is_dataclass
from typing import Any, Final, TypeVar

from radishlift.core.codec import dump_plain, parse_plain
from radishlift.core.errors import ErrorKind, Failure

Message = TypeVar('Message')

_TYPES: Final[dict[str, type]] = {}
_NAMES: Final[dict[type, str]] = {}


def message(name: str) -> Callable[[type[Message]], type[Message]]:
    """Returns a decorator that registers a dataclass as a message type."""

    def decorate(message_type: type[Message]) -> type[Message]:
        if not is_dataclass(message_type) or name in _TYPES:
            raise ValueError(f'message {name} is not a new dataclass')
        _TYPES[name] = message_type
        _NAMES[message_type] = name
        return message_type

    return decorate


def encode_message(typed: object) -> tuple[str, Any]:
    """Converts a message to its name and plain fields."""
    return _NAMES[type(typed)], dump_plain(typed)


def decode_message(name: object, plain: object) -> Any:
    """Converts a name and plain fields to a message.

    Returns a `bad_frame` failure for an unknown name or wrong fields.
    """
    message_type = _TYPES.get(name) if isinstance(name, str) else None
    if message_type is None:
        return Failure(ErrorKind.bad_frame, f'unknown message {name!r:.60}')
    typed = parse_plain(plain, message_type)
    if isinstance(typed, Failure):
        return Failure(ErrorKind.bad_frame, typed.reason)
    return typed


__all__ = ('decode_message', 'encode_message', 'message')
