"""The layout of pages and the responses that contain them."""

from collections.abc import Mapping
from typing import Final

from aiohttp import web

from radishlift.console.context import ConsoleContext
from radishlift.console.guard import FORM_FIELD, STYLE_PATH
from radishlift.console.html import Child, Html, hidden_field, tag
from radishlift.core.errors import Failure

STYLE: Final = """
body { font: 14px sans-serif; margin: 1.5em; max-width: 70em; }
nav a { margin-right: 1.2em; }
table { border-collapse: collapse; margin: 0.6em 0; }
th, td { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: left; }
.error { color: #a00; }
.before { background: #fdd; }
.after { background: #dfd; }
label { display: inline-block; min-width: 14em; }
textarea { width: 100%; height: 30em; font-family: monospace; }
"""

_LINKS: Final = (
    ('/console', 'Configuration'),
    ('/console/text', 'As text'),
    ('/console/history', 'History'),
    ('/console/state', 'State'),
    ('/console/burn', 'Objectives'),
)


class Page:
    """Builds the page that answers one request."""

    def __init__(self, context: ConsoleContext, request: web.Request) -> None:
        self.context = context
        self.request = request
        self._cookie = context.guard.browser_cookie(request)

    def show(self, title: str, *body: Child, status: int = 200) -> web.Response:
        """Returns the response with a page."""
        links = [tag('a', text, href=path) for path, text in _LINKS]
        markup = tag(
            'html',
            tag(
                'head',
                tag('meta', charset='utf-8'),
                tag('title', f'{title} - radishlift'),
                tag('link', rel='stylesheet', href=STYLE_PATH),
            ),
            tag('body', tag('nav', links), tag('h1', title), body),
            lang='en',
        )
        response = web.Response(
            text=f'<!DOCTYPE html>{markup}',
            content_type='text/html',
            charset='utf-8',
            status=status,
        )
        return self.context.guard.protect(response, self._cookie)

    def refuse(self, title: str, reason: str, status: int) -> web.Response:
        """Returns the response to a refused request."""
        return self.show(title, tag('p', reason, class_='error'), status=status)

    def fail(self, failure: Failure) -> web.Response:
        """Returns the response for a failure, stating if work may have run."""
        outcome = failure.answer.outcome.value.replace('_', ' ')
        return self.refuse(
            f'Outcome: {outcome}',
            f'{failure.kind.value}: {failure.reason}',
            failure.answer.http_status,
        )

    def form(self, action: str, *fields: Child) -> Html:
        """Builds a form with its CSRF value for this browser."""
        csrf_value = self.context.guard.form_value(self._cookie, action)
        return tag(
            'form',
            hidden_field(FORM_FIELD, csrf_value),
            fields,
            method='post',
            action=action,
        )

    async def read_form(self) -> Mapping[str, str] | web.Response:
        """Reads the posted fields; refuses forms not served to this browser."""
        posted = await self.request.post()
        fields = {
            name: text for name, text in posted.items() if isinstance(text, str)
        }
        path = self.request.path
        if not self.context.guard.is_valid_form(self.request, fields, path):
            reason = 'This form was not shown to this browser. Open it again.'
            return self.refuse('Form refused', reason, 403)
        return fields


__all__ = ('STYLE', 'Page')
