"""Bounds how long a waiting step keeps scarce room for itself."""

from dataclasses import dataclass

from radishlift.steps.ids import StepKey
from radishlift.steps.settings import StepSettings


@dataclass(slots=True)
class _Turn:
    """The latest turn of a step.

    It ends `grace_ms` after the earliest start that was ever expected in it.
    """

    ends_at_ms: int
    grace_ms: int


class ClaimTurns:
    """Turns in which steps may claim room that they wait for.

    A turn ends `max_claim_ms` after the step should have started, or after
    twice that time if the start is further away: the belief that the step will
    start soon was wrong, and others may use the room for `max_claim_ms`. Times
    are monotonic milliseconds.
    """

    def __init__(self, settings: StepSettings) -> None:
        self._max_claim_ms = settings.max_claim_ms
        self._turns: dict[StepKey, _Turn] = {}

    def may_claim(
        self,
        key: StepKey,
        starts_at_ms: int,
        now_ms: int,
        *,
        waits_for_ends: bool = False,
    ) -> bool:
        """Returns whether a step may claim room to start at a time.

        The first call, and the first after a pause, begin its turn. A step
        that only `waits_for_ends` of others has longer turns each time, as
        tasks that start in its pauses may run longer than a turn.
        """
        turn = self._turns.get(key)
        if turn is None or now_ms >= turn.ends_at_ms + self._max_claim_ms:
            grace_ms = self._max_claim_ms
            if turn is not None and waits_for_ends:
                grace_ms = 2 * turn.grace_ms
            turn = _Turn(now_ms + 2 * grace_ms, grace_ms)
            self._turns[key] = turn
        late_at_ms = max(starts_at_ms, now_ms) + turn.grace_ms
        turn.ends_at_ms = min(turn.ends_at_ms, late_at_ms)
        return now_ms < turn.ends_at_ms

    def forget(self, key: StepKey) -> None:
        """Removes the turn of a step that waits no longer."""
        self._turns.pop(key, None)


__all__ = ('ClaimTurns',)
