"""A leader's conversation with one target: lease, lists and orders."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol

from radishlift.cell.leases import TargetLease
from radishlift.cell.ports import (
    HoldOrder,
    HoldReport,
    StartOrder,
    StartVerdict,
    TargetCalls,
    TargetRef,
)
from radishlift.cell.settings import CellSettings
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.logs import log_event
from radishlift.steps.ids import Fence, Life, TargetId, TaskKey
from radishlift.steps.targets import Target, TargetState

_RAN = frozenset((StartVerdict.started, StartVerdict.superseded))


class SessionListener(Protocol):
    """What a session tells the scheduler."""

    def on_report(self, session: 'TargetSession', report: HoldReport) -> None:
        """Takes a target's lists."""

    def on_started(self, key: TaskKey) -> None:
        """Takes a task that a target has begun."""

    def on_not_started(
        self,
        session: 'TargetSession',
        key: TaskKey,
        attempt: int,
        verdict: StartVerdict,
    ) -> None:
        """Takes an attempt that surely never runs."""

    def on_lapsed(self, session: 'TargetSession') -> None:
        """Takes the end of all attempts of a target that does not answer."""

    def on_reachable(self, session: 'TargetSession') -> None:
        """Takes a target that answers, or not any more."""

    def on_fenced(self) -> None:
        """Takes the proof that a later leader gives orders."""

    async def committed(self) -> None:
        """Waits until all changes so far are committed."""


@dataclass(frozen=True, slots=True)
class SessionContext:
    """What all sessions of a leader share."""

    calls: TargetCalls
    listener: SessionListener
    settings: CellSettings
    clock: Clock
    fence: Fence
    max_lease_ms: int
    may_renew: Callable[[], bool]


@dataclass(slots=True)
class _Orders:
    """Attempts that the target may not list yet, or not any more."""

    starting: dict[TaskKey, int] = field(default_factory=dict)
    listed_from_ms: dict[TaskKey, int] = field(default_factory=dict)
    stopping: set[tuple[TaskKey, int]] = field(default_factory=set)
    # Unanswered starts, which the target may still carry out.
    doubtful: set[tuple[TaskKey, int]] = field(default_factory=set)


class TargetSession:
    """Keeps the lease of a target and reads its lists while it is used."""

    def __init__(self, target: Target, context: SessionContext) -> None:
        self.target = target
        self.life: Life | None = None
        self.is_synced = False
        self.sent_at_ms = 0
        self._context = context
        self._lease = TargetLease(
            context.settings,
            context.max_lease_ms,
            context.clock.monotonic_ms(),
        )
        self._orders = _Orders()
        self._ended_cursor = 0
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._spawn(self._run())

    @property
    def target_id(self) -> TargetId:
        """Returns the target's id."""
        return self.target.entry.target_id

    def close(self) -> None:
        """Ends the conversation; the target is left as it is."""
        for task in self._tasks:
            task.cancel()

    def wake(self) -> None:
        """Looks at the target soon."""
        self._wake.set()

    def is_starting(self, key: TaskKey, attempt: int) -> bool:
        """Tells whether an order for an attempt is under way."""
        return self._orders.starting.get(key) == attempt

    def was_started_before(self, key: TaskKey, sent_at_ms: int) -> bool:
        """Tells whether a list asked for at this time must show a task."""
        return self._orders.listed_from_ms.get(key, 0) < sent_at_ms

    def forget(self, key: TaskKey) -> None:
        """Drops what is known of the orders for a task."""
        self._orders.listed_from_ms.pop(key, None)

    def expect(self, key: TaskKey, attempt: int) -> None:
        """Notes that an attempt will be started here."""
        self._orders.starting[key] = attempt

    def unexpect(self, key: TaskKey) -> None:
        """Notes that an expected attempt is not started after all."""
        self._orders.starting.pop(key, None)

    def start(self, order: StartOrder) -> None:
        """Starts an attempt; the outcome reaches the listener."""
        self._orders.starting[order.key] = order.attempt
        self._spawn(self._start(order))

    def stop(self, key: TaskKey, attempt: int) -> None:
        """Stops an attempt, or bars it; its end will be listed."""
        if (key, attempt) in self._orders.stopping:
            return
        self._orders.stopping.add((key, attempt))
        self._spawn(self._stop_until_answered(key, attempt))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def _ref(self) -> TargetRef:
        return TargetRef(self.target_id, self.target.entry.address)

    def _now_ms(self) -> int:
        return self._context.clock.monotonic_ms()

    async def _run(self) -> None:
        while True:
            if self.is_synced and not self.target.bookings:
                self._wake.clear()
                await self._wake.wait()
            await self._look()

    async def _look(self) -> None:
        context = self._context
        settings = context.settings
        sent_at_ms = self._now_ms()
        until_ms = None
        if context.may_renew() and await self._bar_doubtful():
            until_ms = self._lease.grant(sent_at_ms)
        wait_ms = settings.hold_wait_ms if until_ms is not None else 0
        order = HoldOrder(context.fence, self._ended_cursor, until_ms, wait_ms)
        answer = await context.calls.hold(self._ref, order)
        if isinstance(answer, HoldReport):
            await self._take(answer, sent_at_ms)
        elif answer is StartVerdict.fenced:
            context.listener.on_fenced()
            await asyncio.sleep(settings.hold_retry_ms / 1000)
        else:
            self._note_unreachable(answer)
            await asyncio.sleep(settings.hold_retry_ms / 1000)

    async def _take(self, report: HoldReport, sent_at_ms: int) -> None:
        self._lease.learn(report.clock_ms, self._now_ms())
        if report.life is not None and report.life != self.life:
            if self.life is not None:
                # Numbers of ends begin anew with each process.
                self._ended_cursor = 0
            self.life = report.life
        self.sent_at_ms = sent_at_ms
        self.is_synced = True
        self._set_reachable(is_reachable=True)
        self._context.listener.on_report(self, report)
        if report.last_number > self._ended_cursor:
            await self._context.listener.committed()
            self._ended_cursor = report.last_number

    def _note_unreachable(self, answer: StartVerdict | Failure) -> None:
        reason = answer.reason if isinstance(answer, Failure) else answer.value
        if self.target.is_reachable:
            log_event('target_lost', target=self.target_id, reason=reason)
        self._set_reachable(is_reachable=False)
        is_over = self._lease.has_lapsed(self._now_ms())
        if is_over or answer is StartVerdict.other_process:
            self._orders = _Orders(doubtful=self._orders.doubtful)
            self._context.listener.on_lapsed(self)

    async def _bar_doubtful(self) -> bool:
        """Bars late starts before a lease lets them run again."""
        if self.target.is_reachable:
            return True
        for key, attempt in tuple(self._orders.doubtful):
            answer = await self._context.calls.stop(
                self._ref,
                key,
                attempt,
                self._context.fence,
            )
            if isinstance(answer, Failure):
                return False
            self._orders.doubtful.discard((key, attempt))
        return True

    def _set_reachable(self, *, is_reachable: bool) -> None:
        if self.target.is_reachable != is_reachable:
            self.target.is_reachable = is_reachable
            self._context.listener.on_reachable(self)

    async def _start(self, order: StartOrder) -> None:
        is_doubtful = False
        for _ in range(self._context.settings.order_retries_count):
            if self.target.entry.state is not TargetState.ready:
                break
            if not self.is_starting(order.key, order.attempt):
                return
            answer = await self._context.calls.start(
                self._ref,
                self._renewed(order),
            )
            if isinstance(answer, Failure):
                is_doubtful = True
                self._orders.doubtful.add((order.key, order.attempt))
                log_event(
                    'start_unanswered',
                    task=order.key,
                    attempt=order.attempt,
                    target=self.target_id,
                    reason=answer.reason,
                )
                continue
            if answer in _RAN:
                self._orders.doubtful.discard((order.key, order.attempt))
            await self._finish_start(order, answer, is_doubtful)
            return
        await self._finish_start(order, StartVerdict.refused, is_doubtful)

    def _renewed(self, order: StartOrder) -> StartOrder:
        until_ms = self._lease.current_until_ms(self._now_ms())
        return StartOrder(
            order.key,
            order.attempt,
            order.text,
            until_ms,
            order.fence,
            order.checkpoint,
            order.ticket,
        )

    async def _finish_start(
        self,
        order: StartOrder,
        verdict: StartVerdict,
        is_doubtful: bool,
    ) -> None:
        if verdict is StartVerdict.fenced:
            self._context.listener.on_fenced()
            return
        ran = verdict in _RAN
        if not ran and is_doubtful:
            # An unanswered copy may still arrive: bar the attempt first.
            await self._stop_until_answered(order.key, order.attempt)
            ran = True
        self._orders.listed_from_ms[order.key] = self._now_ms()
        self._orders.starting.pop(order.key, None)
        self.wake()
        if verdict in _RAN:
            self._context.listener.on_started(order.key)
        if not ran:
            self._context.listener.on_not_started(
                self,
                order.key,
                order.attempt,
                verdict,
            )

    async def _stop_until_answered(self, key: TaskKey, attempt: int) -> None:
        while True:
            answer = await self._context.calls.stop(
                self._ref,
                key,
                attempt,
                self._context.fence,
            )
            if answer is StartVerdict.started:
                self._orders.doubtful.discard((key, attempt))
                break
            if answer is StartVerdict.fenced:
                self._context.listener.on_fenced()
                break
            if self._lease.has_lapsed(self._now_ms()):
                break
            await asyncio.sleep(self._context.settings.hold_retry_ms / 1000)
        self._orders.stopping.discard((key, attempt))
        self.wake()


__all__ = ('SessionContext', 'SessionListener', 'TargetSession')
