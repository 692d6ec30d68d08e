import pytest
from cleo.testers.command_tester import CommandTester

from radishlift.cli.daemon_command import SERVER_VARIABLE, ExitCode
from radishlift.cli.main import build_application


@pytest.mark.parametrize(
    ('command', 'options'),
    [
        ('status', ''),
        ('cancel', 'p1.job'),
        ('config status', ''),
        ('report burn', ''),
        ('status', '--server 127.0.0.1:1 --timeout-ms soon'),
    ],
)
def test_invalid_command_line_has_its_own_exit_code(
    command, options, monkeypatch
):
    """Guards against scripts that mistake a missing server for a refusal."""
    monkeypatch.delenv(SERVER_VARIABLE, raising=False)
    tester = CommandTester(build_application().find(command))
    assert tester.execute(options) == ExitCode.usage
    assert f'usage: radishctl {command}' in tester.io.fetch_error()
