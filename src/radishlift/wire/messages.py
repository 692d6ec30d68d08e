"""Registry of the messages that daemons send to each other."""

from collections.abc import Callable
from typing import Any, TypeVar

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.kinds import MESSAGES, UnknownFormat
from radishlift.core.levels import LOWEST_LEVEL

Message = TypeVar('Message')


def message(
    name: str,
    level: int = LOWEST_LEVEL,
) -> Callable[[type[Message]], type[Message]]:
    """Returns a decorator that registers a dataclass as a message type.

    The message is sent only to peers whose format level is at least `level`.
    """
    return MESSAGES.register(name, level)


def encode_message(typed: object) -> tuple[str, Any]:
    """Converts a message to its name and plain fields."""
    return MESSAGES.encode(typed)


def decode_message(name: str, plain: object) -> Any:
    """Converts a name and plain fields to a message.

    Returns `UnknownFormat` for an unknown name, and a `bad_frame` failure for
    invalid fields.
    """
    typed = MESSAGES.decode(name, plain)
    if isinstance(typed, Failure) and not isinstance(typed, UnknownFormat):
        return Failure(ErrorKind.bad_frame, typed.reason)
    return typed


__all__ = ('decode_message', 'encode_message', 'message')
