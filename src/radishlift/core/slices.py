"""Long computations that let other tasks of the event loop run."""

import asyncio
from typing import Final

# Others need several turns of the event loop, e.g. for a call and its answer.
_PAUSE_SHARE: Final = 0.1


class TimeSlices:
    """Divides a computation into slices of at most `slice_ms`.

    The computation must call `pause` often, between parts of its work that can
    stand a change of what they work on.
    """

    def __init__(self, slice_ms: int) -> None:
        self._slice_s = slice_ms / 1000
        self._ends_at_s = asyncio.get_running_loop().time() + self._slice_s

    @property
    def is_over(self) -> bool:
        """Returns whether the computation should pause."""
        return asyncio.get_running_loop().time() >= self._ends_at_s

    async def pause(self) -> None:
        """Lets other tasks run for a short time; begins another slice."""
        await asyncio.sleep(self._slice_s * _PAUSE_SHARE)
        self._ends_at_s = asyncio.get_running_loop().time() + self._slice_s


__all__ = ('TimeSlices',)
