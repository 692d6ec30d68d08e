"""Fencing tokens of a leader's calls to its targets."""

from collections.abc import Callable
from typing import Final

from radishlift.cell.ports import StartVerdict
from radishlift.core.logs import log_event
from radishlift.steps.ids import FencingToken, TargetIncarnation

# JSON numbers are exact up to 2**53, which leaves 2**33 terms.
TOKENS_PER_TERM: Final = 1 << 20


def last_token(epoch: FencingToken) -> FencingToken:
    """Returns the highest token of the term that begins with an epoch."""
    return FencingToken(epoch + TOKENS_PER_TERM - 1)


class TargetFence:
    """Fencing token of the calls to one target.

    A call without an answer may still take effect, at any later time and also
    in a later process of the target, which has the same id. A target ignores
    calls with a lower token than it has seen: once it has answered a call with
    a raised token, no earlier call takes effect in that process.

    `on_exhausted` is called when the term has no higher token left.
    """

    def __init__(
        self, epoch: FencingToken, on_exhausted: Callable[[], None]
    ) -> None:
        self._last = last_token(epoch)
        self._on_exhausted = on_exhausted
        self.token = epoch
        # The latest process that was fenced, and the first token it gets.
        self._fenced: tuple[TargetIncarnation, FencingToken] | None = None

    def raise_token(self) -> None:
        """Lets all later calls have a higher token than earlier ones."""
        if self.token < self._last:
            self.token = FencingToken(self.token + 1)
            return
        log_event('fencing_tokens_exhausted', token=self.token)
        self._on_exhausted()

    def raise_for(self, incarnation: TargetIncarnation) -> None:
        """Lets the next calls fence a new process against earlier calls."""
        self.raise_token()
        self._fenced = incarnation, self.token

    def is_fenced(
        self, incarnation: TargetIncarnation, token: FencingToken
    ) -> bool:
        """Returns whether a process that answered a call has been fenced."""
        if self._fenced is None:
            return False
        fenced_incarnation, first_token = self._fenced
        return incarnation == fenced_incarnation and token >= first_token

    def has_overtaken(self, answer: object, token: FencingToken) -> bool:
        """Returns whether a later call of this leader has fenced a call."""
        return answer is StartVerdict.fenced and token < self.token


__all__ = ('TOKENS_PER_TERM', 'TargetFence', 'last_token')
