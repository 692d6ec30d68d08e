"""Bounds how long a waiting step keeps scarce room for itself."""

from radishlift.steps.ids import StepKey
from radishlift.steps.settings import StepSettings


class ClaimTurns:
    """Turns in which steps may claim room that they wait for.

    A turn ends `max_claim_ms` after the start that was expected when it began:
    by then the belief that the step will start soon was wrong, and others may
    use the room for as long. Times are monotonic milliseconds.
    """

    def __init__(self, settings: StepSettings) -> None:
        self._max_claim_ms = settings.max_claim_ms
        self._ends_ms: dict[StepKey, int] = {}

    def may_claim(self, key: StepKey, starts_at_ms: int, now_ms: int) -> bool:
        """Returns whether a step may claim room to start at a time.

        The first call, and the first after a pause, begin its turn.
        """
        ends_ms = self._ends_ms.get(key)
        if ends_ms is None or now_ms >= ends_ms + self._max_claim_ms:
            ends_ms = max(starts_at_ms, now_ms) + self._max_claim_ms
            self._ends_ms[key] = ends_ms
        return now_ms < ends_ms

    def forget(self, key: StepKey) -> None:
        """Removes the turn of a step that waits no longer."""
        self._ends_ms.pop(key, None)


__all__ = ('ClaimTurns',)
