"""The HTTP application of a daemon."""

from typing import Protocol

from aiohttp import web

from radishlift.api.limits import ApiSettings, LimitsMiddleware
from radishlift.api.readiness import READY_PATH, ReadinessState


class RouteProvider(Protocol):
    """Object that adds the routes of its handlers to an application."""

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to an application."""


def build_application(
    settings: ApiSettings,
    readiness: ReadinessState,
    limits: LimitsMiddleware,
    routes: tuple[RouteProvider, ...],
) -> web.Application:
    """Builds the application from all route providers."""
    app = web.Application(
        middlewares=[limits.middleware],
        client_max_size=settings.max_body_bytes,
    )
    app.router.add_get(READY_PATH, readiness.handle)
    for handlers in routes:
        handlers.add_routes(app)
    return app


__all__ = ('RouteProvider', 'build_application')
