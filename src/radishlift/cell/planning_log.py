"""Logs why steps wait, and the state of planning meanwhile."""

from collections.abc import Callable
from typing import Final

from radishlift.cell.settings import CellSettings
from radishlift.core.logs import log_event
from radishlift.steps.planner import Planner
from radishlift.steps.planning_state import summarize_tick
from radishlift.steps.settings import StepSettings
from radishlift.steps.tickets import TicketTable
from radishlift.steps.wait_reasons import WaitExplainer

# Speeds change slowly; their summary is logged less often.
_LOG_SPEEDS_MS: Final = 5000


class PlanningLog:
    """Logs at most every `explain_every_ms`, after a tick.

    `count_queued_requests` returns how many advice requests wait for a host.
    """

    def __init__(
        self,
        planner: Planner,
        tickets: TicketTable,
        settings: CellSettings,
        step_settings: StepSettings,
        count_queued_requests: Callable[[], int],
    ) -> None:
        self._planner = planner
        self._tickets = tickets
        self._settings = settings
        self._step_settings = step_settings
        self._count_queued_requests = count_queued_requests
        self._wait_explainer = WaitExplainer(planner, tickets, step_settings)
        self._explained_at_ms = 0
        self._speeds_logged_at_ms = 0
        self._logged_run_times_count = 0

    def log_tick(self, now_ms: int) -> None:
        """Logs the steps that wait, if the last log is old enough."""
        if now_ms - self._explained_at_ms < self._settings.explain_every_ms:
            return
        self._explained_at_ms = now_ms
        self._log_speeds(now_ms)
        overdue = self._wait_explainer.explain()
        if overdue:
            self._log_state()
        for waiting in overdue:
            log_event(
                'step_waits',
                step=waiting.key,
                overdue_ms=waiting.overdue_ms,
                waited_ms=waiting.waited_ms,
                reason=waiting.reason,
                suitable=waiting.suitable_count,
                fitting=waiting.fitting_count,
                open_requests=waiting.open_requests_count,
                request_age_ms=waiting.request_age_ms,
                suspects=waiting.suspects_count,
                workspace_used_percent=waiting.workspace_used_percent,
                workspace_held_percent=waiting.workspace_held_percent,
            )

    def _log_state(self) -> None:
        state = summarize_tick(
            self._planner.last_tick,
            self._tickets,
            self._planner.limits,
            self._step_settings,
        )
        log_event(
            'planning_state',
            waiting=state.waiting_count,
            overdue=state.overdue_count,
            used_cpu_percent=state.used_cpu_percent,
            used_memory_percent=state.used_memory_percent,
            reserved=state.reserved_count,
            reserved_idle_percent=state.reserved_idle_percent,
            queued_requests=self._count_queued_requests(),
            granted_tickets=state.granted_count,
            used_tickets=state.used_count,
            answers=state.answers_count,
            used_answers=state.used_answers_count,
            answers_ms=state.answers_ms,
            limited=state.limited_count,
            held_back=state.held_back_count,
            demoted=state.demoted_count,
            workspaces=self._planner.limits.describe_largest(),
        )

    def _log_speeds(self, now_ms: int) -> None:
        preferences = self._planner.preferences
        observed_count = self._planner.speeds.observed_count
        is_due = now_ms - self._speeds_logged_at_ms >= _LOG_SPEEDS_MS
        if not is_due or observed_count == self._logged_run_times_count:
            return
        self._speeds_logged_at_ms = now_ms
        self._logged_run_times_count = observed_count
        log_event(
            'target_speeds',
            fast=preferences.fast_count,
            slow=preferences.slow_count,
            best_percent=round(100 * preferences.best_ratio),
            worst_percent=round(100 * preferences.worst_ratio),
            run_times=observed_count,
        )


__all__ = ('PlanningLog',)
