"""All journaled states of one partition."""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from radishlift.journal.api import JournaledState, UndoableState
from radishlift.partitions.hand_off_state import HandOffs
from radishlift.partitions.owner_history import OwnerHistory
from radishlift.partitions.rack_records import RackHoldings
from radishlift.placement.state import PartitionState
from radishlift.quotas.ledger import QuotaLedger

State = TypeVar('State')
StateFactory = Callable[[], JournaledState]


class PartitionStates:
    """The states by type; each handles its own record types.

    `factories` build the states of other modules, such as the idempotency
    keys of requests.
    """

    def __init__(self, factories: Sequence[StateFactory] = ()) -> None:
        self.placement = PartitionState()
        self.owners = OwnerHistory()
        self.hand_offs = HandOffs()
        self.quota_ledger = QuotaLedger()
        self.racks = RackHoldings()
        self.all: tuple[JournaledState, ...] = (
            self.placement,
            self.owners,
            self.hand_offs,
            self.quota_ledger,
            self.racks,
            *(factory() for factory in factories),
        )
        self._state_of: dict[type, JournaledState] = {
            record_type: state
            for state in self.all
            for record_type in state.record_types
        }

    def get(self, state_type: type[State]) -> State:
        """Returns the state of a type; `KeyError` if there is none."""
        for state in self.all:
            if isinstance(state, state_type):
                return state
        raise KeyError(state_type.__name__)

    def apply(self, change: Any) -> None:
        """Applies a record to the state that handles its type."""
        self._state_of[type(change)].apply(change)

    def undoable_state(self, change: Any) -> UndoableState | None:
        """Returns the state that can undo a record, or None."""
        state = self._state_of[type(change)]
        if isinstance(state, UndoableState):
            return state if type(change) in state.undo_types else None
        return None

    def dump(self) -> dict[str, Any]:
        """Returns all states as plain data for a snapshot."""
        return {type(state).__name__: state.dump() for state in self.all}


__all__ = ('PartitionStates', 'StateFactory')
