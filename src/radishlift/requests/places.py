"""Finds a place for a call: a local slot, a peer, or a turn in the queue."""

import asyncio
from collections import defaultdict

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, ExecutorId, ServiceName
from radishlift.requests.calls import Call
from radishlift.requests.executor_health import ExecutorHealth
from radishlift.requests.loads import LoadBoard
from radishlift.requests.retry_budget import RetryBudget
from radishlift.requests.service_times import ServiceTimes
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_views import SlotView
from radishlift.requests.slots import SlotAllotments
from radishlift.requests.wait_queue import Waiter, WaitQueue
from radishlift.requests.waits import expected_wait_ms, wait_limit

MAX_FORWARDS_COUNT = 3

Place = SlotView | DaemonId


class Places:
    """Hands out slots, peers and turns; sheds what can't be in time."""

    def __init__(
        self,
        slots: SlotAllotments,
        board: LoadBoard,
        clock: Clock,
        settings: RequestSettings,
    ) -> None:
        self.slots = slots
        self.times = ServiceTimes()
        self.budget = RetryBudget(settings.retry_burst_count)
        self._board = board
        self._clock = clock
        self._settings = settings
        self._queues: defaultdict[ServiceName, WaitQueue]
        self._queues = defaultdict(WaitQueue)
        self._health: dict[ServiceName, ExecutorHealth] = {}

    def health(self, service: ServiceName) -> ExecutorHealth:
        """Returns the health of the executors of a service."""
        if service not in self._health:
            health = ExecutorHealth(self._clock, self._settings)
            self._health[service] = health
        return self._health[service]

    def waiting_count(self, service: ServiceName) -> int:
        """Counts the waiting requests of a service."""
        return len(self._queues[service])

    def idle_count(self, service: ServiceName) -> int:
        """Counts the idle slots on executors that are in use."""
        if self.waiting_count(service):
            return 0
        excluded = self.health(service).excluded(may_probe=False)
        return self.slots.idle_count(service, excluded)

    def take(self, call: Call) -> SlotView | None:
        """Takes a local slot."""
        service = call.request.service
        health = self.health(service)
        out = health.excluded(may_probe=call.may_retry)
        view = self.slots.take(service, out | call.excluded)
        if view is not None:
            health.begin(view.executor_id)
        return view

    def check(self, call: Call) -> Failure | None:
        """Refuses a call that would wait too long, or beyond its deadline."""
        service = call.request.service
        queue = self._queues[service]
        held_count = max(1, self.slots.held_count(service))
        wait_ms = expected_wait_ms(call, queue, self.times, held_count)
        limit = wait_limit(call, self.times)
        likely_ms = self.times.likely_ms(service, call.rank)
        if wait_ms <= limit.limit_ms and likely_ms <= call.left_ms:
            return None
        reason = f'{len(queue)} requests wait, {call.left_ms} ms left'
        return Failure(ErrorKind.overloaded, reason)

    async def find(self, call: Call) -> Place | Failure:
        """Finds a place at once or waits for one until the deadline."""
        if call.left_ms <= 0:
            return Failure(ErrorKind.deadline_passed, 'no time is left')
        place = self.take(call) or self._choose_peer(call)
        if place is not None:
            return place
        refusal = self.check(call)
        if refusal is not None:
            return refusal
        queue = self._queues[call.request.service]
        waiter = queue.add(
            call,
            call.service.max_queue_count,
            self._clock.monotonic_ms()
            + wait_limit(call, self.times).ages_after_ms,
        )
        if isinstance(waiter, Failure):
            return waiter
        return await self._wait(call, queue, waiter)

    def pump(self, service: ServiceName) -> None:
        """Gives free places to waiting requests in their order."""
        queue = self._queues[service]
        while queue:
            now_ms = self._clock.monotonic_ms()
            waiter = queue.next(now_ms)
            place = self._place_for(waiter.call)
            if place is None:
                return
            if isinstance(place, Failure):
                queue.discard(waiter)
            else:
                queue.take_turn(waiter, now_ms)
            waiter.future.set_result(place)

    def pump_all(self) -> None:
        """Gives free places to the waiting requests of all services."""
        for service in tuple(self._queues):
            self.pump(service)

    def keep_only(self, listed: dict[ExecutorId, ServiceName]) -> None:
        """Forgets what is known of executors that no longer exist."""
        self.budget.keep_only({*listed, *listed.values()})
        for health in self._health.values():
            health.keep_only(frozenset(listed))

    def _place_for(self, call: Call) -> Place | Failure | None:
        service = call.request.service
        if call.left_ms < self.times.likely_ms(service, call.rank):
            # Running it would fill a slot without an answer in time.
            reason = f'{call.left_ms} ms left after waiting'
            return Failure(ErrorKind.overloaded, reason)
        return self.take(call) or self._choose_peer(call)

    def _choose_peer(self, call: Call) -> DaemonId | None:
        if call.forwards_count >= MAX_FORWARDS_COUNT:
            return None
        if len(call.request.body) > self._settings.max_forward_bytes:
            return None
        return self._board.choose(call.request.service)

    async def _wait(
        self,
        call: Call,
        queue: WaitQueue,
        waiter: Waiter,
    ) -> Place | Failure:
        max_wait_ms = call.service.max_wait_ms
        timeout_ms = min(call.left_ms, max_wait_ms)
        try:
            await asyncio.wait({waiter.future}, timeout=timeout_ms / 1000)
        except asyncio.CancelledError:
            self._return_place(waiter)
            raise
        finally:
            queue.discard(waiter)
        if waiter.future.done():
            place: Place | Failure = waiter.future.result()
            return place
        if call.left_ms > 0:
            reason = f'no slot within {max_wait_ms} ms'
            return Failure(ErrorKind.overloaded, reason)
        return Failure(ErrorKind.deadline_passed, 'no slot before the deadline')

    def _return_place(self, waiter: Waiter) -> None:
        place = waiter.future.result() if waiter.future.done() else None
        if isinstance(place, SlotView):
            place.busy_count -= 1
            self.pump(place.service)


__all__ = ('MAX_FORWARDS_COUNT', 'Place', 'Places')
