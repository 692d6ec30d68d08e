"""Settings of the decisions on jobs of steps."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StepSettings:
    """Limits and weights of queueing and placing.

    - `min_ticket_ms`: validity that a ticket must have left when its start
      is decided; a commit and a start take up to 50 ms.
    - `max_asked_count`: targets named in one call of the advice service; its
      interface allows 100.
    - `reserved_share`: share of the targets that may be kept free for gangs
      that wait; the rest serves other work meanwhile.
    - `distrust_after_count`, `distrust_ms`: failures in a row after which a
      target gets no new tasks, and for how long.
    - `max_placed_count`: starts decided in one tick, so that a tick stays
      short.
    - `advice_retry_ms`: pause before a failed question is asked again.
    - `long_question_ms`, `long_question_share`: questions that take longer
      are put to at most this share of the hosts, so that the others answer
      urgent steps, whose objective leaves 250 ms.
    """

    min_ticket_ms: int = 150
    max_asked_count: int = 100
    reserved_share: float = 0.35
    distrust_after_count: int = 3
    distrust_ms: int = 3000
    max_placed_count: int = 200
    advice_retry_ms: int = 200
    long_question_ms: int = 250
    long_question_share: float = 0.5


__all__ = ('StepSettings',)
