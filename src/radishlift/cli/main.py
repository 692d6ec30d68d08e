"""The program radishctl."""

import sys

from cleo.application import Application

from radishlift.cli.job_commands import JOB_COMMANDS


def build_application() -> Application:
    """Builds the command line with all commands."""
    application = Application('radishctl', '0.1.0')
    for command_type in JOB_COMMANDS:
        application.add(command_type())
    return application


def main() -> int:
    """Runs one command and returns its exit code."""
    return build_application().run()


if __name__ == '__main__':
    sys.exit(main())
