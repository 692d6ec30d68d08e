"""Pages that store a reviewed change and show the result."""

from typing import Final

from aiohttp import web

from radishlift.config.changes import (
    Change,
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
)
from radishlift.config.merge import apply_delta, delta_between
from radishlift.config.snapshot import build_snapshot, parse_snapshot
from radishlift.config.text import render_sections
from radishlift.console.forms import BASE_FIELD, draw_errors
from radishlift.console.guard import TOKEN_FIELD
from radishlift.console.html import hidden_field, table, tag
from radishlift.console.page import Page
from radishlift.console.review import (
    draw_changes,
    parse_version,
    read_posted_snapshot,
    show_review,
    show_text_form,
)
from radishlift.core.errors import Failure

REBASE_PATH: Final = '/console/rebase'

_HEADINGS: Final = (
    'section',
    'key',
    'before both',
    'theirs',
    'changed by',
    'in version',
    'yours',
)


async def accept(page: Page) -> web.Response:
    """Stores a reviewed change if the change token is valid."""
    posted = await page.read_form()
    if isinstance(posted, web.Response):
        return posted
    base = parse_version(posted)
    if base is None:
        return page.refuse('Form refused', 'The base version is missing.', 400)
    if not page.context.guard.is_valid_token(posted.get(TOKEN_FIELD, '')):
        reason = 'The change token is wrong or not set up. Nothing was changed.'
        return page.refuse('Outcome: not run', reason, 403)
    change = Change(
        posted.get('text', ''),
        base,
        posted.get('who', ''),
        posted.get('why', ''),
    )
    outcome = await page.context.config.change(change)
    match outcome:
        case ChangeAccepted():
            return _show_accepted(page, outcome)
        case ChangeInvalid():
            return show_text_form(page, change.text, base, outcome.errors)
        case ChangeConflict():
            return _show_conflict(page, change, outcome)
    return page.fail(outcome)


async def rebase(page: Page) -> web.Response:
    """Shows the review of a conflicting change, rebased on the newer version.

    Sections of the change replace those of the other operator. The review
    shows which of their changes that reverts.
    """
    posted = await page.read_form()
    if isinstance(posted, web.Response):
        return posted
    base = await read_posted_snapshot(page, posted)
    head = await read_posted_snapshot(page, posted, 'head')
    if isinstance(base, Failure):
        return page.fail(base)
    if isinstance(head, Failure):
        return page.fail(head)
    policies = page.context.config.store.policies
    text = posted.get('text', '')
    ours = parse_snapshot(text, base.version, policies, base)
    if isinstance(ours, tuple):
        return show_text_form(page, text, base.version, ours)
    delta = delta_between(base.sections, ours.sections)
    sections = apply_delta(head.sections, delta)
    built = build_snapshot(sections, head.version, policies, head)
    if isinstance(built, tuple):
        text = render_sections(sections)
        return show_text_form(page, text, head.version, built)
    return show_review(page, head, built)


def _show_accepted(page: Page, accepted: ChangeAccepted) -> web.Response:
    merged = ', '.join(accepted.merged)
    note = f'Merged with concurrent changes of: {merged}' if merged else None
    return page.show(
        f'Version {accepted.version} is accepted',
        tag('p', note),
        draw_changes(accepted.changes),
        tag('p', tag('a', 'Where it is in force', href='/console/state')),
    )


def _show_conflict(
    page: Page,
    change: Change,
    conflict: ChangeConflict,
) -> web.Response:
    rows = [
        (
            field.section,
            field.key,
            field.base,
            field.theirs,
            field.who,
            field.version,
            field.ours,
        )
        for field in conflict.fields
    ]
    retry = page.form(
        REBASE_PATH,
        hidden_field(BASE_FIELD, change.base),
        hidden_field('head', conflict.head),
        hidden_field('text', change.text),
        tag('button', f'Review yours on version {conflict.head}'),
    )
    return page.show(
        'Conflict: nothing was changed',
        draw_errors(conflict.errors),
        table(_HEADINGS, rows),
        retry,
        tag('p', tag('a', 'Drop your change', href='/console')),
        status=409,
    )


__all__ = ('REBASE_PATH', 'accept', 'rebase')
