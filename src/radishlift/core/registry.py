"""Registries whose entries are added by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Entry = TypeVar('Entry')


class Registry(Generic[Entry]):
    """Maps names to entries; a name can be registered only once."""

    def __init__(self, purpose: str) -> None:
        self._purpose = purpose
        self._entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Returns a decorator that registers an entry under a name."""

        def decorate(entry: Entry) -> Entry:
            if name in self._entries:
                raise ValueError(f'{self._purpose} {name} is registered twice')
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> Entry | None:
        """Returns an entry, or None for an unknown name."""
        return self._entries.get(name)

    def names(self) -> tuple[str, ...]:
        """Returns the names in the order of registration."""
        return tuple(self._entries)

    def __iter__(self) -> Iterator[tuple[str, Entry]]:
        return iter(self._entries.items())


__all__ = ('Registry',)
