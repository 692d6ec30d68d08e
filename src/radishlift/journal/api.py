"""Interface of state that is rebuilt from the journal."""

from typing import Any, ClassVar, Protocol, runtime_checkable


class JournaledState(Protocol):
    """State that changes only by applying records.

    Live changes and replay apply the same records in the same order, so
    the next owner rebuilds the same state.
    """

    record_types: ClassVar[tuple[type, ...]]

    def apply(self, record: Any) -> None:
        """Applies one record of a type in `record_types`."""

    def dump(self) -> Any:
        """Returns the state as plain data for a snapshot.

        A state with immutable parts returns a `DumpWithParts`; such parts are
        stored once instead of with each snapshot.
        """

    def load(self, plain: Any) -> None:
        """Replaces the state with the dumped state of a snapshot."""


@runtime_checkable
class UndoableState(JournaledState, Protocol):
    """State that can roll back records that no later record depends on."""

    undo_types: ClassVar[tuple[type, ...]]

    def undo(self, record: Any) -> None:
        """Reverts the effect of a record on the state."""


__all__ = ('JournaledState', 'UndoableState')
