"""Access to the single element of a collection."""

from collections.abc import Iterable
from typing import TypeVar

Element = TypeVar('Element')


def only(elements: Iterable[Element]) -> Element:
    """Returns the element; fails unless there is exactly one."""
    found = tuple(elements)
    assert len(found) == 1, found
    return found[0]
