"""A leader's session with one target: lease, orders and lists."""

import asyncio
from functools import partial

from radishlift.cell.leases import TargetLease
from radishlift.cell.listing import ExpectedListing
from radishlift.cell.orders import TargetOrders
from radishlift.cell.ports import (
    HoldOrder,
    HoldReport,
    StartOrder,
    StartVerdict,
)
from radishlift.cell.restarts import RestartWatch
from radishlift.cell.session_context import SessionContext, StopEvidence
from radishlift.core.errors import Failure, TimedOut
from radishlift.core.logs import log_event
from radishlift.steps.ids import TargetId, TargetIncarnation, TaskKey
from radishlift.steps.targets import Target


class TargetSession:
    """Renews a target's lease and polls its lists while it has allocations.

    A target that did not answer is polled until it answers again.

    `list_requested_at_ms` is when the latest list was requested. The cursor of
    acknowledged ends is discarded once it was received, and whenever the target
    may have restarted unnoticed, as a new process counts its ends anew. Nothing
    that a new process reports is used until a raised token keeps calls to the
    earlier one from taking effect there.
    """

    def __init__(self, target: Target, context: SessionContext) -> None:
        self.target = target
        self._context = context
        self.lease = TargetLease(
            context.settings,
            context.max_lease_ms,
            context.inherited_leases.until_ms(target.entry.target_id),
        )
        self._orders = TargetOrders(
            target,
            self.lease,
            context,
            self.notify,
            partial(context.listener.on_not_started, self),
        )
        self._restarts = RestartWatch(target, self._orders.fence)
        self._is_synced = False
        self._is_resuming = False
        self.list_requested_at_ms = 0
        self._ended_cursor = 0
        self._has_work = asyncio.Event()
        self._poll_task = asyncio.create_task(self._run())
        self._poll_task.add_done_callback(context.check_end)

    @property
    def listing(self) -> ExpectedListing:
        """Returns the attempts that the target's lists must contain."""
        return self._orders.listing

    @property
    def target_id(self) -> TargetId:
        """Returns the target's id."""
        return self.target.entry.target_id

    @property
    def unrenewed_ms(self) -> int | None:
        """Returns how long a lease may last that is not renewed.

        Returns None if it is renewed or if no attempt depends on it.
        """
        target = self.target
        if target.is_reachable or self._is_resuming or not target.allocations:
            return None
        return self.lease.remaining_ms(self._now_ms())

    def close(self) -> None:
        """Closes the session; running tasks are not affected."""
        self._poll_task.cancel()
        self._orders.close()

    def notify(self) -> None:
        """Triggers a poll of the target."""
        self._has_work.set()

    def record_life(self, life: TargetIncarnation) -> None:
        """Handles an entry that names another process of the target."""
        if self._restarts.record_entry(life, self._now_ms()):
            # A poll that waits for an end would delay this.
            self._orders.send_fence()
        self.notify()

    def start(self, order: StartOrder) -> None:
        """Starts an attempt; the listener receives the outcome."""
        self._orders.start(order)
        # A poll notices that a target is lost before the start gives up.
        self.notify()

    def stop(self, key: TaskKey, attempt: int) -> None:
        """Stops an attempt or blocks its start; its end will be listed."""
        self._orders.stop(key, attempt)

    def _now_ms(self) -> int:
        return self._context.clock.monotonic_ms()

    async def _run(self) -> None:
        while True:
            target = self.target
            is_idle = target.is_reachable and not target.allocations
            # An unreachable target gets no orders, so that only polls can tell
            # that it answers again.
            if self._is_synced and is_idle:
                if not target.is_listed:
                    self._context.listener.on_stopped(
                        self, StopEvidence.no_attempts
                    )
                # The target may restart unnoticed until the next call.
                self._orders.fence.raise_token()
                await self._has_work.wait()
                self._ended_cursor = 0
            self._has_work.clear()
            await self._poll()

    async def _poll(self) -> None:
        context = self._context
        requested_at_ms = self._now_ms()
        ref = self._orders.ref
        fence = self._orders.fence
        order = self._hold_order(requested_at_ms)
        answer = await context.calls.hold(ref, order)
        if isinstance(answer, HoldReport):
            # A late call must not acknowledge the ends of a later process.
            self._ended_cursor = 0
            if self._restarts.needs_fence(
                answer, order.fencing_token, self._now_ms()
            ):
                self.lease.expect_late_calls(answer.clock_ms, self._now_ms())
                self._set_reachable(is_reachable=False)
                return
            self.list_requested_at_ms = requested_at_ms
            await self._apply_report(answer)
            return
        is_other = answer is StartVerdict.other_process
        if is_other and ref != self._orders.ref:
            # The process that the answer excludes may have left this address.
            self._ended_cursor = 0
            return
        if answer is StartVerdict.fenced:
            if fence.has_overtaken(answer, order.fencing_token):
                return
            context.listener.end_term()
        else:
            if isinstance(answer, Failure) and not answer.is_not_run:
                fence.raise_token()
            await self._handle_unreachable(answer)
        await asyncio.sleep(context.settings.hold_retry_ms / 1000)

    def _hold_order(self, now_ms: int) -> HoldOrder:
        until_ms = None
        # Calls without an answer may have arrived. An unreachable target is
        # polled without renewing its lease, because the lease must expire.
        if self.target.is_reachable and self._context.may_renew_leases():
            until_ms = self.lease.grant(now_ms)
        wait_ms = 0
        if self.target.is_reachable:
            wait_ms = self._context.settings.hold_wait_ms
        if self.target.is_watched:
            wait_ms = min(wait_ms, self._context.settings.watched_wait_ms)
        return HoldOrder(
            self._orders.fence.token,
            self._ended_cursor,
            until_ms,
            wait_ms,
        )

    async def _apply_report(self, report: HoldReport) -> None:
        was_known = self._restarts.incarnation is not None
        is_restarted = self._restarts.accept(report.incarnation)
        if is_restarted or not self._is_synced:
            # Each process has its own clock.
            self.lease.begin_process(report.clock_ms, self._now_ms())
        else:
            self.lease.update_clock(report.clock_ms, self._now_ms())
        self.lease.record_list(self.list_requested_at_ms)
        if is_restarted and was_known:
            self._orders.unresolved.clear()
            self.target.record_restart()
            self.target.record_failure(self._now_ms())
            self._context.listener.on_crashed(self, is_proven=True)
        self.target.process = self._restarts.incarnation
        self.target.record_running()
        # Answers of a new process must not clear the starts that crashed it.
        self.target.record_answer(self.list_requested_at_ms)
        self._is_synced = True
        is_resumed = False
        if not self.target.is_reachable:
            # Delayed starts must not run under a new lease.
            is_resumed = await self._orders.block_unresolved_starts()
        self._context.listener.on_report(self, report)
        if is_resumed:
            self._is_resuming = True
            await self._context.unrenewed.wait_removed(self.target_id)
            self._is_resuming = False
            self._set_reachable(is_reachable=True)
        elif not self.target.is_reachable:
            await asyncio.sleep(self._context.settings.hold_retry_ms / 1000)
        # Polls continue without the commit, as they renew the lease.
        if report.last_sequence and (
            await self._context.listener.wait_committed(
                self._context.settings.hold_wait_ms
            )
        ):
            self._ended_cursor = report.last_sequence

    async def _handle_unreachable(self, answer: StartVerdict | Failure) -> None:
        reason = answer.reason if isinstance(answer, Failure) else answer.value
        if self.target.is_reachable:
            log_event('target_lost', target=self.target_id, reason=reason)
        self._ended_cursor = 0
        self.target.record_failure(
            self._now_ms(), has_timed_out=isinstance(answer, TimedOut)
        )
        self._set_reachable(is_reachable=False)
        evidence = _find_end_evidence(self.target, answer)
        kept: set[TaskKey] = set()
        if evidence is None:
            kept = self._restarts.list_possibly_running(
                self.lease, self._now_ms(), self.list_requested_at_ms
            )
            if self._restarts.has_answered:
                evidence = StopEvidence.restarted
        has_ended = evidence is not None
        if evidence is None and self.lease.has_expired(self._now_ms()):
            evidence = StopEvidence.lease_expired
        if has_ended:
            # A start that this process rejects did not crash the earlier one.
            await self._orders.open_starts.wait_closed()
        # Tasks that are kept end, or run on, once the target answers.
        if evidence is not None:
            self._restarts.log_wait(kept)
        is_all_kept = bool(kept) and kept >= self.target.allocations.keys()
        if evidence is not None and not is_all_kept:
            self.listing.clear()
            # A listed target may run on behind a network partition.
            self._context.listener.on_crashed(
                self, is_proven=has_ended or not self.target.is_listed
            )
            self._context.listener.on_stopped(self, evidence, kept)

    def _set_reachable(self, *, is_reachable: bool) -> None:
        if self.target.is_reachable != is_reachable:
            self.target.is_reachable = is_reachable
            self._context.listener.on_reachability_changed(self)


def _find_end_evidence(
    target: Target, answer: StartVerdict | Failure
) -> StopEvidence | None:
    """Returns what proves that a target's process has ended, if anything."""
    if isinstance(answer, StartVerdict):
        is_other = answer is StartVerdict.other_process
        return StopEvidence.other_process if is_other else None
    # A refused connection proves nothing: a network may reject it.
    return StopEvidence.left if target.has_left else None


__all__ = ('TargetSession',)
