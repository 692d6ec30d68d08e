"""A leader's session with one target: lease, orders and lists."""

import asyncio

from radishlift.cell.leases import TargetLease
from radishlift.cell.listing import ExpectedListing
from radishlift.cell.orders import TargetOrders
from radishlift.cell.ports import (
    HoldOrder,
    HoldReport,
    StartOrder,
    StartVerdict,
)
from radishlift.cell.session_context import SessionContext
from radishlift.core.errors import Failure
from radishlift.core.logs import log_event
from radishlift.steps.ids import TargetId, TargetIncarnation, TaskKey
from radishlift.steps.targets import Target


class TargetSession:
    """Renews a target's lease and polls its lists while it has allocations.

    `list_requested_at_ms` is when the latest list was requested.
    """

    def __init__(self, target: Target, context: SessionContext) -> None:
        self.target = target
        self._context = context
        self._lease = TargetLease(
            context.settings,
            context.max_lease_ms,
            context.clock.monotonic_ms(),
        )
        self._orders = TargetOrders(
            target,
            self._lease,
            context,
            self.notify,
            self._on_not_started,
        )
        self._incarnation: TargetIncarnation | None = None
        self._is_synced = False
        self.list_requested_at_ms = 0
        self._ended_cursor = 0
        self._has_work = asyncio.Event()
        self._poll_task = asyncio.create_task(self._run())

    @property
    def listing(self) -> ExpectedListing:
        """Returns the attempts that the target's lists must contain."""
        return self._orders.listing

    @property
    def target_id(self) -> TargetId:
        """Returns the target's id."""
        return self.target.entry.target_id

    def close(self) -> None:
        """Closes the session; running tasks are not affected."""
        self._poll_task.cancel()
        self._orders.close()

    def notify(self) -> None:
        """Triggers a poll of the target."""
        self._has_work.set()

    def start(self, order: StartOrder) -> None:
        """Starts an attempt; the listener receives the outcome."""
        self._orders.start(order)

    def stop(self, key: TaskKey, attempt: int) -> None:
        """Stops an attempt or blocks its start; its end will be listed."""
        self._orders.stop(key, attempt)

    def _on_not_started(
        self,
        key: TaskKey,
        attempt: int,
        verdict: StartVerdict,
    ) -> None:
        self._context.listener.on_not_started(self, key, attempt, verdict)

    def _now_ms(self) -> int:
        return self._context.clock.monotonic_ms()

    async def _run(self) -> None:
        while True:
            if self._is_synced and not self.target.allocations:
                self._has_work.clear()
                await self._has_work.wait()
            await self._poll()

    async def _poll(self) -> None:
        context = self._context
        requested_at_ms = self._now_ms()
        answer = await context.calls.hold(
            self._orders.ref,
            self._hold_order(requested_at_ms),
        )
        if isinstance(answer, HoldReport):
            self.list_requested_at_ms = requested_at_ms
            await self._apply_report(answer)
            return
        if answer is StartVerdict.fenced:
            context.listener.on_fenced()
        else:
            self._handle_unreachable(answer)
        await asyncio.sleep(context.settings.hold_retry_ms / 1000)

    def _hold_order(self, now_ms: int) -> HoldOrder:
        until_ms = None
        # Calls without an answer may have arrived. An unreachable target is
        # polled without renewing its lease, because the lease must expire.
        if self.target.is_reachable and self._context.may_renew_leases():
            until_ms = self._lease.grant(now_ms)
        wait_ms = 0
        if self.target.is_reachable:
            wait_ms = self._context.settings.hold_wait_ms
        if self.target.is_watched:
            wait_ms = min(wait_ms, self._context.settings.watched_wait_ms)
        return HoldOrder(
            self._context.fencing_token,
            self._ended_cursor,
            until_ms,
            wait_ms,
        )

    async def _apply_report(self, report: HoldReport) -> None:
        self._lease.update_clock(report.clock_ms, self._now_ms())
        if (
            report.incarnation is not None
            and report.incarnation != self._incarnation
        ):
            if self._incarnation is not None:
                # Each process counts its ended attempts separately.
                self._ended_cursor = 0
                self._context.listener.on_crashed(self)
            self._incarnation = report.incarnation
        # Answers of a new process must not clear the starts that crashed it.
        self.target.record_answer(self.list_requested_at_ms)
        self._is_synced = True
        if not self.target.is_reachable:
            # Delayed starts must not run under a new lease.
            self._set_reachable(
                is_reachable=await self._orders.block_unresolved_starts()
            )
        self._context.listener.on_report(self, report)
        if report.last_sequence > self._ended_cursor:
            await self._context.listener.wait_committed()
            self._ended_cursor = report.last_sequence

    def _handle_unreachable(self, answer: StartVerdict | Failure) -> None:
        reason = answer.reason if isinstance(answer, Failure) else answer.value
        if self.target.is_reachable:
            log_event('target_lost', target=self.target_id, reason=reason)
        self._set_reachable(is_reachable=False)
        has_expired = self._lease.has_expired(self._now_ms())
        if has_expired or answer is StartVerdict.other_process:
            self.listing.clear()
            self._context.listener.on_crashed(self)
            self._context.listener.on_lease_expired(self)

    def _set_reachable(self, *, is_reachable: bool) -> None:
        if self.target.is_reachable != is_reachable:
            self.target.is_reachable = is_reachable
            self._context.listener.on_reachability_changed(self)


__all__ = ('TargetSession',)
