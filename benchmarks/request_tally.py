"""Counts of the outcomes of the requests of a load."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from radishlift.core.errors import Failure
from radishlift.requests.api import ServiceAnswer, ServiceRequest


@dataclass(slots=True)
class Tally:
    """Counts of the requests of a load.

    `ended` counts by error kind or "answered", `outcomes` counts failures by
    outcome. `not_run_keys` are the keys whose requests were refused as "not
    run". `answers` are the answer bodies of keyed requests by key.
    """

    offered: int = 0
    ended: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)
    by_class: dict[str, list[float]] = field(default_factory=dict)
    not_run_keys: list[str] = field(default_factory=list)
    answers: dict[str, bytes] = field(default_factory=dict)

    def add(
        self,
        request: ServiceRequest,
        answer: ServiceAnswer | Failure,
        elapsed_ms: float,
    ) -> None:
        """Counts a request that has ended."""
        key = request.idempotency_key
        if isinstance(answer, Failure):
            self.ended[answer.kind.value] += 1
            outcome = answer.answer.outcome.value
            self.outcomes[outcome] += 1
            if key and outcome == 'not_run':
                self.not_run_keys.append(key)
            return
        self.ended['answered'] += 1
        self.latencies.append(elapsed_ms)
        self.by_class.setdefault(request.request_class, []).append(elapsed_ms)
        if key:
            self.answers[key] = answer.body

    def to_plain(self) -> dict[str, Any]:
        """Returns the counts as plain data for the reply of a node."""
        return {
            'offered': self.offered,
            'ended': self.ended,
            'outcomes': self.outcomes,
            'latencies': self.latencies,
            'by_class': self.by_class,
            'not_run_keys': self.not_run_keys,
            'answered_keys': list(self.answers),
        }


__all__ = ('Tally',)
