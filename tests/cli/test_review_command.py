"""Tests of `radishctl config review`."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from radishlift.cli.daemon_command import ExitCode
from radishlift.cli.main import build_application
from radishlift.cli.review_command import MAX_FILE_BYTES
from tests.platform.test_documents import CONFIG, ROUTE, tenant

SOUND = {**CONFIG, 'services': [{'name': 's'}], 'tenants': [tenant()]}


@pytest.fixture
def write(tmp_path):
    def save(name, content):
        path = tmp_path / name
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        path.write_bytes(content)
        return str(path)

    return save


def run(line):
    tester = CommandTester(build_application().find('config review'))
    status = tester.execute(line)
    return status, tester.io.fetch_output(), tester.io.fetch_error()


def test_status_tells_errors_warnings_and_changes_apart(write):
    sound = write('sound', SOUND)
    newer = write('newer', {**SOUND, 'version': 8, 'tenants': []})
    warned = write('warned', {**SOUND, 'services': []})
    wrong = write('wrong', {**SOUND, 'routes': [ROUTE, {}]})
    assert run(sound) == (ExitCode.ok, '', '')
    status, output, _ = run(f'{newer} --against {sound} --strict')
    removed, ended = output.splitlines()
    assert status == ExitCode.ok
    assert removed == "change: workspace 'a': removed"
    assert ended == "change: workspace 'a': 1 of 1 keys end"
    assert run(warned)[0] == ExitCode.ok
    assert run(f'{warned} --strict')[0] == ExitCode.refused
    status, output, _ = run(f'{wrong} --json')
    assert status == ExitCode.refused
    assert json.loads(output)['findings'] == [
        {
            'severity': 'error',
            'kind': 'invalid_entry',
            'place': 'routes[1]',
            'text': 'name is missing',
        }
    ]


@pytest.mark.parametrize(
    'content', [b'', b'\0', b'{', b' ' * (MAX_FILE_BYTES + 1)]
)
def test_unreadable_file_is_told_in_one_line(write, content):
    sound, unreadable = write('sound', SOUND), write('unreadable', content)
    for line in (unreadable, f'{sound} --against {unreadable}'):
        status, output, errors = run(line)
        assert (status, output) == (ExitCode.usage, '')
        assert len(errors.splitlines()) == 1
    assert run(f'{sound}-missing')[0] == ExitCode.usage
