"""All error kinds, and how callers are answered for each kind."""

from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType
from typing import Final


@unique
class Outcome(Enum):
    """Whether the work that an error refers to ran, as far as is known."""

    not_run = 'not_run'
    unknown = 'unknown'
    ran = 'ran'


@unique
class ErrorKind(Enum):
    """All kinds of errors; modules define no kinds of their own."""

    # Errors in the request of the caller.
    invalid_input = 'invalid_input'
    not_found = 'not_found'
    conflict = 'conflict'
    too_large = 'too_large'
    unauthorized = 'unauthorized'
    unauthenticated = 'unauthenticated'
    quota_exceeded = 'quota_exceeded'
    never_fits = 'never_fits'
    # Refusals: the work was certainly not dispatched.
    overloaded = 'overloaded'
    draining = 'draining'
    deadline_passed = 'deadline_passed'
    no_configuration = 'no_configuration'
    configuration_outdated = 'configuration_outdated'
    no_target = 'no_target'
    no_owner = 'no_owner'
    not_owner = 'not_owner'
    store_unavailable = 'store_unavailable'
    peer_unavailable = 'peer_unavailable'
    cancelled = 'cancelled'
    # The work may have run.
    store_outcome_unknown = 'store_outcome_unknown'
    peer_outcome_unknown = 'peer_outcome_unknown'
    target_outcome_unknown = 'target_outcome_unknown'
    # Other errors; `ERROR_ANSWERS` has whether the work ran.
    target_failed = 'target_failed'
    worker_refused = 'worker_refused'
    bad_frame = 'bad_frame'
    internal = 'internal'


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """Answer to a caller: HTTP status, outcome and time until a retry."""

    http_status: int
    outcome: Outcome
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Failure:
    """An error that a function returns in place of its result.

    Functions return `Result | Failure`; a failure is never raised between
    modules.
    """

    kind: ErrorKind
    reason: str

    @property
    def answer(self) -> ErrorAnswer:
        """Returns the answer to a caller for this kind of failure."""
        return ERROR_ANSWERS[self.kind]

    @property
    def is_not_run(self) -> bool:
        """Returns whether the failed work certainly had no effect."""
        return self.answer.outcome is Outcome.not_run


class TimedOut(Failure):
    """A failure of a call that got no answer in time.

    The connection did not end, so that the peer may not have read the call.
    """

    __slots__ = ()


ERROR_ANSWERS: Final = MappingProxyType(
    {
        ErrorKind.invalid_input: ErrorAnswer(400, Outcome.not_run),
        ErrorKind.not_found: ErrorAnswer(404, Outcome.not_run),
        ErrorKind.conflict: ErrorAnswer(409, Outcome.not_run),
        ErrorKind.too_large: ErrorAnswer(413, Outcome.not_run),
        ErrorKind.unauthorized: ErrorAnswer(403, Outcome.not_run),
        ErrorKind.unauthenticated: ErrorAnswer(401, Outcome.not_run),
        ErrorKind.quota_exceeded: ErrorAnswer(429, Outcome.not_run, 1000),
        ErrorKind.never_fits: ErrorAnswer(422, Outcome.not_run),
        ErrorKind.overloaded: ErrorAnswer(503, Outcome.not_run, 250),
        ErrorKind.draining: ErrorAnswer(503, Outcome.not_run, 0),
        ErrorKind.deadline_passed: ErrorAnswer(504, Outcome.not_run),
        ErrorKind.no_configuration: ErrorAnswer(503, Outcome.not_run, 1000),
        ErrorKind.configuration_outdated: ErrorAnswer(
            503, Outcome.not_run, 1000
        ),
        ErrorKind.no_target: ErrorAnswer(503, Outcome.not_run, 1000),
        ErrorKind.no_owner: ErrorAnswer(503, Outcome.not_run, 500),
        ErrorKind.not_owner: ErrorAnswer(503, Outcome.not_run, 100),
        ErrorKind.store_unavailable: ErrorAnswer(503, Outcome.not_run, 1000),
        ErrorKind.peer_unavailable: ErrorAnswer(503, Outcome.not_run, 250),
        ErrorKind.cancelled: ErrorAnswer(409, Outcome.not_run),
        ErrorKind.store_outcome_unknown: ErrorAnswer(504, Outcome.unknown),
        ErrorKind.peer_outcome_unknown: ErrorAnswer(504, Outcome.unknown),
        ErrorKind.target_outcome_unknown: ErrorAnswer(504, Outcome.unknown),
        ErrorKind.target_failed: ErrorAnswer(502, Outcome.ran),
        ErrorKind.worker_refused: ErrorAnswer(502, Outcome.not_run),
        ErrorKind.bad_frame: ErrorAnswer(502, Outcome.unknown),
        ErrorKind.internal: ErrorAnswer(500, Outcome.unknown),
    }
)

__all__ = ('ERROR_ANSWERS', 'ErrorAnswer', 'ErrorKind', 'Failure', 'Outcome')
