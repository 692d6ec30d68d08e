"""Routes requests of callers to executors."""

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
from radishlift.requests.attempts import Attempts
from radishlift.requests.calls import Call
from radishlift.requests.dispatch import Dispatcher
from radishlift.requests.executor_client import ExecutorClient
from radishlift.requests.forwarding import Forwarder
from radishlift.requests.homes import HomeServer
from radishlift.requests.key_reports import KeyReports
from radishlift.requests.keyed import KeyedRequests
from radishlift.requests.limits import ServiceLimits
from radishlift.requests.load_exchange import LoadExchange
from radishlift.requests.places import Place, Places
from radishlift.requests.settings import RequestSettings
from radishlift.requests.slot_views import SlotView
from radishlift.requests.slots import SlotAllotments, SlotParts
from radishlift.wire.network import PeerNetwork

_MAX_ATTEMPTS: Final = 4
_DRAIN_LOOK_S: Final = 0.02
_NOT_ADMITTED_FORWARD: Final = frozenset(
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
    """What the router works with."""

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
    """Handles requests from admission to answer."""

    def __init__(self, parts: RouterParts, settings: RequestSettings) -> None:
        self._parts = parts
        self._settings = settings
        self._running: set[asyncio.Task[ServiceAnswer | Failure]] = set()
        self._loops: set[asyncio.Task[None]] = set()
        self.admission = Admission(parts.limits, parts.clock, settings)
        self.exchange = LoadExchange(
            parts.network,
            parts.slots,
            parts.slot_parts,
            settings,
        )
        self.places = Places(
            parts.slots,
            self.exchange.board,
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
        self.dispatcher.on_free = self.places.pump
        self._attempts = Attempts(
            self.dispatcher,
            self.places,
            parts.slot_parts.targets,
            settings,
        )
        self.reports = KeyReports(parts.network, parts.directory, settings)
        self.streams = AnswerStreams(parts.network, settings)
        self._forwarder = Forwarder(
            parts.network,
            self.exchange.board,
            self.places,
            self._attempts,
            self.admission,
            self.streams,
            self.reports,
        )
        self.exchange.connect(self.places, self._forwarder.out_counts)
        knowledge = parts.slot_parts.targets.knowledge
        knowledge.subscribe(self.places.pump_all)
        self.homes = HomeServer(
            parts.network,
            parts.partitions,
            parts.clock,
            settings,
        )
        self.keyed = KeyedRequests(
            parts.network,
            parts.directory,
            self.reports,
            settings,
            self._route,
        )

    async def start(self) -> None:
        """Opens the pool and starts to hold slots and to send loads."""
        await self.client.start()
        await self._parts.slot_parts.targets.refresh()
        loops = (
            self._parts.slot_parts.targets.run(),
            self.exchange.run_slots(self.places),
            self.exchange.run_summaries(self.places),
        )
        for each in loops:
            self._loops.add(asyncio.create_task(each))

    async def stop(self) -> None:
        """Ends at once; see `begin_drain` for a planned stop."""
        for each in self._loops:
            each.cancel()
        self.reports.stop()
        await self.client.stop()

    async def handle(self, request: ServiceRequest) -> ServiceAnswer | Failure:
        """Answers a request, or says why not and what is known."""
        call = self.admission.admit(request)
        if isinstance(call, Failure):
            return call
        task = asyncio.create_task(self._run(call))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        # A caller that goes away does not end a request whose slot or
        # intent is taken: its outcome is still recorded.
        return await asyncio.shield(task)

    def begin_drain(self) -> None:
        """Refuses new requests; those in flight go on."""
        self.admission.is_draining = True

    async def drained(self, timeout_ms: int) -> bool:
        """Waits until nothing is in flight and all slots are given up."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await _until(lambda: not self.admission.in_flight_count)
                self._parts.slots.is_draining = True
                await _until(lambda: self._is_drained)
        except TimeoutError:
            return False
        return True

    @property
    def _is_drained(self) -> bool:
        is_idle = not self.reports.pending_count
        return is_idle and self._parts.slots.is_released

    async def _run(self, call: Call) -> ServiceAnswer | Failure:
        try:
            if call.request.idempotency_key:
                refusal = self._refuse_early(call)
                return refusal or await self.keyed.run(call)
            return await self._route(call)
        finally:
            self.admission.end(call)

    def _refuse_early(self, call: Call) -> Failure | None:
        # Spares the journal an intent that would be taken back.
        if self.places.idle_count(call.request.service):
            return None
        return self.places.check(call)

    async def _route(self, call: Call) -> ServiceAnswer | Failure:
        self.places.budget.earn(
            call.request.service,
            call.service.retry_budget_ratio,
        )
        while True:
            place = await self.places.find(call)
            if isinstance(place, Failure):
                return call.known_outcome(place)
            outcome = await self._try(place, call)
            if not isinstance(outcome, Failure):
                return outcome
            call.note(outcome)
            if not self._may_go_on(place, call, outcome):
                return call.known_outcome(outcome)

    async def _try(
        self,
        place: Place,
        call: Call,
    ) -> ServiceAnswer | Failure:
        limit_ms = self._limit_ms(call)
        if isinstance(place, SlotView):
            self.places.budget.earn(
                place.executor_id,
                call.service.retry_budget_ratio,
            )
            return await self._attempts.run(place, call, limit_ms)
        return await self._forwarder.forward(place, call, limit_ms)

    def _limit_ms(self, call: Call) -> int:
        left_ms = max(1, call.left_ms)
        if not call.may_retry or call.attempts_count:
            return left_ms
        # Leaves time for a second attempt when an executor hangs.
        likely_ms = self.places.times.likely_ms(
            call.request.service,
            call.rank,
        )
        return min(left_ms, max(left_ms // 2, int(2 * likely_ms)))

    def _may_go_on(self, place: Place, call: Call, failure: Failure) -> bool:
        if call.left_ms <= 0:
            return False
        if failure.answer.outcome is Outcome.not_run:
            is_refusal = failure.kind in _NOT_ADMITTED_FORWARD
            if not (isinstance(place, str) and is_refusal):
                call.attempts_count += 1
            return call.attempts_count < _MAX_ATTEMPTS
        call.attempts_count += 1
        if not call.may_retry or call.attempts_count >= _MAX_ATTEMPTS:
            return False
        executor = place.executor_id if isinstance(place, SlotView) else None
        return self.places.budget.spend(call.request.service, executor)


async def _until(holds: Callable[[], bool]) -> None:
    while True:
        if holds():
            return
        await asyncio.sleep(_DRAIN_LOOK_S)


__all__ = ('RequestRouter', 'RouterParts')
