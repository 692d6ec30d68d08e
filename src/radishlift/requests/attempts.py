"""One attempt on a taken slot, and what is learned from its result."""

from radishlift.core.errors import ErrorKind, Failure
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.calls import Call
from radishlift.requests.dispatch import Dispatched, Dispatcher
from radishlift.requests.places import Places
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_views import SlotView
from radishlift.requests.targets import TargetList
from radishlift.services.host_knowledge import SendVerdict


class Attempts:
    """Dispatches and keeps the estimates and the health up to date."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        places: Places,
        targets: TargetList,
        settings: RequestSettings,
    ) -> None:
        self._dispatcher = dispatcher
        self._places = places
        self._targets = targets
        self._settings = settings

    async def run(
        self,
        view: SlotView,
        call: Call,
        limit_ms: int,
    ) -> ServiceAnswer | Failure:
        """Runs a call on a taken slot."""
        dispatched = await self._dispatcher.dispatch(view, call, limit_ms)
        self._learn(view, call, dispatched)
        call.late = dispatched.late
        is_failure = isinstance(dispatched.answer, Failure)
        if is_failure and dispatched.verdict is not SendVerdict.outdated:
            call.excluded.add(view.executor_id)
        return dispatched.answer

    def _learn(
        self,
        view: SlotView,
        call: Call,
        dispatched: Dispatched,
    ) -> None:
        if dispatched.verdict is not SendVerdict.allowed:
            # Nothing was sent: no fault of the executor.
            return
        service = call.request.service
        times = self._places.times
        is_good = not isinstance(dispatched.answer, Failure)
        typical_ms = times.typical_ms(service, call.rank)
        if is_good:
            times.observe(service, call.rank, dispatched.elapsed_ms)
            limit_ms = typical_ms * self._settings.eject_slow_ratio
            is_good = not typical_ms or dispatched.elapsed_ms <= limit_ms
        elif _is_short_wait(dispatched, times.likely_ms(service, call.rank)):
            # The caller's deadline was short; no fault of the executor.
            return
        self._places.health(service).observe(
            view.executor_id,
            len(self._targets.listed(service)),
            call.service.max_ejected_ratio,
            is_good=is_good,
        )


def _is_short_wait(dispatched: Dispatched, likely_ms: float) -> bool:
    if not isinstance(dispatched.answer, Failure):
        return False
    if dispatched.answer.kind is ErrorKind.deadline_passed:
        return True
    is_timed_out = dispatched.late is not None
    return is_timed_out and dispatched.elapsed_ms < likely_ms


__all__ = ('Attempts',)
