"""The commands `radishctl config`."""

import getpass
import os
from typing import ClassVar, Final

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from radishlift.cli.config_text import (
    describe_accepted,
    describe_conflict,
    describe_status,
    format_time,
    parse_base_version,
    read_file,
)
from radishlift.cli.daemon_command import (
    DaemonCommand,
    ExitCode,
    parse_failure,
    parse_number,
)
from radishlift.config.bodies import (
    CHANGE_TOKEN_HEADER,
    AcceptedBody,
    ChangeBody,
    DocumentBody,
    HistoryBody,
    RefusedBody,
)
from radishlift.config.parsing import parse_document
from radishlift.config.progress import ConfigStatus
from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion

CONFIG_PATH: Final = '/v1/config'
TOKEN_VARIABLE: Final = 'RADISHLIFT_CHANGE_TOKEN'


class ConfigShowCommand(DaemonCommand):
    """Prints the document in force, or an earlier version."""

    name = 'config show'
    description = 'Prints the document, ready to be edited and applied'
    own_options: ClassVar[list[Option]] = [
        option('at', description='Print this version', flag=False),
    ]

    def handle(self) -> int:
        """Runs the command."""
        version = self.option('at')
        query = {'version': version} if version else {}
        body = self.fetch(CONFIG_PATH, DocumentBody, params=query)
        if isinstance(body, Failure):
            return self.report_failure(body)
        if self.is_json:
            self.print_json(dump_plain(body))
        else:
            self.print_text(f'# version {body.version}\n\n{body.text}')
        return ExitCode.ok


class ConfigCheckCommand(DaemonCommand):
    """Checks a file without a daemon."""

    name = 'config check'
    description = 'Checks a document and prints every error'
    arguments: ClassVar[list[Argument]] = [
        argument('file', description='The INI document'),
    ]

    def handle(self) -> int:
        """Runs the command."""
        text = read_file(self.argument('file'))
        if isinstance(text, Failure):
            self.report_failure(text)
            return ExitCode.usage
        document = parse_document(text, ConfigVersion(0))
        errors = document if isinstance(document, tuple) else ()
        if self.is_json:
            self.print_json({'errors': dump_plain(errors)})
        else:
            self.print_errors(errors)
        return ExitCode.refused if errors else ExitCode.ok


class _ChangeCommand(DaemonCommand):
    """Base class of commands that change the document."""

    change_options: ClassVar[list[Option]] = [
        option('base', description='The version it is made on', flag=False),
        option('who', description='Your name', flag=False),
        option('why', description='The reason', flag=False),
    ]

    def send_change(self, change: ChangeBody) -> ExitCode:
        """Sends a change and prints its result."""
        token = os.environ.get(TOKEN_VARIABLE, '')
        answer = self.request(
            'PUT',
            CONFIG_PATH,
            json=dump_plain(change),
            headers={CHANGE_TOKEN_HEADER: token},
        )
        if isinstance(answer, Failure):
            return self.report_failure(answer)
        if self.is_json:
            self.print_json(answer.body)
        accepted = read_plain(answer.body, AcceptedBody)
        if not isinstance(accepted, Failure):
            if not self.is_json:
                self.print_text(describe_accepted(accepted))
            return ExitCode.ok
        refused = read_plain(answer.body, RefusedBody)
        if not isinstance(refused, Failure):
            self.print_errors(refused.errors)
            for line in describe_conflict(refused):
                self.print_error(line)
        return self.report_failure(parse_failure(answer))

    def who_and_why(self) -> tuple[str, str]:
        """Returns the operator's name, or else the user's, and the reason."""
        return self.option('who') or getpass.getuser(), self.option('why') or ''


class ConfigApplyCommand(_ChangeCommand):
    """Applies an edited document."""

    name = 'config apply'
    description = 'Applies an edited document as a change of its version'
    help = (
        'The base version is --base, else that of the line "# version N" '
        f'which "config show" writes. The change token is ${TOKEN_VARIABLE}.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('file', description='The INI document'),
    ]
    own_options = _ChangeCommand.change_options

    def handle(self) -> int:
        """Runs the command."""
        text = read_file(self.argument('file'))
        if isinstance(text, Failure):
            self.report_failure(text)
            return ExitCode.usage
        base = parse_number(self.option('base'))
        if base is None:
            base = parse_base_version(text)
        if base is None or not self.option('why'):
            self.print_error('give --why, and --base or a line "# version N"')
            return ExitCode.usage
        who, why = self.who_and_why()
        return self.send_change(ChangeBody(ConfigVersion(base), who, why, text))


class ConfigRollbackCommand(_ChangeCommand):
    """Makes the text of an earlier version a new version."""

    name = 'config rollback'
    description = 'Returns to the text of an earlier version'
    arguments: ClassVar[list[Argument]] = [
        argument('target', description='The version to return to'),
    ]
    own_options = _ChangeCommand.change_options

    def handle(self) -> int:
        """Runs the command."""
        target = parse_number(self.argument('target'))
        base = parse_number(self.option('base'))
        if not target or base is None or not self.option('why'):
            self.print_error('give a version, --base and --why')
            return ExitCode.usage
        who, why = self.who_and_why()
        change = ChangeBody(
            ConfigVersion(base),
            who,
            why,
            rollback_to=ConfigVersion(target),
        )
        return self.send_change(change)


class ConfigHistoryCommand(DaemonCommand):
    """Lists versions with operator, time and reason."""

    name = 'config history'
    description = 'Lists versions with who, when and why'
    own_options: ClassVar[list[Option]] = [
        option('before', description='Only older versions', flag=False),
        option('count', description='At most so many', flag=False),
    ]

    def handle(self) -> int:
        """Runs the command."""
        query = {
            name: self.option(name)
            for name in ('before', 'count')
            if self.option(name)
        }
        path = f'{CONFIG_PATH}/history'
        body = self.fetch(path, HistoryBody, params=query)
        if isinstance(body, Failure):
            return self.report_failure(body)
        if self.is_json:
            self.print_json(dump_plain(body))
            return ExitCode.ok
        for entry in body.entries:
            sections = ', '.join(entry.changed)
            self.print_text(
                f'{entry.version}  {format_time(entry.when_ms)}  {entry.who}'
                f'  {entry.why}  ({sections})\n',
            )
        return ExitCode.ok


class ConfigStatusCommand(DaemonCommand):
    """Prints the version in force on each daemon."""

    name = 'config status'
    description = 'Prints which version is in force on each daemon'

    def handle(self) -> int:
        """Runs the command."""
        status = self.fetch(f'{CONFIG_PATH}/status', ConfigStatus)
        if isinstance(status, Failure):
            return self.report_failure(status)
        if self.is_json:
            self.print_json(dump_plain(status))
        else:
            self.print_text(describe_status(status))
        return ExitCode.ok


CONFIG_COMMANDS: Final = (
    ConfigShowCommand,
    ConfigCheckCommand,
    ConfigApplyCommand,
    ConfigRollbackCommand,
    ConfigHistoryCommand,
    ConfigStatusCommand,
)

__all__ = (
    'CONFIG_COMMANDS',
    'ConfigApplyCommand',
    'ConfigCheckCommand',
    'ConfigHistoryCommand',
    'ConfigRollbackCommand',
    'ConfigShowCommand',
    'ConfigStatusCommand',
)
