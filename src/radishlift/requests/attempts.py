"""One attempt on a taken slot, and what is learned from its result."""

from radishlift.core.errors import ErrorKind, Failure
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.call_scheduler import CallScheduler
from radishlift.requests.calls import Call
from radishlift.requests.dispatch import Dispatcher, DispatchResult
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_views import SlotView
from radishlift.requests.targets import TargetList
from radishlift.services.host_knowledge import SendVerdict


class AttemptRunner:
    """Dispatches and keeps the estimates and the health up to date."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        scheduler: CallScheduler,
        targets: TargetList,
        settings: RequestSettings,
    ) -> None:
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._targets = targets
        self._settings = settings

    async def run(
        self,
        view: SlotView,
        call: Call,
        timeout_ms: int,
    ) -> ServiceAnswer | Failure:
        """Runs a call on a taken slot."""
        dispatched = await self._dispatcher.dispatch(view, call, timeout_ms)
        self._record_outcome(view, call, dispatched)
        call.late_exchange = dispatched.late_exchange
        is_failure = isinstance(dispatched.answer, Failure)
        if is_failure and dispatched.verdict is not SendVerdict.outdated:
            call.excluded.add(view.executor_id)
        return dispatched.answer

    def _record_outcome(
        self,
        view: SlotView,
        call: Call,
        dispatched: DispatchResult,
    ) -> None:
        if dispatched.verdict is not SendVerdict.allowed:
            # Nothing was sent: no fault of the executor.
            return
        service = call.request.service
        times = self._scheduler.service_times
        is_good = not isinstance(dispatched.answer, Failure)
        typical_ms = times.typical_ms(service, call.rank)
        if is_good:
            times.observe(service, call.rank, dispatched.elapsed_ms)
            slow_after_ms = typical_ms * self._settings.eject_slow_ratio
            is_good = not typical_ms or dispatched.elapsed_ms <= slow_after_ms
        elif _is_caller_timeout(
            dispatched, times.likely_ms(service, call.rank)
        ):
            # The caller's deadline was short; no fault of the executor.
            return
        self._scheduler.health_of(service).record_result(
            view.executor_id,
            len(self._targets.live_executors(service)),
            call.service.max_ejected_ratio,
            is_good=is_good,
        )


def _is_caller_timeout(dispatched: DispatchResult, likely_ms: float) -> bool:
    if not isinstance(dispatched.answer, Failure):
        return False
    if dispatched.answer.kind is ErrorKind.deadline_passed:
        return True
    is_timed_out = dispatched.late_exchange is not None
    return is_timed_out and dispatched.elapsed_ms < likely_ms


__all__ = ('AttemptRunner',)
