"""The command `radishctl config review`."""

from typing import ClassVar, Final

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from radishlift.cell.config_findings import ConfigEntries, Severity
from radishlift.cell.config_review import review
from radishlift.cli.daemon_command import DaemonCommand, ExitCode
from radishlift.core.errors import ErrorKind, Failure
from radishlift.platform.config_document import decode_entries

MAX_FILE_BYTES: Final = 1024 * 1024


class ConfigReviewCommand(DaemonCommand):
    """Reviews a configuration of the platform without a daemon."""

    name = 'config review'
    description = "Reviews the platform's configuration before it is sent"
    help = (
        'Prints errors, warnings, and with --against what differs from the '
        'version in force. The exit code is 1 if there are errors, and with '
        '--strict also if there are warnings.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('file', description='The JSON document'),
    ]
    own_options: ClassVar[list[Option]] = [
        option('against', description='File in force', flag=False),
        option('strict', description='Warnings are refused as well'),
    ]

    def handle(self) -> int:
        """Runs the command."""
        entries = _read_entries(self.argument('file'))
        if isinstance(entries, Failure):
            return self._report_unreadable(entries)
        against = self.option('against')
        in_force = _read_entries(against) if against else None
        if isinstance(in_force, Failure):
            return self._report_unreadable(in_force)
        findings = review(entries, in_force)
        if self.is_json:
            self.print_json(
                {'findings': [finding.to_plain() for finding in findings]}
            )
        else:
            self.print_text(''.join(f'{finding}\n' for finding in findings))
        refused = {Severity.error}
        if self.option('strict'):
            refused.add(Severity.warning)
        is_refused = any(
            finding.kind.severity in refused for finding in findings
        )
        return ExitCode.refused if is_refused else ExitCode.ok

    def _report_unreadable(self, failure: Failure) -> ExitCode:
        self.report_failure(failure)
        return ExitCode.usage


def _read_entries(name: str) -> ConfigEntries | Failure:
    try:
        with open(name, 'rb') as document:
            content = document.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        return Failure(ErrorKind.invalid_input, f'{name}: {error}')
    if len(content) > MAX_FILE_BYTES:
        reason = f'{name}: larger than {MAX_FILE_BYTES} bytes'
        return Failure(ErrorKind.invalid_input, reason)
    entries = decode_entries(content)
    if isinstance(entries, Failure):
        return Failure(entries.kind, f'{name}: {entries.reason}')
    return entries


__all__ = ('ConfigReviewCommand',)
