"""Conversion between outcomes of requests and their journaled form."""

from base64 import b64decode, b64encode

from radishlift.core.errors import ErrorKind, Failure
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.idempotency import RequestAnswered


def encode_outcome(
    key: str,
    nonce: str,
    outcome: ServiceAnswer | Failure,
    max_bytes: int,
) -> RequestAnswered:
    """Returns the record of an answer or of a failed run.

    The body of an answer above `max_bytes` is left out.
    """
    if isinstance(outcome, Failure):
        return RequestAnswered(
            key,
            nonce,
            outcome.answer.http_status,
            '',
            '',
            failure_kind=outcome.kind.value,
            reason=outcome.reason[:max_bytes],
        )
    is_kept = len(outcome.body) <= max_bytes
    body = outcome.body if is_kept else b''
    return RequestAnswered(
        key,
        nonce,
        outcome.status,
        outcome.content_type,
        b64encode(body).decode(),
        is_kept=is_kept,
    )


def decode_outcome(answered: RequestAnswered) -> ServiceAnswer | Failure:
    """Returns the outcome for a repeat of the request."""
    if answered.failure_kind:
        return Failure(ErrorKind(answered.failure_kind), answered.reason)
    if not answered.is_kept:
        reason = 'the request ran; its answer was too long to keep'
        return Failure(ErrorKind.target_outcome_unknown, reason)
    return ServiceAnswer(
        answered.status,
        b64decode(answered.body_base64),
        answered.content_type,
    )


__all__ = ('encode_outcome', 'decode_outcome')
