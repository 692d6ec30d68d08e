"""Claims of suspects on targets on which they can't start yet."""

from radishlift.steps.claim_turns import ClaimTurns
from radishlift.steps.ids import StepKey
from radishlift.steps.runs import StepRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import Target
from radishlift.steps.ticks import Tick
from radishlift.steps.trials import Trials


class TrialClaims:
    """Lets steps claim what other trials need if they probably start soon.

    Steps may do so for `max_claim_ms` at a time.
    """

    def __init__(self, trials: Trials, settings: StepSettings) -> None:
        self._trials = trials
        self._turns = ClaimTurns(settings)
        self._max_claim_ms = settings.max_claim_ms

    def reserve(
        self,
        tick: Tick,
        step: StepRun,
        targets: list[Target],
        starts_at_ms: int,
    ) -> None:
        """Reserves targets for a step that will probably start at a time."""
        if self.may_claim(tick, step, starts_at_ms):
            self._trials.reserve(targets)

    def may_claim(self, tick: Tick, step: StepRun, starts_at_ms: int) -> bool:
        """Returns whether others may wait for a step to start at a time."""
        is_soon = starts_at_ms <= tick.now_ms + self._max_claim_ms
        return is_soon and self._turns.may_claim(
            step.key, starts_at_ms, tick.now_ms
        )

    def forget(self, key: StepKey) -> None:
        """Forgets the claims of a step that waits no longer."""
        self._turns.forget(key)


__all__ = ('TrialClaims',)
