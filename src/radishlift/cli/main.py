"""Entry point of radishctl."""

import sys
from typing import Final

from cleo.application import Application

from radishlift.cli.config_commands import CONFIG_COMMANDS
from radishlift.cli.event_command import EventsCommand
from radishlift.cli.job_commands import JOB_COMMANDS
from radishlift.cli.load_command import LoadCommand
from radishlift.cli.report_commands import REPORT_COMMANDS
from radishlift.cli.review_command import ConfigReviewCommand

COMMANDS: Final = (
    *JOB_COMMANDS,
    *CONFIG_COMMANDS,
    ConfigReviewCommand,
    *REPORT_COMMANDS,
    EventsCommand,
    LoadCommand,
)


def build_application() -> Application:
    """Builds the application with all commands."""
    application = Application('radishctl', '0.1.0')
    for command_type in COMMANDS:
        application.add(command_type())
    return application


def main() -> int:
    """Runs one command and returns its exit code."""
    return build_application().run()


if __name__ == '__main__':
    sys.exit(main())
