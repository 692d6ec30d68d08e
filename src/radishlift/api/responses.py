"""Conversion of results and failures to HTTP responses."""

from typing import Final

from aiohttp import web

from radishlift.core.codec import dump_plain
from radishlift.core.errors import Failure

_MS_PER_S: Final = 1000


def json_response(result: object, status: int = 200) -> web.Response:
    """Returns a typed result as a JSON response."""
    return web.json_response(dump_plain(result), status=status)


def failure_response(failure: Failure) -> web.Response:
    """Returns the response for a failure, with the status of its error kind.

    The body is `{"error", "outcome", "reason", "retry_after_ms"}`.
    """
    answer = failure.answer
    headers = {}
    if answer.retry_after_ms is not None:
        retry_after_s = -(-answer.retry_after_ms // _MS_PER_S)
        headers['Retry-After'] = str(retry_after_s)
    return web.json_response(
        {
            'error': failure.kind.value,
            'outcome': answer.outcome.value,
            'reason': failure.reason,
            'retry_after_ms': answer.retry_after_ms,
        },
        status=answer.http_status,
        headers=headers,
    )


def result_response(result: object, status: int = 200) -> web.Response:
    """Returns the response for a result or a failure."""
    if isinstance(result, Failure):
        return failure_response(result)
    return json_response(result, status)


__all__ = ('failure_response', 'json_response', 'result_response')
