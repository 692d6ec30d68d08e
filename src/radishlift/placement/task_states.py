"""Allowed transitions of a task's state, derived from a state machine.

A `transitions` model for each task would cost 3 KB and 44 us, so the machine
is built once, only to derive a table of allowed transitions.
"""

from typing import Final

from transitions import Machine

from radishlift.placement.jobs import TaskState

_LIVE: Final = ('placed', 'running', 'stopping')
_TRANSITIONS: Final = (
    {'trigger': 'place', 'source': 'queued', 'dest': 'placed'},
    {'trigger': 'run', 'source': 'placed', 'dest': 'running'},
    {'trigger': 'stop', 'source': ['placed', 'running'], 'dest': 'stopping'},
    {'trigger': 'requeue', 'source': list(_LIVE), 'dest': 'queued'},
    {'trigger': 'finish', 'source': list(_LIVE), 'dest': 'finished'},
    {'trigger': 'fail', 'source': list(_LIVE), 'dest': 'failed'},
    {'trigger': 'cancel', 'source': ['queued', *_LIVE], 'dest': 'cancelled'},
)


def _derive_transitions() -> frozenset[tuple[TaskState, TaskState]]:
    machine = Machine(
        model=None,
        states=[state.value for state in TaskState],
        transitions=list(_TRANSITIONS),
        initial='queued',
        auto_transitions=False,
    )
    pairs: set[tuple[str, str | None]] = set()
    for event in machine.events.values():
        for moves in event.transitions.values():
            pairs.update((move.source, move.dest) for move in moves)
    return frozenset(
        (TaskState(source), TaskState(target)) for source, target in pairs
    )


ALLOWED_TRANSITIONS: Final = _derive_transitions()

LIVE_STATES: Final = frozenset(TaskState(name) for name in _LIVE)
"""States in which an attempt has capacity of a worker allocated."""

ENDED_STATES: Final = frozenset(
    (TaskState.finished, TaskState.failed, TaskState.cancelled)
)


def is_transition_allowed(source: TaskState, target: TaskState) -> bool:
    """Returns whether a task may change from one state to another."""
    return (source, target) in ALLOWED_TRANSITIONS


__all__ = (
    'ALLOWED_TRANSITIONS',
    'ENDED_STATES',
    'LIVE_STATES',
    'is_transition_allowed',
)
