"""The commands `radishctl report`."""

from pathlib import Path
from typing import ClassVar, Final

from cleo.helpers import option
from cleo.io.inputs.option import Option

from radishlift.cli.daemon_command import DaemonCommand, ExitCode
from radishlift.core.codec import dump_plain
from radishlift.core.errors import Failure
from radishlift.report.burn import BurnReport
from radishlift.report.render import render_svg, render_table

BURN_PATH: Final = '/v1/report/burn'


class ReportBurnCommand(DaemonCommand):
    """Reports objectives, error budgets and burn rates."""

    name = 'report burn'
    description = 'Reports objectives, error budgets left and burn rates'
    own_options: ClassVar[list[Option]] = [
        option('svg', description='Also write a plot to this file', flag=False),
    ]

    def handle(self) -> int:
        """Runs the command."""
        report = self.fetch(BURN_PATH, BurnReport)
        if isinstance(report, Failure):
            return self.report_failure(report)
        if self.is_json:
            self.print_json(dump_plain(report))
        else:
            self.print_text(render_table(report))
        plot = self.option('svg')
        if plot:
            try:
                Path(plot).write_text(render_svg(report), encoding='utf-8')
            except OSError as error:
                self.print_error(f'{plot}: {error}')
                return ExitCode.usage
        return ExitCode.ok


REPORT_COMMANDS: Final = (ReportBurnCommand,)

__all__ = ('REPORT_COMMANDS', 'ReportBurnCommand')
