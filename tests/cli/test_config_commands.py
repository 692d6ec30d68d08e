import asyncio
import json

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from cleo.application import Application
from cleo.testers.application_tester import ApplicationTester

from radishlift.cli.config_commands import CONFIG_COMMANDS, TOKEN_VARIABLE
from radishlift.cli.daemon_command import SERVER_VARIABLE, ExitCode
from radishlift.cli.report_commands import REPORT_COMMANDS
from radishlift.config.bodies import (
    CHANGE_TOKEN_HEADER,
    ChangeBody,
    HistoryBody,
    change_answer,
    document_answer,
    refused_answer,
)
from radishlift.core.codec import dump_plain, parse_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.report.burn import burn_report
from tests.config.documents import TEXT
from tests.config.fleet import TestFleet, text_with_weight
from tests.standins.tables import Fault


class FakeDaemon:
    """Serves the configuration API with one distributor."""

    def __init__(self, distributor) -> None:
        self.distributor = distributor
        self.is_unresponsive = False

    def application(self) -> web.Application:
        app = web.Application()
        app.router.add_get('/v1/config', self.show)
        app.router.add_put('/v1/config', self.change)
        app.router.add_get('/v1/config/history', self.history)
        app.router.add_get('/v1/config/status', self.status)
        app.router.add_get('/v1/report/burn', self.burn)
        return app

    async def show(self, request):
        version = int(request.query.get('version', '0'))
        chosen = ConfigVersion(version or self.distributor.current().version)
        snapshot = await self.distributor.snapshot_at(chosen)
        if isinstance(snapshot, Failure):
            return _json(refused_answer(snapshot))
        return _json(document_answer(snapshot))

    async def change(self, request):
        if self.is_unresponsive:
            request.transport.abort()
        if request.headers.get(CHANGE_TOKEN_HEADER) != 'token':
            failure = Failure(ErrorKind.unauthorized, 'wrong change token')
            return _json(refused_answer(failure))
        body = parse_plain(await request.json(), ChangeBody)
        if body.rollback_to:
            result = await self.distributor.rollback(
                body.rollback_to, body.base, body.who, body.why
            )
        else:
            result = await self.distributor.change(body)
        return _json(change_answer(result))

    async def history(self, request):
        count = int(request.query.get('count', '10'))
        entries = await self.distributor.store.history(None, count)
        return web.json_response(dump_plain(HistoryBody(entries)))

    async def status(self, _request):
        status = await self.distributor.refresh_status()
        return web.json_response(dump_plain(status))

    async def burn(self, _request):
        report = burn_report(self.distributor.current(), [])
        return web.json_response(dump_plain(report))


def _json(answer):
    return web.json_response(answer.body, status=answer.status)


@pytest.fixture
async def daemon(unused_tcp_port_factory, monkeypatch):
    fleet = TestFleet(unused_tcp_port_factory)
    member = await fleet.add('a')
    await member.change(TEXT, 0)
    fake = FakeDaemon(member.distributor)
    async with TestServer(fake.application()) as server:
        address = f'{server.host}:{server.port}'
        monkeypatch.setenv(SERVER_VARIABLE, address)
        monkeypatch.setenv(TOKEN_VARIABLE, 'token')
        fake.rows = member.rows
        yield fake
    await member.stop()


def run(line: str) -> tuple[int, str, str]:
    application = Application()
    application.auto_exits(False)
    for command in (*CONFIG_COMMANDS, *REPORT_COMMANDS):
        application.add(command())
    tester = ApplicationTester(application)
    status = tester.execute(line)
    return status, tester.io.fetch_output(), tester.io.fetch_error()


async def radishctl(line: str) -> tuple[int, str, str]:
    return await asyncio.to_thread(run, line)


@pytest.fixture
def document(tmp_path):
    path = tmp_path / 'document.ini'
    path.write_text(text_with_weight(3), encoding='utf-8')
    return path


APPLY = 'config apply {0} --who ann --why "more weight"'


async def test_a_shown_document_is_edited_and_applied(daemon, document):
    _, text, _ = await radishctl('config show')
    edited = text.replace('share_weight = 2.0', 'share_weight = 7')
    document.write_text(edited, encoding='utf-8')
    status, output, _ = await radishctl(APPLY.format(document))
    assert status == ExitCode.ok
    assert 'version 2 is accepted' in output
    assert '[department:rug-depot] share_weight: 2.0 -> 7.0' in output
    _, output, _ = await radishctl('config history')
    assert output.startswith('2  20')
    assert 'ann  more weight  (department:rug-depot)' in output
    _, output, _ = await radishctl('config status')
    assert 'version 2 is in force on all daemons since' in output
    status, output, _ = await radishctl('config show --at 1 --json')
    assert json.loads(output)['version'] == 1
    status, output, _ = await radishctl(
        'config rollback 1 --base 2 --who ben --why undo --json'
    )
    assert json.loads(output)['version'] == 3


async def test_a_conflict_has_its_own_status_and_names_fields(daemon, document):
    await radishctl(f'{APPLY.format(document)} --base 1')
    document.write_text(text_with_weight(4), encoding='utf-8')
    status, _, errors = await radishctl(f'{APPLY.format(document)} --base 1')
    assert status == ExitCode.conflict
    assert (
        '[department:rug-depot] share_weight: 2.0 before, 3.0 by ann in '
        'version 2, 4.0 in this change'
    ) in errors


async def test_outcomes_have_their_own_status(daemon, document, monkeypatch):
    """Guards against scripts that mistake "unknown" for "not run"."""
    line = f'{APPLY.format(document)} --base 1'
    daemon.rows.fault = Fault.down
    status, _, errors = await radishctl(line)
    assert (status, 'not run' in errors) == (ExitCode.refused, True)
    daemon.rows.fault = Fault.none
    daemon.is_unresponsive = True
    status, _, errors = await radishctl(line)
    assert (status, 'unknown' in errors) == (ExitCode.outcome_unknown, True)
    daemon.is_unresponsive = False
    monkeypatch.setenv(TOKEN_VARIABLE, '')
    status, _, errors = await radishctl(line)
    assert (status, 'wrong change token' in errors) == (ExitCode.refused, True)
    status, _, _ = await radishctl(f'{line} --server 127.0.0.1:1')
    assert status == ExitCode.unavailable
    status, _, _ = await radishctl('config show --at 9')
    assert status == ExitCode.refused


@pytest.mark.parametrize(
    ('line', 'status'),
    [
        ('config apply {0} --why x', ExitCode.usage),
        ('config apply {0} --base 1', ExitCode.usage),
        ('config apply missing --why x --base 1', ExitCode.usage),
        ('config rollback x --why y --base 1', ExitCode.usage),
        ('config check missing', ExitCode.usage),
        ('config check {0}', ExitCode.ok),
        ('config show', ExitCode.usage),
        ('config show --server 127.0.0.1:1 --timeout-ms x', ExitCode.usage),
    ],
)
def test_statuses_without_a_daemon(line, status, document, monkeypatch):
    monkeypatch.delenv(SERVER_VARIABLE, raising=False)
    assert run(line.format(document))[0] == status


def test_check_prints_every_error(document):
    document.write_text('[team:x]\ndepartment = <b>\n[x]\n', encoding='utf-8')
    status, _, errors = run(f'config check {document}')
    assert status == ExitCode.refused
    assert "[team:x] department = '<b>'" in errors
    assert '[x]' in errors
    _, output, _ = run(f'config check {document} --json')
    assert len(json.loads(output)['errors']) == 2


async def test_burn_is_reported_as_table_json_and_plot(daemon, tmp_path):
    plot = tmp_path / 'burn.svg'
    status, output, _ = await radishctl(f'report burn --svg {plot}')
    assert status == ExitCode.ok
    assert 'rugdesk-latency' in output
    assert plot.read_text(encoding='utf-8').startswith('<svg')
    _, output, _ = await radishctl('report burn --json')
    assert json.loads(output)['lines'][0]['objective'] == 'rugdesk-latency'
