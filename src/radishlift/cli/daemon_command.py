"""Base class of commands that send HTTP requests to a daemon."""

import asyncio
import json
import os
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Any, ClassVar, Final, TypeVar

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
)
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from radishlift.config.bodies import HttpAnswer
from radishlift.core.codec import read_plain
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.settings.sections import SettingsError

SERVER_VARIABLE: Final = 'RADISHLIFT_SERVER'

_DEFAULT_TIMEOUT_MS: Final = '10000'
_FIRST_ERROR_STATUS: Final = 400

Body = TypeVar('Body')


@unique
class ExitCode(IntEnum):
    """Exit status of commands."""

    ok = 0
    refused = 1
    usage = 2
    conflict = 3
    outcome_unknown = 4
    unavailable = 5


@dataclass(frozen=True, slots=True)
class UsageFailure(Failure):
    """The command line is invalid; no request was sent."""


class DaemonCommand(Command):
    """A command that sends requests to one daemon.

    The daemon's address `ip:port` is `--server`, else the environment
    variable RADISHLIFT_SERVER.
    """

    arguments: ClassVar[list[Argument]] = []
    own_options: ClassVar[list[Option]] = []

    def __init_subclass__(cls, **keywords: Any) -> None:
        """Adds the common options to those of the command."""
        super().__init_subclass__(**keywords)
        cls.options = [
            option(
                'server',
                description=f'Address ip:port, or ${SERVER_VARIABLE}',
                flag=False,
            ),
            option('json', description='Print JSON'),
            option(
                'timeout-ms',
                description='Time to wait for the answer',
                flag=False,
                default=_DEFAULT_TIMEOUT_MS,
            ),
            *cls.own_options,
        ]

    @property
    def is_json(self) -> bool:
        """Returns whether to print JSON."""
        return bool(self.option('json'))

    def request(
        self, method: str, path: str, **options: Any
    ) -> HttpAnswer | Failure:
        """Sends a request and returns its JSON response."""
        server = self.option('server') or os.environ.get(SERVER_VARIABLE, '')
        if not server:
            reason = f'give --server or set {SERVER_VARIABLE}'
            return UsageFailure(ErrorKind.invalid_input, reason)
        timeout_ms = parse_number(self.option('timeout-ms'))
        if timeout_ms is None:
            reason = '--timeout-ms must be a whole number'
            return UsageFailure(ErrorKind.invalid_input, reason)
        url = f'http://{server}{path}'
        return asyncio.run(_request(method, url, timeout_ms, options))

    def fetch(
        self,
        path: str,
        body_type: type[Body],
        **options: Any,
    ) -> Body | Failure:
        """Fetches a JSON body; an error response becomes a failure."""
        answer = self.request('GET', path, **options)
        if isinstance(answer, Failure):
            return answer
        if answer.status >= _FIRST_ERROR_STATUS:
            return parse_failure(answer)
        return read_plain(answer.body, body_type)

    def print_text(self, text: str) -> None:
        """Prints text unchanged, without styles."""
        self.io.write(text, type=Type.RAW)

    def print_json(self, body: Any) -> None:
        """Prints a body as JSON."""
        self.print_text(f'{json.dumps(body, indent=2, sort_keys=True)}\n')

    def print_error(self, text: str) -> None:
        """Prints a line to standard error, without styles."""
        self.io.write_error_line(text, type=Type.RAW)

    def print_errors(self, errors: Iterable[SettingsError]) -> None:
        """Prints errors of a document, one a line."""
        for error in errors:
            self.print_error(str(error))

    def report_failure(self, failure: Failure) -> ExitCode:
        """Prints a failure to standard error and returns its exit code."""
        if isinstance(failure, UsageFailure):
            self.print_error(f'{failure.reason}\n{self._usage()}')
            return ExitCode.usage
        outcome = failure.answer.outcome
        words = outcome.value.replace('_', ' ')
        reason = f'{failure.kind.value} ({words}): {failure.reason}'
        self.print_error(reason)
        if outcome is Outcome.unknown:
            return ExitCode.outcome_unknown
        if failure.kind is ErrorKind.conflict:
            return ExitCode.conflict
        if failure.kind is ErrorKind.peer_unavailable:
            return ExitCode.unavailable
        return ExitCode.refused

    def _usage(self) -> str:
        words = [f'<{given.name}>' for given in self.arguments]
        line = ' '.join(('radishctl', str(self.name), *words))
        return f'usage: {line} --server IP:PORT [options]; see --help'


def parse_number(text: str | None) -> int | None:
    """Parses a non-negative whole number; None for any other text."""
    if text is None or not text.isascii() or not text.isdecimal():
        return None
    return int(text)


def parse_failure(answer: HttpAnswer) -> Failure:
    """Converts an error response to a failure."""
    body = answer.body if isinstance(answer.body, dict) else {}
    try:
        kind = ErrorKind(body.get('error'))
    except ValueError:
        reason = (
            f'the daemon answered status {answer.status} without a known error'
        )
        return Failure(ErrorKind.internal, reason)
    return Failure(kind, str(body.get('reason', '')))


async def _request(
    method: str,
    url: str,
    timeout_ms: int,
    options: dict[str, Any],
) -> HttpAnswer | Failure:
    timeout = ClientTimeout(total=timeout_ms / 1000)
    try:
        async with (
            ClientSession(timeout=timeout) as session,
            session.request(method, url, **options) as response,
        ):
            return HttpAnswer(response.status, await response.json())
    except ClientConnectorError as error:
        return Failure(ErrorKind.peer_unavailable, str(error))
    except (ClientError, TimeoutError, ValueError) as error:
        # A read changes nothing, so its outcome is never unknown.
        if method == 'GET':
            return Failure(ErrorKind.peer_unavailable, repr(error))
        return Failure(ErrorKind.peer_outcome_unknown, repr(error))


__all__ = (
    'SERVER_VARIABLE',
    'DaemonCommand',
    'ExitCode',
    'parse_failure',
    'parse_number',
)
