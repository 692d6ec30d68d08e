"""Attempts on acquired slots; records their run times and results."""

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
    """Runs attempts and updates run time estimates and executor health."""

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
        """Runs a call on an acquired slot."""
        dispatch_result = await self._dispatcher.dispatch(
            view, call, timeout_ms
        )
        self._record_outcome(view, call, dispatch_result)
        call.late_exchange = dispatch_result.late_exchange
        is_failure = isinstance(dispatch_result.answer, Failure)
        if is_failure and dispatch_result.verdict is not SendVerdict.outdated:
            call.excluded.add(view.executor_id)
        return dispatch_result.answer

    def _record_outcome(
        self,
        view: SlotView,
        call: Call,
        dispatch_result: DispatchResult,
    ) -> None:
        if dispatch_result.verdict is not SendVerdict.allowed:
            # Nothing was sent, so this is not a failure of the executor.
            return
        service = call.request.service
        times = self._scheduler.service_times
        is_good = not isinstance(dispatch_result.answer, Failure)
        typical_ms = times.typical_ms(service, call.rank)
        if is_good:
            times.observe(service, call.rank, dispatch_result.elapsed_ms)
            slow_after_ms = typical_ms * self._settings.eject_slow_ratio
            is_good = (
                not typical_ms or dispatch_result.elapsed_ms <= slow_after_ms
            )
        elif _is_caller_timeout(
            dispatch_result, times.likely_ms(service, call.rank)
        ):
            # The deadline was too short; this is not a failure of the executor.
            return
        self._scheduler.health_of(service).record_result(
            view.executor_id,
            len(self._targets.live_executors(service)),
            call.service.max_ejected_ratio,
            is_good=is_good,
        )


def _is_caller_timeout(
    dispatch_result: DispatchResult, likely_ms: float
) -> bool:
    if not isinstance(dispatch_result.answer, Failure):
        return False
    if dispatch_result.answer.kind is ErrorKind.deadline_passed:
        return True
    is_timed_out = dispatch_result.late_exchange is not None
    return is_timed_out and dispatch_result.elapsed_ms < likely_ms


__all__ = ('AttemptRunner',)
