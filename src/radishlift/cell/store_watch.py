"""Watches whether the store answers; ends open calls when it is lost."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Final

from radishlift.cell.ports import CellStore
from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.outages.contact import StoreContact
from radishlift.outages.settings import OutageSettings

_NO_ANSWER_KINDS: Final = frozenset(
    (ErrorKind.store_unavailable, ErrorKind.store_outcome_unknown),
)


@dataclass(slots=True, eq=False)
class _OpenCall:
    """A call without an answer; `scope` ends it when the store is lost."""

    sent_at_ms: int
    patience_ms: int
    scope: asyncio.Timeout
    timer: asyncio.TimerHandle | None = None


class StoreWatch:
    """Probes a store whose answers are missing, until it answers again.

    The store is recognised as lost only while `run` runs.
    """

    def __init__(
        self, store: CellStore, settings: OutageSettings, clock: Clock
    ) -> None:
        self._store = store
        self.settings = settings
        self._clock = clock
        self._contact = StoreContact(settings)
        self._open_calls: set[_OpenCall] = set()
        self._needs_probe = asyncio.Event()

    @property
    def is_lost(self) -> bool:
        """Returns whether the store has ceased to answer."""
        return self._contact.is_lost

    @property
    def is_doubted(self) -> bool:
        """Returns whether the store is lost or is being probed."""
        return self.is_lost or self._needs_probe.is_set()

    @property
    def outage_ms(self) -> int:
        """Returns the age of the outage; 0 without one."""
        if not self.is_lost:
            return 0
        return self._contact.outage_ms(self._clock.monotonic_ms())

    async def run(self) -> None:
        """Probes the store whenever its answers are missing."""
        while True:
            await self._needs_probe.wait()
            if await self._check():
                self._needs_probe.clear()

    @contextmanager
    def track(self, scope: asyncio.Timeout, wait_ms: int) -> Iterator[None]:
        """Watches a call, and lets `scope` expire if the store is lost.

        The store may take `wait_ms` besides the usual time for its answer.
        """
        patience_ms = wait_ms + self.settings.patience_ms
        call = _OpenCall(self._clock.monotonic_ms(), patience_ms, scope)
        self._open_calls.add(call)
        self._set_timer(call, patience_ms)
        try:
            yield
        finally:
            self._open_calls.discard(call)
            if call.timer is not None:
                call.timer.cancel()

    def record_contact(self) -> None:
        """Records that a part of an answer has arrived."""
        self._contact.record_answer(self._clock.monotonic_ms())

    def record_outcome(self, outcome: object) -> None:
        """Records the end of a call; a failed one leads to a probe."""
        if isinstance(outcome, Failure) and outcome.kind in _NO_ANSWER_KINDS:
            self._needs_probe.set()
        else:
            self._contact.record_answer(self._clock.monotonic_ms())

    def _set_timer(self, call: _OpenCall, wait_ms: int) -> None:
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(wait_ms / 1000, self._check_overdue, call)

    def _check_overdue(self, call: _OpenCall) -> None:
        wait_ms = self._contact.probe_due_in_ms(
            call.sent_at_ms, call.patience_ms, self._clock.monotonic_ms()
        )
        if not wait_ms:
            self._needs_probe.set()
        self._set_timer(call, wait_ms or call.patience_ms)

    async def _check(self) -> bool:
        """Probes the store until it answers; returns False if inconclusive."""
        sent_at_ms = self._clock.monotonic_ms()
        failure = await self._store.probe(
            self.settings.probe_timeout_ms, self.settings.checked_parts_count
        )
        now_ms = self._clock.monotonic_ms()
        if failure is None:
            self._contact.record_answer(now_ms)
            return True
        if self._contact.is_late(sent_at_ms, now_ms):
            return False
        self._contact.record_failed_probe(sent_at_ms, now_ms)
        if self.is_lost:
            log_event('store_doubted', reason=failure.reason)
            self._end_calls()
            await self._wait_for_return()
        return True

    def _end_calls(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for call in self._open_calls:
            call.scope.reschedule(now_s)

    async def _wait_for_return(self) -> None:
        has_answered = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            probes: list[asyncio.Task[None]] = []
            while not has_answered.is_set():
                # Earlier probes go on: a slow store may answer them still.
                probes.append(
                    group.create_task(self._probe_again(has_answered))
                )
                now_ms = self._clock.monotonic_ms()
                gap_ms = self._contact.probe_gap_ms(now_ms)
                with suppress(TimeoutError):
                    async with asyncio.timeout(gap_ms / 1000):
                        await has_answered.wait()
            for probe in probes:
                probe.cancel()
        now_ms = self._clock.monotonic_ms()
        outage_ms = self._contact.outage_ms(now_ms)
        self._contact.record_answer(now_ms)
        log_event('store_trusted', outage_ms=outage_ms)

    async def _probe_again(self, has_answered: asyncio.Event) -> None:
        failure = await self._store.probe(self.settings.probe_timeout_ms, 1)
        if failure is None:
            has_answered.set()


__all__ = ('StoreWatch',)
