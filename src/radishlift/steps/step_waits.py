"""Since when steps wait for targets."""

from collections.abc import Iterable

from radishlift.steps.ids import StepKey
from radishlift.steps.runs import JobRun, StepRun


class StepWaits:
    """Since when each waiting step has been due and lacked a target.

    The time begins anew when all tasks of a step have started, so that it tells
    a step that does not start from one whose tasks are lost again and again.
    Times are Unix milliseconds.
    """

    def __init__(self) -> None:
        self._since_ms: dict[StepKey, int] = {}

    def observe(
        self, due: Iterable[tuple[JobRun, StepRun]], wall_ms: int
    ) -> None:
        """Records which steps wait now."""
        for _, step in due:
            self._since_ms.setdefault(step.key, wall_ms)

    def waited_ms(self, key: StepKey, wall_ms: int) -> int:
        """Returns for how long a step has waited; 0 if it does not."""
        return wall_ms - self._since_ms.get(key, wall_ms)

    def forget(self, key: StepKey) -> None:
        """Records that a step waits no longer."""
        self._since_ms.pop(key, None)


__all__ = ('StepWaits',)
