"""HTTP client of the commands; one request for each process run."""

import asyncio
import json
import os
from dataclasses import dataclass
from typing import Any, Final

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
)

from radishlift.cli.exit_codes import EXIT_OF_OUTCOME, ExitCode

SERVER_VARIABLE: Final = 'RADISHLIFT_SERVER'
DEFAULT_SERVER: Final = '127.0.0.1:7001'

_TIMEOUT_S: Final = 60
_FIRST_ERROR_STATUS: Final = 400


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer of a daemon: the exit code, the parsed body and its text."""

    exit_code: ExitCode
    body: Any
    text: str


def call_daemon(
    server: str | None,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Sends one request to a daemon and waits for its answer.

    `server` is `ip:port`; without one the environment variable
    RADISHLIFT_SERVER is read.
    """
    address = server or os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER)
    return asyncio.run(_call(address, method, path, body, headers))


async def _call(
    address: str,
    method: str,
    path: str,
    body: object,
    headers: dict[str, str] | None,
) -> Answer:
    url = f'http://{address}{path}'
    timeout = ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body, headers=headers) as reply,
        ):
            return _parse_answer(reply.status, await reply.text())
    except ClientConnectorError as refused:
        reason = f'{address} can not be reached: {refused}'
        return Answer(ExitCode.unreachable, None, reason)
    except (ClientError, TimeoutError) as error:
        reason = f'no whole answer from {address}: {error!r}'
        return Answer(ExitCode.outcome_unknown, None, reason)


def _parse_answer(status: int, text: str) -> Answer:
    try:
        body = json.loads(text)
    except ValueError:
        body = None
    if status < _FIRST_ERROR_STATUS:
        return Answer(ExitCode.done, body, text)
    outcome = body.get('outcome') if isinstance(body, dict) else None
    code = EXIT_OF_OUTCOME.get(str(outcome), ExitCode.outcome_unknown)
    return Answer(code, body, text)


__all__ = ('Answer', 'call_daemon')
