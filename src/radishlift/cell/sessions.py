"""A leader's conversation with one target: its lease and its lists."""

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
    """Keeps the lease of a target and reads its lists while it is used.

    `asked_at_ms` is when the latest list was asked for.
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
            self.wake,
            self._tell_not_started,
        )
        self._life: TargetIncarnation | None = None
        self._is_synced = False
        self.asked_at_ms = 0
        self._ended_cursor = 0
        self._wake = asyncio.Event()
        self._looker = asyncio.create_task(self._run())

    @property
    def listing(self) -> ExpectedListing:
        """Returns which attempts the target's lists must show."""
        return self._orders.listing

    @property
    def target_id(self) -> TargetId:
        """Returns the target's id."""
        return self.target.entry.target_id

    def close(self) -> None:
        """Ends the conversation; the target is left as it is."""
        self._looker.cancel()
        self._orders.close()

    def wake(self) -> None:
        """Looks at the target soon."""
        self._wake.set()

    def start(self, order: StartOrder) -> None:
        """Starts an attempt; the outcome reaches the listener."""
        self._orders.start(order)

    def stop(self, key: TaskKey, attempt: int) -> None:
        """Stops an attempt, or bars it; its end will be listed."""
        self._orders.stop(key, attempt)

    def _tell_not_started(
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
                self._wake.clear()
                await self._wake.wait()
            await self._look()

    async def _look(self) -> None:
        context = self._context
        asked_at_ms = self._now_ms()
        answer = await context.calls.hold(
            self._orders.ref,
            self._hold_order(asked_at_ms),
        )
        if isinstance(answer, HoldReport):
            self.asked_at_ms = asked_at_ms
            await self._take(answer)
            return
        if answer is StartVerdict.fenced:
            context.listener.on_fenced()
        else:
            self._note_unreachable(answer)
        await asyncio.sleep(context.settings.hold_retry_ms / 1000)

    def _hold_order(self, now_ms: int) -> HoldOrder:
        until_ms = None
        # A call without an answer may have arrived, so that a silent target
        # is asked without prolonging its lease: it must lapse some time.
        if self.target.is_reachable and self._context.may_renew():
            until_ms = self._lease.grant(now_ms)
        wait_ms = 0
        if self.target.is_reachable:
            wait_ms = self._context.settings.hold_wait_ms
        return HoldOrder(
            self._context.fence,
            self._ended_cursor,
            until_ms,
            wait_ms,
        )

    async def _take(self, report: HoldReport) -> None:
        self._lease.learn(report.clock_ms, self._now_ms())
        if report.life is not None and report.life != self._life:
            if self._life is not None:
                # Numbers of ends begin anew with each process.
                self._ended_cursor = 0
            self._life = report.life
        self._is_synced = True
        if not self.target.is_reachable:
            # Late starts must not run under the next lease.
            self._set_reachable(is_reachable=await self._orders.bar_doubtful())
        self._context.listener.on_report(self, report)
        if report.last_number > self._ended_cursor:
            await self._context.listener.committed()
            self._ended_cursor = report.last_number

    def _note_unreachable(self, answer: StartVerdict | Failure) -> None:
        reason = answer.reason if isinstance(answer, Failure) else answer.value
        if self.target.is_reachable:
            log_event('target_lost', target=self.target_id, reason=reason)
        self._set_reachable(is_reachable=False)
        has_lapsed = self._lease.has_lapsed(self._now_ms())
        if has_lapsed or answer is StartVerdict.other_process:
            self.listing.clear()
            self._context.listener.on_lapsed(self)

    def _set_reachable(self, *, is_reachable: bool) -> None:
        if self.target.is_reachable != is_reachable:
            self.target.is_reachable = is_reachable
            self._context.listener.on_reachable(self)


__all__ = ('TargetSession',)
