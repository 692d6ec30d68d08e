import re
from html import unescape

import pytest
from aiohttp import CookieJar, web
from aiohttp.test_utils import TestClient, TestServer

from radishlift.console.context import ConsoleContext
from radishlift.console.guard import ConsoleGuard
from radishlift.console.html import Html, join, tag
from radishlift.console.routes import add_console_routes
from radishlift.console.status import (
    CellStatus,
    PartitionStatus,
    QuarantineStatus,
    QueueStatus,
    WorkersStatus,
)
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import (
    DaemonId,
    DataCentreId,
    DepartmentName,
    PartitionId,
    WorkerId,
)
from radishlift.placement.jobs import Priority
from radishlift.report.burn import burn_report
from tests.config.documents import TEXT
from tests.config.fleet import TestFleet, text_with_weight
from tests.standins.tables import Fault

URGENT = Priority.urgent
TOKEN = 'let-me-in'
HOSTILE = '<script>alert("x")</script>'


class FakeStatus:
    async def cell_status(self) -> CellStatus | Failure:
        return CellStatus(
            (QueueStatus(DepartmentName('rug-depot'), URGENT, 3, 4, 500),),
            (WorkersStatus(DataCentreId('pinetown'), 8, 1, 1, 5, 9),),
            (QuarantineStatus(WorkerId('10.0.0.1:1'), HOSTILE, 10**18),),
            (PartitionStatus(PartitionId('pinetown-1'), None, None, None),),
            (DaemonId('d-silent'),),
        )


class Browser:
    """Opens pages and submits their forms, like a browser without scripts."""

    def __init__(self, client: TestClient) -> None:
        self.client = client

    async def open(self, path: str) -> str:
        answer = await self.client.get(path)
        assert 'nosniff' in answer.headers['X-Content-Type-Options']
        assert "default-src 'none'" in answer.headers['Content-Security-Policy']
        return await answer.text()

    async def submit(self, page: str, action: str, **changed: str):
        form = re.search(
            f'<form method="post" action="{action}">(.*?)</form>'
            f'|<form[^>]*action="{action}"[^>]*>(.*?)</form>',
            page,
            re.DOTALL,
        )
        body = form[1] or form[2]
        fields = dict(re.findall('name="([^"]*)"[^>]* value="([^"]*)"', body))
        selects = re.findall(
            '<select name="([^"]*)".*?</select>', body, re.DOTALL
        )
        for name in selects:
            selected_option = re.search(
                f'<select name="{name}".*?value="([^"]*)" selected',
                body,
                re.DOTALL,
            )
            fields[name] = selected_option[1]
        area = re.search('<textarea[^>]*>\n(.*?)</textarea>', body, re.DOTALL)
        if area:
            fields['text'] = area[1]
        fields.pop('remove', None)
        fields = {name: unescape(text) for name, text in fields.items()}
        answer = await self.client.post(action, data={**fields, **changed})
        return answer.status, await answer.text()


@pytest.fixture
async def fleet(unused_tcp_port_factory):
    fleet = TestFleet(unused_tcp_port_factory)
    daemon = await fleet.add('a')
    await daemon.change(TEXT, 0)
    yield fleet
    await daemon.stop()


@pytest.fixture
async def browser(fleet):
    distributor = fleet.daemons[0].distributor

    async def report():
        return burn_report(distributor.current(), [])

    app = web.Application()
    context = ConsoleContext(
        distributor, FakeStatus(), report, ConsoleGuard(TOKEN)
    )
    add_console_routes(app, context)
    client = TestClient(TestServer(app), cookie_jar=CookieJar(unsafe=True))
    async with client:
        yield Browser(client)


SECTION = '/console/section'
ACCEPT = '/console/accept'
DEPOT = f'{SECTION}?title=department:rug-depot'


async def review_weight(browser: Browser, weight: str):
    page = await browser.open(DEPOT)
    return await browser.submit(page, SECTION, key_share_weight=weight)


async def accept(browser: Browser, review: str, token: str = TOKEN):
    return await browser.submit(
        review, ACCEPT, who='ann', why='more', change_token=token
    )


async def test_a_section_is_edited_reviewed_and_accepted(fleet, browser):
    status, review = await review_weight(browser, '3')
    assert status == 200
    assert '<span class="before">2.0</span>' in review
    assert '<span class="after">3.0</span>' in review
    assert fleet.daemons[0].version == 1
    status, accepted = await accept(browser, review)
    assert status == 200
    assert 'Version 2 is accepted' in accepted
    document = fleet.daemons[0].distributor.current()
    assert document.departments['rug-depot'].share_weight == 3
    assert document.services['rugdesk'].urgent_classes == ('clinic', 'dispatch')
    assert 'ann' in await browser.open('/console/history')


async def test_errors_are_shown_beside_their_fields(browser):
    status, page = await review_weight(browser, HOSTILE)
    assert status == 400
    field = re.search('<p><label for="key_share_weight">.*?</p>', page)[0]
    assert 'allowed is a number from 0.001 to 1000' in field
    assert HOSTILE not in page
    assert unescape(field).count(HOSTILE) == 1


async def test_a_section_is_added_and_removed(fleet, browser):
    page = await browser.open(f'{SECTION}?title=team:')
    _, review = await browser.submit(
        page, SECTION, section_name='packers', key_department='school-kits'
    )
    await accept(browser, review)
    assert len(fleet.daemons[0].distributor.current().teams) == 2
    page = await browser.open(f'{SECTION}?title=team:packers')
    _, review = await browser.submit(page, SECTION, remove='yes')
    await accept(browser, review)
    assert len(fleet.daemons[0].distributor.current().teams) == 1
    page = await browser.open(f'{SECTION}?title=department:rug-depot')
    status, page = await browser.submit(page, SECTION, remove='yes')
    assert status == 400
    assert '[team:wash-floor] department' in page


@pytest.mark.parametrize('token', ['', 'wrong', 'é'])
async def test_a_change_needs_the_token(fleet, browser, token):
    """Guards against changes by anyone who can reach the console."""
    _, review = await review_weight(browser, '3')
    status, page = await accept(browser, review, token)
    assert status == 403
    assert 'not run' in page
    assert fleet.daemons[0].version == 1


async def test_no_configured_token_means_no_changes():
    assert not ConsoleGuard('').is_valid_token('')


async def test_a_form_of_another_site_or_page_is_refused(fleet, browser):
    """Guards against cross-site request forgery.

    A form needs the CSRF value of its page and the cookie of its browser.
    """
    _, review = await review_weight(browser, '3')
    status, _ = await browser.submit(
        review,
        ACCEPT,
        who='ann',
        why='x',
        change_token=TOKEN,
        form_value='0' * 64,
    )
    assert status == 403
    form_value = re.search('name="form_value" value="([^"]*)"', review)[1]
    answer = await browser.client.post(
        '/console/rollback', data={'form_value': form_value, 'target': '1'}
    )
    assert answer.status == 403
    browser.client.session.cookie_jar.clear()
    status, _ = await accept(browser, review)
    assert status == 403
    assert fleet.daemons[0].version == 1


async def test_a_conflict_is_shown_and_can_be_rebased(fleet, browser):
    """Guards against a form that silently overwrites a later change."""
    _, review = await review_weight(browser, '3')
    await fleet.daemons[0].change(text_with_weight(5), 1)
    status, conflict = await accept(browser, review)
    assert status == 409
    for cell in ('share_weight', '2.0', '5.0', 'ann', '3.0'):
        assert f'<td>{cell}</td>' in conflict
    _, review = await browser.submit(conflict, '/console/rebase')
    assert '<span class="before">5.0</span>' in review
    status, _ = await accept(browser, review)
    assert status == 200
    assert fleet.daemons[0].version == 3


async def test_the_text_is_edited_with_all_errors(fleet, browser):
    page = await browser.open('/console/text')
    status, page = await browser.submit(
        page, '/console/text', text='[team:x]\n</textarea><b>\nx = 1'
    )
    assert status == 400
    assert '&lt;/textarea&gt;&lt;b&gt;' in page
    assert '</textarea><b>' not in page
    _, review = await browser.submit(
        page, '/console/text', text=text_with_weight(4)
    )
    await accept(browser, review)
    assert fleet.daemons[0].version == 2


async def test_a_rollback_is_reviewed(fleet, browser):
    await fleet.daemons[0].change(text_with_weight(5), 1)
    page = await browser.open('/console/history')
    _, review = await browser.submit(page, '/console/rollback', target='1')
    assert '<span class="after">2.0</span>' in review
    await accept(browser, review)
    assert fleet.daemons[0].version == 3


async def test_an_outage_is_reported_as_not_run(fleet, browser):
    _, review = await review_weight(browser, '3')
    fleet.daemons[0].rows.fault = Fault.down
    status, page = await accept(browser, review)
    assert status == 503
    assert 'Outcome: not run' in page


async def test_state_and_objectives_are_shown_escaped(browser):
    state = await browser.open('/console/state')
    assert HOSTILE not in state
    assert HOSTILE in unescape(state)
    assert 'No answer from: d-silent' in state
    assert 'in force on all daemons since' in state
    burn = await browser.open('/console/burn')
    assert '<svg' in burn
    assert 'rugdesk-latency' in burn


async def test_a_console_without_a_configuration_offers_the_text(
    unused_tcp_port_factory,
):
    fleet = TestFleet(unused_tcp_port_factory)
    daemon = await fleet.add('a')

    async def report():
        return Failure(ErrorKind.no_configuration, 'none')

    app = web.Application()
    guard = ConsoleGuard(TOKEN)
    context = ConsoleContext(daemon.distributor, FakeStatus(), report, guard)
    add_console_routes(app, context)
    client = TestClient(TestServer(app), cookie_jar=CookieJar(unsafe=True))
    async with client:
        browser = Browser(client)
        assert 'enter the first one as text' in await browser.open('/console')
        page = await browser.open('/console/text')
        _, review = await browser.submit(page, '/console/text', text=TEXT)
        status, _ = await accept(browser, review)
        assert status == 200
        assert daemon.version == 1
    await daemon.stop()


def test_markup_is_escaped_unless_it_was_built():
    built = tag(
        'a', '<', [1, Html('<b>'), None], href='"&', class_='x', id=None
    )
    assert str(built) == '<a href="&quot;&amp;" class="x">&lt;1<b></a>'
    assert str(join(['<', tag('br')])) == '&lt;<br>'
