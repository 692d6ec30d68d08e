"""Choice of a destination for a call: a local slot or a peer."""

import asyncio
from collections import defaultdict

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, ExecutorId, ServiceName
from radishlift.requests.calls import Call
from radishlift.requests.executor_health import ExecutorHealth
from radishlift.requests.loads import LoadTable
from radishlift.requests.retry_budget import RetryBudget
from radishlift.requests.service_times import ServiceTimes
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_views import SlotView
from radishlift.requests.slots import SlotAllotments
from radishlift.requests.wait_queue import Waiter, WaitQueue
from radishlift.requests.waits import expected_wait_ms, wait_limit

MAX_FORWARDS_COUNT = 3

Destination = SlotView | DaemonId


class CallScheduler:
    """Assigns slots and peers to calls; queues or sheds the other calls."""

    def __init__(
        self,
        slots: SlotAllotments,
        load_table: LoadTable,
        clock: Clock,
        settings: RequestSettings,
    ) -> None:
        self.slots = slots
        self.service_times = ServiceTimes()
        self.retry_budget = RetryBudget(settings.retry_burst_count)
        self._load_table = load_table
        self._clock = clock
        self._settings = settings
        self._queues: defaultdict[ServiceName, WaitQueue]
        self._queues = defaultdict(WaitQueue)
        self._health: dict[ServiceName, ExecutorHealth] = {}

    def health_of(self, service: ServiceName) -> ExecutorHealth:
        """Returns the health of the executors of a service."""
        if service not in self._health:
            health = ExecutorHealth(self._clock, self._settings)
            self._health[service] = health
        return self._health[service]

    def waiting_count(self, service: ServiceName) -> int:
        """Returns the number of queued requests of a service."""
        return len(self._queues[service])

    def idle_count(self, service: ServiceName) -> int:
        """Returns the idle slots on healthy executors; 0 if requests wait."""
        if self.waiting_count(service):
            return 0
        excluded = self.health_of(service).excluded_executors(may_probe=False)
        return self.slots.idle_count(service, excluded)

    def take_slot(self, call: Call) -> SlotView | None:
        """Acquires a local slot; None if there is no usable one."""
        service = call.request.service
        health = self.health_of(service)
        ejected = health.excluded_executors(may_probe=call.may_retry)
        view = self.slots.take_slot(service, ejected | call.excluded)
        if view is not None:
            health.record_send(view.executor_id)
        return view

    def check_wait(self, call: Call) -> Failure | None:
        """Returns a failure if a call would wait too long.

        That is longer than the service allows, or until too late to be answered
        by its deadline.
        """
        service = call.request.service
        queue = self._queues[service]
        held_count = max(1, self.slots.held_count(service))
        wait_ms = expected_wait_ms(call, queue, self.service_times, held_count)
        limit = wait_limit(call, self.service_times)
        likely_ms = self.service_times.likely_ms(service, call.rank)
        if wait_ms <= limit.limit_ms and likely_ms <= call.remaining_ms:
            return None
        reason = f'{len(queue)} requests wait, {call.remaining_ms} ms left'
        return Failure(ErrorKind.overloaded, reason)

    async def find_destination(self, call: Call) -> Destination | Failure:
        """Returns a destination, after a wait in the queue if needed."""
        if call.remaining_ms <= 0:
            return Failure(ErrorKind.deadline_passed, 'the deadline has passed')
        destination = self.take_slot(call) or self._choose_peer(call)
        if destination is not None:
            return destination
        refusal = self.check_wait(call)
        if refusal is not None:
            return refusal
        queue = self._queues[call.request.service]
        waiter = queue.add(
            call,
            call.service.max_queue_count,
            self._clock.monotonic_ms()
            + wait_limit(call, self.service_times).ages_after_ms,
        )
        if isinstance(waiter, Failure):
            return waiter
        return await self._wait(call, queue, waiter)

    def serve_queue(self, service: ServiceName) -> None:
        """Assigns destinations to the queued requests of a service in order."""
        queue = self._queues[service]
        while queue:
            now_ms = self._clock.monotonic_ms()
            waiter = queue.next_waiter(now_ms)
            destination = self._destination_for(waiter.call)
            if destination is None:
                return
            if isinstance(destination, Failure):
                queue.discard(waiter)
            else:
                queue.serve(waiter, now_ms)
            waiter.future.set_result(destination)

    def serve_queues(self) -> None:
        """Assigns destinations to the queued requests of all services."""
        for service in tuple(self._queues):
            self.serve_queue(service)

    def keep_only(self, listed: dict[ExecutorId, ServiceName]) -> None:
        """Removes the state of executors and services that are not listed."""
        self.retry_budget.keep_only({*listed, *listed.values()})
        for health in self._health.values():
            health.keep_only(frozenset(listed))

    def _destination_for(self, call: Call) -> Destination | Failure | None:
        service = call.request.service
        if call.remaining_ms < self.service_times.likely_ms(service, call.rank):
            # It would occupy a slot and still miss its deadline.
            reason = f'{call.remaining_ms} ms left after waiting'
            return Failure(ErrorKind.overloaded, reason)
        return self.take_slot(call) or self._choose_peer(call)

    def _choose_peer(self, call: Call) -> DaemonId | None:
        if call.forwards_count >= MAX_FORWARDS_COUNT:
            return None
        if len(call.request.body) > self._settings.max_forward_bytes:
            return None
        return self._load_table.choose_peer(call.request.service)

    async def _wait(
        self,
        call: Call,
        queue: WaitQueue,
        waiter: Waiter,
    ) -> Destination | Failure:
        max_wait_ms = call.service.max_wait_ms
        timeout_ms = min(call.remaining_ms, max_wait_ms)
        try:
            await asyncio.wait({waiter.future}, timeout=timeout_ms / 1000)
        except asyncio.CancelledError:
            self._return_slot(waiter)
            raise
        finally:
            queue.discard(waiter)
        if waiter.future.done():
            destination: Destination | Failure = waiter.future.result()
            return destination
        if call.remaining_ms > 0:
            reason = f'no free slot within {max_wait_ms} ms'
            return Failure(ErrorKind.overloaded, reason)
        return Failure(
            ErrorKind.deadline_passed, 'no free slot before the deadline'
        )

    def _return_slot(self, waiter: Waiter) -> None:
        destination = waiter.future.result() if waiter.future.done() else None
        if isinstance(destination, SlotView):
            destination.busy_count -= 1
            self.serve_queue(destination.service)


__all__ = ('MAX_FORWARDS_COUNT', 'Destination', 'CallScheduler')
