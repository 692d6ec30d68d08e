"""Orders to one target, which are sent until their outcome is known."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from radishlift.cell.leases import TargetLease
from radishlift.cell.listing import ExpectedListing
from radishlift.cell.open_calls import OpenCalls
from radishlift.cell.ports import (
    HoldOrder,
    StartOrder,
    StartVerdict,
    TargetRef,
)
from radishlift.cell.session_context import SessionContext
from radishlift.core.errors import ErrorKind, Failure, TimedOut
from radishlift.core.logs import log_event
from radishlift.steps.ids import FencingToken, TaskKey
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import Target, TargetState

_RAN_VERDICTS: Final = frozenset(
    (StartVerdict.started, StartVerdict.superseded)
)

_OVERTAKEN: Final = Failure(
    ErrorKind.peer_unavailable, 'a later call reached the target first'
)

NotStartedCallback = Callable[[TaskKey, int, StartVerdict], None]


class TargetOrders:
    """Sends start and stop orders to a target.

    A start without an answer may still take effect seconds later. It is
    repeated, and then blocked by a stop if it remains unanswered. A start for
    which no connection was established has no effect. `open_starts` are the
    start calls without an answer yet, and `unresolved` the attempts whose
    starts the known process may still carry out.

    No call is repeated once the end of its attempt is known: a new process of
    the target knows nothing of it and would carry the call out. Nor is a start
    repeated once its attempt is to be stopped, or while others may lead.
    """

    def __init__(
        self,
        target: Target,
        lease: TargetLease,
        context: SessionContext,
        on_resolved: Callable[[], None],
        on_not_started: NotStartedCallback,
    ) -> None:
        self._target = target
        self._lease = lease
        self._context = context
        self._on_resolved = on_resolved
        self._on_not_started = on_not_started
        self.listing = ExpectedListing(target)
        self.fence = context.open_fence(target.entry.target_id)
        self.unresolved: set[tuple[TaskKey, int]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.open_starts = OpenCalls()

    @property
    def ref(self) -> TargetRef:
        """Returns the id and address of the target for calls."""
        entry = self._target.entry
        return TargetRef(entry.target_id, entry.address)

    def close(self) -> None:
        """Cancels all open orders."""
        for task in self._tasks:
            task.cancel()

    def start(self, order: StartOrder) -> None:
        """Starts an attempt."""
        self.listing.expect_start(order.key, order.attempt)
        self._spawn(self._start(order))

    def stop(self, key: TaskKey, attempt: int) -> None:
        """Stops an attempt or blocks its start; its end will be listed."""
        if not self.listing.is_stopping(key, attempt):
            self.listing.expect_stop(key, attempt)
            self._spawn(self._stop_until_answered(key, attempt))

    def send_fence(self) -> None:
        """Sends a call that does nothing but raise the token at the target."""
        self._spawn(_send_fence(self._context, self.ref, self.fence.token))

    async def block_unresolved_starts(self) -> bool:
        """Blocks unanswered starts; returns whether all are blocked."""
        for key, attempt in tuple(self.unresolved):
            if not await self._stop_once(key, attempt):
                return False
        return True

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(self._context.check_end)

    def _now_ms(self) -> int:
        return self._context.clock.monotonic_ms()

    async def _start(self, order: StartOrder) -> None:
        is_unresolved = False
        verdict = StartVerdict.refused
        for _ in range(self._context.settings.order_retries_count):
            may_repeat = self._context.may_repeat_starts()
            is_disputed = is_unresolved and not may_repeat
            if not self.listing.may_start(order.key, order.attempt):
                verdict = StartVerdict.late
                break
            if is_disputed or not _has_room(self._target):
                break
            answer = await self._send_start(order)
            if isinstance(answer, StartVerdict):
                verdict = answer
                break
            is_unresolved |= not answer.is_not_run
        await self._resolve_start(order, verdict, is_unresolved=is_unresolved)

    async def _send_start(self, order: StartOrder) -> StartVerdict | Failure:
        """Sends a start once, and records what its answer tells."""
        sent_at_ms = self._now_ms()
        previous_ms = self._target.record_start(
            order.key, order.attempt, sent_at_ms
        )
        self._lease.open_start(sent_at_ms)
        token = self.fence.token
        with self.open_starts.track():
            answer = await self._context.calls.start(
                self.ref, order.for_call(self._renew_lease(), token)
            )
        is_overtaken = self.fence.has_overtaken(answer, token)
        if is_overtaken:
            answer = _OVERTAKEN
        taken_at_ms: int | None = self._now_ms()
        if isinstance(answer, Failure):
            taken_at_ms = None if answer.is_not_run else sent_at_ms
        self._lease.close_start(sent_at_ms, taken_at_ms)
        # The process that the start was meant for did not get it.
        if taken_at_ms is None or answer is StartVerdict.other_process:
            self._target.retract_start(order.key, order.attempt, previous_ms)
        if isinstance(answer, Failure):
            if not is_overtaken:
                self._record_unanswered(order, answer)
            return answer
        # An unreachable target may have restarted, which only a poll shows.
        is_known = answer is not StartVerdict.other_process
        if is_known and self._target.is_reachable:
            self._target.record_answer(sent_at_ms)
        return answer

    def _renew_lease(self) -> int:
        # The lease of an unreachable target is not renewed, so that it expires.
        if self._target.is_reachable and self._context.may_renew_leases():
            self._lease.grant(self._now_ms())
        return self._lease.until_ms

    def _record_unanswered(self, order: StartOrder, failure: Failure) -> None:
        has_timed_out = isinstance(failure, TimedOut)
        if not failure.is_not_run:
            self.unresolved.add((order.key, order.attempt))
            self._target.record_unanswered(
                order.key, order.attempt, has_timed_out=has_timed_out
            )
            self.fence.raise_token()
        self._target.record_failure(self._now_ms(), has_timed_out=has_timed_out)
        # A poll shows whether the target is still reachable.
        self._on_resolved()
        log_event(
            'start_unanswered',
            task=order.key,
            attempt=order.attempt,
            target=self._target.entry.target_id,
            reason=failure.reason,
        )

    async def _resolve_start(
        self,
        order: StartOrder,
        verdict: StartVerdict,
        *,
        is_unresolved: bool,
    ) -> None:
        if verdict is StartVerdict.fenced:
            self._context.listener.end_term()
            return
        if not self.listing.is_starting(order.key, order.attempt):
            return
        may_be_listed = verdict in _RAN_VERDICTS
        if may_be_listed:
            self.unresolved.discard((order.key, order.attempt))
            self._target.confirm_start(
                order.key,
                order.attempt,
                None if is_unresolved else self._now_ms(),
            )
            self._context.listener.on_started(order.key)
        elif is_unresolved:
            # An unanswered start may still arrive, so the attempt is blocked.
            await self._stop_until_answered(order.key, order.attempt)
            may_be_listed = True
        self.listing.finish_start(order.key, order.attempt, self._now_ms())
        self._on_resolved()
        if not may_be_listed:
            self._on_not_started(order.key, order.attempt, verdict)

    async def _stop_until_answered(self, key: TaskKey, attempt: int) -> None:
        self.listing.expect_stop(key, attempt)
        while not await self._stop_once(key, attempt):
            if self._lease.has_expired(self._now_ms()):
                break
            await asyncio.sleep(self._context.settings.hold_retry_ms / 1000)
            if not self.listing.is_stopping(key, attempt):
                break
        self.listing.finish_stop(key, attempt)
        self._on_resolved()

    async def _stop_once(self, key: TaskKey, attempt: int) -> bool:
        token = self.fence.token
        answer = await self._context.calls.stop(self.ref, key, attempt, token)
        if self.fence.has_overtaken(answer, token):
            return False
        if isinstance(answer, Failure) and not answer.is_not_run:
            self.fence.raise_token()
        if answer is StartVerdict.fenced:
            self._context.listener.end_term()
        is_blocked = answer in {StartVerdict.started, StartVerdict.fenced}
        if is_blocked:
            self.unresolved.discard((key, attempt))
        return is_blocked


async def _send_fence(
    context: SessionContext, ref: TargetRef, token: FencingToken
) -> None:
    answer = await context.calls.hold(ref, HoldOrder(token, 0, None, 0))
    if isinstance(answer, Failure):
        log_event(
            'fence_unanswered', target=ref.target_id, reason=answer.reason
        )


def _has_room(target: Target) -> bool:
    """Returns whether the target's entry still allows its attempts."""
    is_ready = target.entry.state is TargetState.ready
    return is_ready and Amounts().fits_in(target.free_capacity)


__all__ = ('TargetOrders',)
