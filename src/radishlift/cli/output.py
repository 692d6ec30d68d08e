"""Common base of the commands: options and printing of answers."""

import json
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from radishlift.cli.client import Answer, call_daemon
from radishlift.cli.exit_codes import ExitCode

COMMON_OPTIONS = [
    option('server', None, 'Daemon address as ip:port.', flag=False),
    option('json', None, 'Print the answer as JSON.'),
]


class DaemonCommand(Command):
    """A command that sends one request to a daemon and prints its answer."""

    options: ClassVar[list[Option]] = COMMON_OPTIONS

    def request(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends the request to the daemon of the option `--server`."""
        server = self.option('server')
        return call_daemon(server, method, path, body, headers)

    def finish(self, answer: Answer) -> int:
        """Prints an answer and returns the exit code."""
        if self.option('json'):
            self.line(answer.text)
        elif answer.exit_code is ExitCode.done:
            for line in self.describe(answer.body):
                self.line(line)
        else:
            self.line_error(f'<error>{self.describe_error(answer)}</error>')
        return int(answer.exit_code)

    def describe(self, body: Any) -> list[str]:
        """Formats the body of a good answer for a person."""
        if isinstance(body, dict):
            return [f'{key}: {_plain(value)}' for key, value in body.items()]
        return [_plain(body)]

    def describe_error(self, answer: Answer) -> str:
        """Formats an error: kind, outcome and reason."""
        body = answer.body
        if not isinstance(body, dict):
            return answer.text
        outcome = str(body.get('outcome', 'unknown')).replace('_', ' ')
        return f'{body.get("error")} ({outcome}): {body.get("reason")}'


def _plain(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)


__all__ = ('COMMON_OPTIONS', 'DaemonCommand')
