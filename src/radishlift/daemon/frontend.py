"""The components of a daemon that serve callers and operators."""

from aiohttp import web

from radishlift.api.application import RouteProvider, build_application
from radishlift.api.configuration import ConfigHandlers
from radishlift.api.jobs import JobHandlers
from radishlift.api.limits import ApiSettings, LimitsMiddleware
from radishlift.api.readiness import ReadinessState
from radishlift.api.services import ServiceHandlers
from radishlift.api.status import StatusHandlers
from radishlift.core.errors import Failure
from radishlift.daemon.cell_status import build_cell_status
from radishlift.daemon.console import add_console
from radishlift.daemon.context import DaemonContext
from radishlift.daemon.control import ControlPlane
from radishlift.daemon.jobs import JobComponents
from radishlift.daemon.reports import ReportComponents
from radishlift.report.metrics import Indicator
from radishlift.requests.api import ServiceAnswer, ServiceRequest
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.router import RequestRouter, RouterParts
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_rows import SlotOwner
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.requests.targets import TargetList
from radishlift.settings.daemon import DaemonSettings


class HttpFrontend:
    """Builds the request router and the HTTP application."""

    def __init__(
        self,
        context: DaemonContext,
        control: ControlPlane,
        jobs: JobComponents,
    ) -> None:
        self._clock = context.clock
        self.readiness = ReadinessState()
        self.router = _build_router(context, control)
        self.metrics = control.metrics
        api_settings = context.settings.get(ApiSettings)
        self.limits = LimitsMiddleware(api_settings)
        change_token = context.settings.get(DaemonSettings).change_token
        self.reports = ReportComponents(context, control)
        status = build_cell_status(context, control)
        routes: tuple[RouteProvider, ...] = (
            ServiceHandlers(self._handle_request),
            ConfigHandlers(control.config, control.config_store, change_token),
            JobHandlers(jobs.router, api_settings.job_timeout_ms),
            StatusHandlers(context, control, status),
            *self.reports.routes(),
        )
        self.application: web.Application = build_application(
            api_settings,
            self.readiness,
            self.limits,
            routes,
        )
        add_console(
            self.application,
            control.config,
            status,
            self.reports.metrics_collector,
            change_token,
        )

    async def _handle_request(
        self,
        request: ServiceRequest,
    ) -> ServiceAnswer | Failure:
        started_ms = self._clock.monotonic_ms()
        answer = await self.router.handle(request)
        duration_ms = self._clock.monotonic_ms() - started_ms
        for indicator in (Indicator.latency, Indicator.availability):
            self.metrics.observe(
                request.service,
                indicator,
                duration_ms,
                is_ok=isinstance(answer, ServiceAnswer),
            )
        return answer


def _build_router(
    context: DaemonContext, control: ControlPlane
) -> RequestRouter:
    settings = context.settings.get(RequestSettings)
    limits = ServiceLimits(control.config)
    targets = TargetList(context.hosts, context.hosts.knowledge, settings)
    # Leaving hosts reported by peers apply at once, without waiting for the
    # next read of the host list.
    context.hosts.subscribe(targets.set_hosts)
    slot_parts = SlotParts(
        context.store,
        context.membership,
        targets,
        limits,
        context.clock,
    )
    owner = SlotOwner(context.member.daemon_id, context.member.incarnation)
    parts = RouterParts(
        SlotAllotments(owner, slot_parts, settings),
        slot_parts,
        context.network,
        control.partitions,
        control.directory,
    )
    return RequestRouter(parts, settings)


__all__ = ('HttpFrontend',)
