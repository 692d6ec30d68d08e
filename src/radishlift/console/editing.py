"""Pages that edit the document, by section or as text."""

from dataclasses import replace
from typing import Final

from aiohttp import web

from radishlift.config.document import ConfigDocument
from radishlift.config.kinds import SECTION_KINDS, sections_of
from radishlift.config.merge import apply_delta
from radishlift.config.parsing import render_document
from radishlift.config.snapshot import build_snapshot, parse_snapshot
from radishlift.console.forms import (
    REMOVE_FIELD,
    SectionForm,
    draw_form,
    make_section_form,
    parse_section_form,
)
from radishlift.console.html import Child, Html, tag
from radishlift.console.page import Page
from radishlift.console.review import (
    no_document_failure,
    read_posted_snapshot,
    show_review,
    show_text_form,
)
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion

SECTION_PATH: Final = '/console/section'


async def show_document(page: Page) -> web.Response:
    """Lists the sections of the document in force."""
    document = page.context.config.current()
    if document is None:
        return page.fail(no_document_failure())
    body: list[Child] = [tag('p', f'Version {document.version} is in force.')]
    titles = list(sections_of(document))
    for kind in SECTION_KINDS:
        links = [
            tag('li', _link_section(title))
            for title in titles
            if title.startswith(f'{kind.name}:')
        ]
        new = tag('a', 'Add', href=f'{SECTION_PATH}?title={kind.name}:')
        body.extend((tag('h2', kind.document_field), tag('ul', links), new))
    return page.show('Configuration', body)


async def show_section(page: Page) -> web.Response:
    """Shows the form of a section."""
    document = page.context.config.current()
    if document is None:
        return page.fail(no_document_failure())
    form = make_section_form(document, page.request.query.get('title', ''))
    if form is None:
        return page.refuse('Not found', 'There is no such section.', 404)
    return _show_form(page, form, document)


async def review_section(page: Page) -> web.Response:
    """Applies a posted section to the document and shows the difference."""
    posted = await page.read_form()
    if isinstance(posted, web.Response):
        return posted
    base = await read_posted_snapshot(page, posted)
    if isinstance(base, Failure):
        return page.fail(base)
    form = parse_section_form(base.document, posted)
    if form is None:
        return page.refuse('Not found', 'There is no such section.', 404)
    changed = None if posted.get(REMOVE_FIELD) else dict(form.values)
    sections = apply_delta(base.sections, {form.title: changed})
    policies = page.context.config.store.policies
    built = build_snapshot(sections, base.version, policies, base)
    if isinstance(built, tuple):
        return _show_form(page, replace(form, errors=built), base.document)
    return show_review(page, base, built)


async def show_text(page: Page) -> web.Response:
    """Shows the whole document as text to edit.

    The first version of the document is entered here.
    """
    document = page.context.config.current() or ConfigDocument(ConfigVersion(0))
    return show_text_form(page, render_document(document), document.version)


async def review_text(page: Page) -> web.Response:
    """Checks a posted text and shows the difference."""
    posted = await page.read_form()
    if isinstance(posted, web.Response):
        return posted
    base = await read_posted_snapshot(page, posted)
    if isinstance(base, Failure):
        return page.fail(base)
    text = posted.get('text', '')
    policies = page.context.config.store.policies
    parsed = parse_snapshot(text, base.version, policies, base)
    if isinstance(parsed, tuple):
        return show_text_form(page, text, base.version, parsed)
    return show_review(page, base, parsed)


def _show_form(
    page: Page,
    form: SectionForm,
    document: ConfigDocument,
) -> web.Response:
    policies = page.context.config.store.policies
    fields = draw_form(form, document, policies)
    status = 400 if form.errors else 200
    title = f'{form.kind.name} {form.name}'
    return page.show(title, page.form(SECTION_PATH, fields), status=status)


def _link_section(title: str) -> Html:
    # Names contain no characters that need escaping in a query string.
    return tag('a', title, href=f'{SECTION_PATH}?title={title}')


__all__ = (
    'SECTION_PATH',
    'review_section',
    'review_text',
    'show_document',
    'show_section',
    'show_text',
)
