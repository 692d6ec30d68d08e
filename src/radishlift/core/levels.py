"""Format levels: which messages and records the daemons of a cell can read.

A version that adds a kind of message or record, or changes its meaning, must
raise `FORMAT_LEVEL` and register the kind with that level.
"""

from collections.abc import Iterable
from typing import Final

LOWEST_LEVEL: Final = 1
"""The level of daemons that announce no level."""

FORMAT_LEVEL: Final = 3
"""The highest level that this version reads and writes."""


def normalize_level(announced: object) -> int:
    """Returns an announced level; the lowest if it is absent or invalid."""
    if type(announced) is not int:
        return LOWEST_LEVEL
    return max(announced, LOWEST_LEVEL)


def common_level(announced: Iterable[object]) -> int:
    """Returns the highest level that all daemons support; 1 without daemons."""
    return min(map(normalize_level, announced), default=LOWEST_LEVEL)


def level_to_announce(limit: int) -> int:
    """Returns the level to announce under a limit; 0 means no limit."""
    return min(FORMAT_LEVEL, limit or FORMAT_LEVEL)


__all__ = (
    'FORMAT_LEVEL',
    'LOWEST_LEVEL',
    'common_level',
    'level_to_announce',
    'normalize_level',
)
