"""Registries of message and record types by name."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, is_dataclass
from types import MappingProxyType
from typing import Any, Final, TypeVar

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.levels import LOWEST_LEVEL

Typed = TypeVar('Typed')


@dataclass(frozen=True, slots=True)
class UnknownFormat(Failure):
    """The data has a format that only a newer version can read."""


class UnknownFormatError(ValueError):
    """A state dump has the format of a newer version; raised only by `load`."""


@dataclass(frozen=True, slots=True)
class Kind:
    """A registered dataclass and the lowest cell level that allows its use."""

    name: str
    python_type: type
    level: int


class KindRegistry:
    """Encodes and decodes registered dataclasses."""

    def __init__(self, title: str) -> None:
        self._title = title
        self._by_name: dict[str, Kind] = {}
        self._by_type: dict[type, Kind] = {}

    @property
    def kinds(self) -> Mapping[str, Kind]:
        """Returns the registered kinds by name."""
        return MappingProxyType(self._by_name)

    def register(
        self,
        name: str,
        level: int,
    ) -> Callable[[type[Typed]], type[Typed]]:
        """Returns a decorator that registers a dataclass."""

        def decorate(typed: type[Typed]) -> type[Typed]:
            if not is_dataclass(typed) or name in self._by_name:
                raise ValueError(f'{self._title} {name} is not a new dataclass')
            kind = Kind(name, typed, level)
            self._by_name[name] = kind
            self._by_type[typed] = kind
            return typed

        return decorate

    def level_of(self, typed: type) -> int:
        """Returns the level of a type; the lowest level if unregistered."""
        kind = self._by_type.get(typed)
        return LOWEST_LEVEL if kind is None else kind.level

    def encode(self, typed: object) -> tuple[str, Any]:
        """Converts a registered dataclass to its kind name and plain fields."""
        return self._by_type[type(typed)].name, dump_plain(typed)

    def decode(self, name: str, plain: object) -> Any:
        """Converts a kind name and plain fields to the registered dataclass.

        Returns `UnknownFormat` for an unknown name, and an `invalid_input`
        failure for invalid fields.
        """
        kind = self._by_name.get(name)
        if kind is None:
            reason = f'unknown {self._title} {name!r:.60}'
            return UnknownFormat(ErrorKind.internal, reason)
        return read_plain(plain, kind.python_type)


MESSAGES: Final = KindRegistry('message')
RECORDS: Final = KindRegistry('record')


def required_level(typed: type) -> int:
    """Returns the cell level that a message or record type needs."""
    return max(MESSAGES.level_of(typed), RECORDS.level_of(typed))


__all__ = (
    'MESSAGES',
    'RECORDS',
    'Kind',
    'KindRegistry',
    'UnknownFormat',
    'UnknownFormatError',
    'required_level',
)
