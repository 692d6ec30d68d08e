"""HTTP handlers for metrics and the service-level burn report."""

from collections.abc import Callable, Iterable

from aiohttp import web

from radishlift.api.responses import failure_response, result_response
from radishlift.core.errors import Failure
from radishlift.report.collector import MetricsCollector
from radishlift.report.render import render_svg, render_table
from radishlift.report.samples import Sample, format_exposition


class ReportHandlers:
    """Handles `/v1/report/burn` and `/metrics`."""

    def __init__(
        self,
        collector: MetricsCollector,
        samples: Callable[[], Iterable[Sample]],
    ) -> None:
        self._collector = collector
        self._samples = samples

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to an application."""
        app.router.add_get('/v1/report/burn', self.show_burn)
        app.router.add_get('/metrics', self.show_metrics)

    async def show_burn(self, request: web.Request) -> web.Response:
        """Returns the report as JSON, a text table or an SVG plot.

        The query parameter `format` is `json`, `table` or `svg`.
        """
        report = await self._collector.report()
        if isinstance(report, Failure):
            return failure_response(report)
        given = request.query.get('format', 'json')
        if given == 'table':
            return web.Response(text=render_table(report))
        if given == 'svg':
            svg = render_svg(report)
            return web.Response(text=svg, content_type='image/svg+xml')
        return result_response(report)

    async def show_metrics(self, _request: web.Request) -> web.Response:
        """Returns this daemon's metrics in the text exposition format."""
        return web.Response(text=format_exposition(self._samples()))


__all__ = ('ReportHandlers',)
