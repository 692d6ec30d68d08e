"""The parts of a daemon that face callers and operators."""

from aiohttp import web

from radishlift.api.application import Routes, build_application
from radishlift.api.configuration import ConfigHandlers
from radishlift.api.jobs import JobHandlers
from radishlift.api.limits import ApiSettings, LimitsMiddleware
from radishlift.api.readiness import ReadinessState
from radishlift.api.services import ServiceHandlers
from radishlift.api.status import StatusHandlers
from radishlift.core.errors import Failure
from radishlift.daemon.cell_status import build_cell_status
from radishlift.daemon.console import add_console
from radishlift.daemon.control import Control
from radishlift.daemon.foundation import Foundation
from radishlift.daemon.jobs import Jobs
from radishlift.daemon.reports import Reports
from radishlift.report.metrics import Indicator
from radishlift.requests.api import ServiceAnswer, ServiceRequest
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.router import RequestRouter, RouterParts
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_rows import SlotOwner
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.requests.targets import TargetList
from radishlift.settings.daemon import DaemonSettings


class Entry:
    """Builds the request router and the HTTP application."""

    def __init__(
        self,
        base: Foundation,
        control: Control,
        jobs: Jobs,
    ) -> None:
        self._clock = base.clock
        self.readiness = ReadinessState()
        self.router = _build_router(base, control)
        self.metrics = control.metrics
        api_settings = base.settings.get(ApiSettings)
        self.limits = LimitsMiddleware(api_settings)
        change_token = base.settings.get(DaemonSettings).change_token
        self.reports = Reports(base, control)
        status = build_cell_status(base, control)
        routes: tuple[Routes, ...] = (
            ServiceHandlers(self._handle_request),
            ConfigHandlers(control.config, control.config_store, change_token),
            JobHandlers(jobs.router, api_settings.job_timeout_ms),
            StatusHandlers(base, control, status),
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


def _build_router(base: Foundation, control: Control) -> RequestRouter:
    settings = base.settings.get(RequestSettings)
    limits = ServiceLimits(control.config)
    targets = TargetList(base.hosts, base.hosts.knowledge, settings)
    # What peers say of leaving hosts does not wait for a read of the list.
    base.hosts.subscribe(targets.set_hosts)
    slot_parts = SlotParts(
        base.store,
        base.membership,
        targets,
        limits,
        base.clock,
    )
    owner = SlotOwner(base.member.daemon_id, base.member.incarnation)
    parts = RouterParts(
        SlotAllotments(owner, slot_parts, settings),
        slot_parts,
        base.network,
        control.partitions,
        control.directory,
    )
    return RequestRouter(parts, settings)


__all__ = ('Entry',)
