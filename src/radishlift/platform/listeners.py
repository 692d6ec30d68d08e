"""HTTP listeners of a daemon, other than the API for callers."""

import logging
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from radishlift.cell.daemon import CellDaemon
from radishlift.cell.metrics import CellMetrics
from radishlift.core.ids import Address
from radishlift.report.samples import CONTENT_TYPE

_UNAVAILABLE: Final = 503
# Connections that wait to be accepted; covers bursts.
_BACKLOG: Final = 512
# Keys that are longer than allowed get a clear answer up to this size.
_MAX_HEADER_BYTES: Final = 16_384

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def make_readiness_handler(daemon: CellDaemon) -> Handler:
    """Returns a handler that answers 200 while callers may use the daemon.

    It answers 503 otherwise.
    """

    async def handle(_: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if daemon.is_ready else _UNAVAILABLE)

    return handle


def make_metrics_handler(metrics: CellMetrics) -> Handler:
    """Returns a handler that serves counters and latencies as text."""

    async def handle(_: web.BaseRequest) -> web.StreamResponse:
        return web.Response(
            text=metrics.render(),
            headers={'Content-Type': CONTENT_TYPE},
        )

    return handle


class _HeaderFilter(logging.Filter):
    """Removes the texts of malformed requests, which may contain keys."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Keeps all records."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, HttpProcessingError):
            record.exc_info = None
            record.msg = 'malformed request: %s'
            record.args = (type(error).__name__,)
        return True


_LOGGER: Final = logging.getLogger('radishlift.http')
_LOGGER.addFilter(_HeaderFilter())


def make_server(handler: Handler) -> web.Server:
    """Returns an HTTP server that logs no header of a request."""
    return web.Server(handler, logger=_LOGGER, max_field_size=_MAX_HEADER_BYTES)


async def serve(address: Address, handler: Handler) -> None:
    """Starts to listen on an address; raises OSError if it is in use."""
    runner = web.ServerRunner(make_server(handler))
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port), backlog=_BACKLOG).start()


__all__ = ('make_metrics_handler', 'make_readiness_handler', 'serve')
