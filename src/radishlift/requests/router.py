"""Routing of requests from callers to executors."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.partitions.api import OwnedPartitions, PartitionDirectory
from radishlift.requests.admission import Admission
from radishlift.requests.answer_streams import AnswerStreams
from radishlift.requests.api import ServiceAnswer, ServiceRequest
from radishlift.requests.attempts import AttemptRunner
from radishlift.requests.call_scheduler import CallScheduler, Destination
from radishlift.requests.calls import Call
from radishlift.requests.dispatch import Dispatcher
from radishlift.requests.executor_client import ExecutorClient
from radishlift.requests.forwarding import Forwarder
from radishlift.requests.homes import KeyHomeServer
from radishlift.requests.key_reports import KeyReporter
from radishlift.requests.keyed import KeyedRequests
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.load_exchange import LoadExchange
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_views import SlotView
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.wire.network import PeerNetwork

_MAX_ATTEMPTS: Final = 4
_DRAIN_POLL_S: Final = 0.02
# A forward that a peer refuses for these reasons is not counted as an attempt.
_FORWARD_REFUSALS: Final = frozenset(
    (
        ErrorKind.draining,
        ErrorKind.overloaded,
        ErrorKind.peer_unavailable,
        ErrorKind.quota_exceeded,
        ErrorKind.no_configuration,
    )
)


@dataclass(frozen=True, slots=True)
class RouterParts:
    """Dependencies of the request router."""

    slots: SlotAllotments
    slot_parts: SlotParts
    network: PeerNetwork
    partitions: OwnedPartitions
    directory: PartitionDirectory

    @property
    def clock(self) -> Clock:
        """Returns the clock of this daemon."""
        return self.slot_parts.clock

    @property
    def limits(self) -> ServiceLimits:
        """Returns the limits of the services."""
        return self.slot_parts.limits


class RequestRouter:
    """Handles requests from admission to the answer."""

    def __init__(self, parts: RouterParts, settings: RequestSettings) -> None:
        self._parts = parts
        self._settings = settings
        self._running_tasks: set[asyncio.Task[ServiceAnswer | Failure]] = set()
        self._loop_tasks: set[asyncio.Task[None]] = set()
        self.admission = Admission(parts.limits, parts.clock, settings)
        self.load_exchange = LoadExchange(
            parts.network,
            parts.slots,
            parts.slot_parts,
            settings,
        )
        self.scheduler = CallScheduler(
            parts.slots,
            self.load_exchange.load_table,
            parts.clock,
            settings,
        )
        self.client = ExecutorClient(
            settings.connections_per_executor,
            settings.max_answer_bytes,
            parts.slot_parts.targets.knowledge,
        )
        self.dispatcher = Dispatcher(
            self.client,
            parts.limits,
            parts.clock,
            settings,
        )
        self.dispatcher.on_slot_freed = self.scheduler.serve_queue
        self._attempts = AttemptRunner(
            self.dispatcher,
            self.scheduler,
            parts.slot_parts.targets,
            settings,
        )
        self.key_reporter = KeyReporter(
            parts.network, parts.directory, settings
        )
        self.answer_streams = AnswerStreams(parts.network, settings)
        self._forwarder = Forwarder(
            parts.network,
            self.load_exchange.load_table,
            self.scheduler,
            self._attempts,
            self.admission,
            self.answer_streams,
            self.key_reporter,
        )
        self.load_exchange.connect(
            self.scheduler, self._forwarder.forwarded_counts
        )
        knowledge = parts.slot_parts.targets.knowledge
        knowledge.subscribe(self.scheduler.serve_queues)
        self.key_home_server = KeyHomeServer(
            parts.network,
            parts.partitions,
            parts.clock,
            settings,
        )
        self.keyed_requests = KeyedRequests(
            parts.network,
            parts.directory,
            self.key_reporter,
            settings,
            self._route,
        )

    async def start(self) -> None:
        """Opens the connection pool and starts the background loops."""
        await self.client.start()
        await self._parts.slot_parts.targets.refresh()
        loops = (
            self._parts.slot_parts.targets.run(),
            self.load_exchange.run_slot_sync(self.scheduler),
            self.load_exchange.run_load_publisher(self.scheduler),
        )
        for loop in loops:
            self._loop_tasks.add(asyncio.create_task(loop))

    async def stop(self) -> None:
        """Stops at once; `start_drain` starts a planned stop."""
        for task in self._loop_tasks:
            task.cancel()
        self.key_reporter.stop()
        await self.client.stop()

    async def handle(self, request: ServiceRequest) -> ServiceAnswer | Failure:
        """Returns the answer of an executor, or a failure with its outcome."""
        call = self.admission.admit(request)
        if isinstance(call, Failure):
            return call
        task = asyncio.create_task(self._run(call))
        self._running_tasks.add(task)
        task.add_done_callback(self._running_tasks.discard)
        # A request that has a slot or an intent continues when its caller
        # disconnects, so that its outcome is still recorded.
        return await asyncio.shield(task)

    def start_drain(self) -> None:
        """Refuses new requests; requests in flight continue."""
        self.admission.is_draining = True

    async def wait_until_drained(self, timeout_ms: int) -> bool:
        """Waits until no request is in flight and all slots are returned.

        Returns False after a timeout.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await _wait_until(lambda: not self.admission.in_flight_count)
                self._parts.slots.is_draining = True
                await _wait_until(lambda: self._is_drained)
        except TimeoutError:
            return False
        return True

    @property
    def _is_drained(self) -> bool:
        is_idle = not self.key_reporter.pending_count
        return is_idle and self._parts.slots.is_released

    async def _run(self, call: Call) -> ServiceAnswer | Failure:
        try:
            if call.request.idempotency_key:
                refusal = self._refuse_early(call)
                return refusal or await self.keyed_requests.run(call)
            return await self._route(call)
        finally:
            self.admission.release(call)

    def _refuse_early(self, call: Call) -> Failure | None:
        # Avoids a journaled intent for a request that would be refused anyway.
        if self.scheduler.idle_count(call.request.service):
            return None
        return self.scheduler.check_wait(call)

    async def _route(self, call: Call) -> ServiceAnswer | Failure:
        self.scheduler.retry_budget.earn(
            call.request.service,
            call.service.retry_budget_ratio,
        )
        while True:
            destination = await self.scheduler.find_destination(call)
            if isinstance(destination, Failure):
                return call.failure_for_caller(destination)
            outcome = await self._run_attempt(destination, call)
            if not isinstance(outcome, Failure):
                return outcome
            call.record_failure(outcome)
            if not self._may_continue(destination, call, outcome):
                return call.failure_for_caller(outcome)

    async def _run_attempt(
        self,
        destination: Destination,
        call: Call,
    ) -> ServiceAnswer | Failure:
        timeout_ms = self._attempt_timeout_ms(call)
        if isinstance(destination, SlotView):
            self.scheduler.retry_budget.earn(
                destination.executor_id,
                call.service.retry_budget_ratio,
            )
            return await self._attempts.run(destination, call, timeout_ms)
        return await self._forwarder.forward(destination, call, timeout_ms)

    def _attempt_timeout_ms(self, call: Call) -> int:
        remaining_ms = max(1, call.remaining_ms)
        if not call.may_retry or call.attempts_count:
            return remaining_ms
        # Leaves time for a second attempt if the executor does not answer.
        likely_ms = self.scheduler.service_times.likely_ms(
            call.request.service,
            call.rank,
        )
        return min(remaining_ms, max(remaining_ms // 2, int(2 * likely_ms)))

    def _may_continue(
        self, destination: Destination, call: Call, failure: Failure
    ) -> bool:
        if call.remaining_ms <= 0:
            return False
        if failure.answer.outcome is Outcome.not_run:
            is_refusal = failure.kind in _FORWARD_REFUSALS
            if not (isinstance(destination, str) and is_refusal):
                call.attempts_count += 1
            return call.attempts_count < _MAX_ATTEMPTS
        call.attempts_count += 1
        if not call.may_retry or call.attempts_count >= _MAX_ATTEMPTS:
            return False
        executor = (
            destination.executor_id
            if isinstance(destination, SlotView)
            else None
        )
        return self.scheduler.retry_budget.spend(call.request.service, executor)


async def _wait_until(is_met: Callable[[], bool]) -> None:
    while True:
        if is_met():
            return
        await asyncio.sleep(_DRAIN_POLL_S)


__all__ = ('RequestRouter', 'RouterParts')
