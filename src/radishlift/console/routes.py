"""Routes of the console."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from radishlift.console.accepting import REBASE_PATH, accept, rebase
from radishlift.console.context import ConsoleContext
from radishlift.console.editing import (
    SECTION_PATH,
    review_section,
    review_text,
    show_document,
    show_section,
    show_text,
)
from radishlift.console.guard import SECURITY_HEADERS, STYLE_PATH
from radishlift.console.page import STYLE, Page
from radishlift.console.review import ACCEPT_PATH, TEXT_PATH
from radishlift.console.views import (
    ROLLBACK_PATH,
    review_rollback,
    show_burn,
    show_history,
    show_state,
)

PageHandler = Callable[[Page], Awaitable[web.Response]]
RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def add_console_routes(app: web.Application, context: ConsoleContext) -> None:
    """Adds the console's pages below `/console`.

    The application's `client_max_size` must allow a document in a form. The
    default of aiohttp, 1 MiB, is enough for 256 KiB of text.
    """

    def page(handler: PageHandler) -> RequestHandler:
        async def answer(request: web.Request) -> web.StreamResponse:
            return await handler(Page(context, request))

        return answer

    app.router.add_get('/console', page(show_document))
    app.router.add_get(SECTION_PATH, page(show_section))
    app.router.add_post(SECTION_PATH, page(review_section))
    app.router.add_get(TEXT_PATH, page(show_text))
    app.router.add_post(TEXT_PATH, page(review_text))
    app.router.add_post(ACCEPT_PATH, page(accept))
    app.router.add_post(REBASE_PATH, page(rebase))
    app.router.add_get('/console/history', page(show_history))
    app.router.add_post(ROLLBACK_PATH, page(review_rollback))
    app.router.add_get('/console/state', page(show_state))
    app.router.add_get('/console/burn', page(show_burn))
    app.router.add_get(STYLE_PATH, _show_style)


async def _show_style(_request: web.Request) -> web.Response:
    return web.Response(
        text=STYLE,
        content_type='text/css',
        headers=SECURITY_HEADERS,
    )


__all__ = ('add_console_routes',)
