"""Pages for the history, the state of the cell and the objectives."""

from datetime import UTC, datetime
from typing import Final

from aiohttp import web

from radishlift.config.progress import ConfigStatus
from radishlift.console.html import Child, Html, hidden_field, table, tag
from radishlift.console.page import Page
from radishlift.console.review import (
    no_document_failure,
    parse_version,
    show_review,
)
from radishlift.console.status import CellStatus
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion
from radishlift.report.render import render_svg, render_table

ROLLBACK_PATH: Final = '/console/rollback'

_HISTORY_COUNT: Final = 30
_MAX_ROWS: Final = 500
_QUEUE_HEADINGS: Final = (
    'department',
    'priority',
    'queued',
    'running',
    'oldest wait ms',
)
_WORKER_HEADINGS: Final = (
    'data centre',
    'live',
    'leaving',
    'unreachable',
    'quarantined',
    'cpu milli',
)


async def show_history(page: Page) -> web.Response:
    """Lists versions with operator, time and reason, and rollback buttons."""
    before = parse_version(page.request.query, 'before')
    entries = await page.context.config.store.history(before, _HISTORY_COUNT)
    if isinstance(entries, Failure):
        return page.fail(entries)
    rows = [
        (
            entry.version,
            entry.who,
            _format_time(entry.when_ms),
            entry.why,
            ', '.join(entry.changed),
            ', '.join(entry.merged),
            page.form(
                ROLLBACK_PATH,
                hidden_field('target', entry.version),
                tag('button', 'Review rollback'),
            ),
        )
        for entry in entries
    ]
    headings = ('version', 'who', 'when', 'why', 'changed', 'merged', '')
    older = None
    if entries and entries[-1].version > 1:
        href = f'/console/history?before={entries[-1].version}'
        older = tag('a', 'Older versions', href=href)
    return page.show('History', table(headings, rows), older)


async def review_rollback(page: Page) -> web.Response:
    """Shows what a rollback to an earlier version would change."""
    posted = await page.read_form()
    if isinstance(posted, web.Response):
        return posted
    target = parse_version(posted, 'target')
    document = page.context.config.current()
    if document is None:
        return page.fail(no_document_failure())
    if target is None:
        return page.refuse('Form refused', 'The version is missing.', 400)
    current = await page.context.config.snapshot_at(document.version)
    earlier = await page.context.config.snapshot_at(target)
    if isinstance(current, Failure):
        return page.fail(current)
    if isinstance(earlier, Failure):
        return page.fail(earlier)
    return show_review(page, current, earlier)


async def show_state(page: Page) -> web.Response:
    """Shows queues, workers, quarantines, partitions and versions."""
    cell = await page.context.status.cell_status()
    config = await page.context.config.refresh_status()
    body: list[Child] = [_draw_config(config)]
    if isinstance(cell, Failure):
        body.append(tag('p', cell.reason, class_='error'))
    else:
        body.append(_draw_cell(cell))
    return page.show('State', body)


async def show_burn(page: Page) -> web.Response:
    """Shows burn rates and error budgets as a plot and a table."""
    report = await page.context.report()
    if isinstance(report, Failure):
        return page.fail(report)
    return page.show(
        'Objectives',
        Html(render_svg(report)),
        tag('pre', render_table(report)),
    )


def _draw_config(status: ConfigStatus) -> Html:
    rows = [
        (
            daemon.daemon_id,
            'no answer' if daemon.version is None else daemon.version,
            daemon.age_ms,
        )
        for daemon in status.daemons
    ]
    at_ms = status.everywhere_at_ms(ConfigVersion(status.version))
    if at_ms is None:
        since = 'not in force on all daemons yet'
    else:
        since = f'in force on all daemons since {_format_time(at_ms)}'
    return tag(
        'section',
        tag('h2', 'Configuration'),
        tag('p', f'Version {status.version} is {since}.'),
        table(('daemon', 'version', 'last report ms ago'), rows),
    )


def _draw_cell(cell: CellStatus) -> Html:
    queues = (
        (
            row.department,
            row.priority.value,
            row.queued_count,
            row.running_count,
            row.oldest_wait_ms,
        )
        for row in cell.queues
    )
    workers = (
        (
            row.data_centre,
            row.live_count,
            row.leaving_count,
            row.unreachable_count,
            row.quarantined_count,
            f'{row.committed_cpu_milli} of {row.total_cpu_milli}',
        )
        for row in cell.workers
    )
    quarantines = (
        (row.worker_id, row.reason, _format_time(row.since_ms))
        for row in cell.quarantines[:_MAX_ROWS]
    )
    partitions = (
        (row.partition_id, row.owner, row.workers_count, row.queued_count)
        for row in cell.partitions[:_MAX_ROWS]
    )
    missing = None
    if cell.missing:
        daemon_ids = ', '.join(cell.missing)
        missing = tag('p', f'No answer from: {daemon_ids}', class_='error')
    return tag(
        'section',
        missing,
        tag('h2', 'Queues'),
        table(_QUEUE_HEADINGS, queues),
        tag('h2', 'Workers'),
        table(_WORKER_HEADINGS, workers),
        tag('h2', 'Quarantines'),
        table(('worker', 'reason', 'since'), quarantines),
        tag('h2', 'Partitions'),
        table(('partition', 'owner', 'workers', 'queued'), partitions),
    )


def _format_time(at_ms: int) -> str:
    try:
        at = datetime.fromtimestamp(at_ms / 1000, tz=UTC)
    except (OverflowError, ValueError, OSError):
        return f'{at_ms} ms'
    return at.strftime('%Y-%m-%d %H:%M:%S UTC')


__all__ = (
    'ROLLBACK_PATH',
    'review_rollback',
    'show_burn',
    'show_history',
    'show_state',
)
