"""Adds the operators' console to the HTTP application."""

from aiohttp import web

from radishlift.config.distributor import ConfigDistributor
from radishlift.console.context import ConsoleContext
from radishlift.console.guard import ConsoleGuard
from radishlift.console.routes import add_console_routes
from radishlift.console.status import StatusProvider
from radishlift.report.collector import MetricsCollector


def add_console(
    app: web.Application,
    config: ConfigDistributor,
    status: StatusProvider,
    collector: MetricsCollector,
    change_token: str,
) -> None:
    """Adds the console's routes, which use this daemon's components."""
    context = ConsoleContext(
        config,
        status,
        collector.report,
        ConsoleGuard(change_token),
    )
    add_console_routes(app, context)


__all__ = ('add_console',)
