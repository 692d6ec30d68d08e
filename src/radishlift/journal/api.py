"""Interface of state that is rebuilt from the journal."""

from typing import Any, ClassVar, Protocol, runtime_checkable


class JournaledState(Protocol):
    """State that changes only by applying records.

    Live changes and replay apply the same records in the same order, so that
    a successor rebuilds the same state.
    """

    record_types: ClassVar[tuple[type, ...]]

    def apply(self, record: Any) -> None:
        """Applies one record of a type in `record_types`."""

    def dump(self) -> Any:
        """Returns the state as plain data for a snapshot.

        A state with parts that can't change any more returns a `PartedDump`;
        such parts are stored once and not with each snapshot.
        """

    def load(self, plain: Any) -> None:
        """Replaces the state by that of a snapshot."""


@runtime_checkable
class UndoableState(JournaledState, Protocol):
    """State that can take back records that no later record depends on."""

    undo_types: ClassVar[tuple[type, ...]]

    def undo(self, record: Any) -> None:
        """Changes the state as if the record had never been applied."""


__all__ = ('JournaledState', 'UndoableState')
