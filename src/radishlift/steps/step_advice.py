"""Decides when a waiting step requests tickets, and for which targets."""

from collections.abc import Callable
from itertools import islice

from radishlift.steps.advice_requests import (
    AdviceRequest,
    build_request,
    choose_advice_targets,
    choose_gang_advice_targets,
    choose_new_targets,
    choose_spare_targets,
    request_duration_ms,
)
from radishlift.steps.gang_reservations import Reservation
from radishlift.steps.ids import TargetId
from radishlift.steps.runs import JobRun, StepRun
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import Target
from radishlift.steps.tickets import TicketTable, valid_ticket_filter
from radishlift.steps.ticks import Tick


class StepAdviceRequests:
    """Adds the advice requests of waiting steps to the plan of a tick.

    `count_queued_requests` returns how many requests wait for a host.
    """

    def __init__(
        self,
        tickets: TicketTable,
        settings: StepSettings,
        count_queued_requests: Callable[[], int],
    ) -> None:
        self._tickets = tickets
        self._settings = settings
        self._count_queued_requests = count_queued_requests

    def list_allowed(
        self, tick: Tick, job: JobRun, step: StepRun
    ) -> list[Target]:
        """Lists the suitable targets that the service allows for a step."""
        suitable = tick.suitable_targets(job, step)
        if job.terms.advice is None:
            return suitable
        allowed = self._tickets.advice_for(step.key).allowed
        return [
            target for target in suitable if target.entry.target_id in allowed
        ]

    def ticket_filter(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
    ) -> Callable[[Target], bool]:
        """Returns a predicate for targets on which a step may start now."""
        if job.terms.advice is None:
            return _needs_no_ticket
        expires_after_ms = tick.now_ms + self._settings.min_ticket_ms
        return valid_ticket_filter(
            self._tickets.advice_for(step.key), expires_after_ms
        )

    def request(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        fitting: list[Target],
    ) -> None:
        """Requests advice for the ordinary tasks of a step.

        `fitting` are the allowed targets with room.
        """
        terms = job.terms.advice
        if terms is None:
            return
        advice = self._tickets.advice_for(step.key)
        if advice.open_requests_count or tick.now_ms < advice.retry_at_ms:
            return
        ids = self._choose_ordinary(tick, job, step, fitting)
        if ids:
            self._send(tick, job, step, ids)

    def request_for_trial(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        without_ticket: list[TargetId],
    ) -> None:
        """Requests advice for suspects.

        `without_ticket` are the targets reserved for them. If there are none,
        it is requested on targets that no request has named so far.
        """
        terms = job.terms.advice
        advice = self._tickets.advice_for(step.key)
        is_open = bool(advice.open_requests_count)
        if terms is None or is_open or tick.now_ms < advice.retry_at_ms:
            return
        ids = tuple(without_ticket[: self._settings.max_asked_count])
        if not ids:
            not_requested = [
                target
                for target in tick.suitable_targets(job, step)
                if target.entry.target_id not in advice.requested
            ]
            ids = choose_new_targets(terms, not_requested, self._settings)
        if ids:
            self._send(tick, job, step, ids)

    def request_for_gang(self, tick: Tick, job: JobRun, step: StepRun) -> None:
        """Requests advice on targets that no request has named so far."""
        terms = job.terms.advice
        if terms is None:
            return
        advice = self._tickets.advice_for(step.key)
        if advice.open_requests_count or tick.now_ms < advice.retry_at_ms:
            return
        not_requested = [
            target
            for target in tick.suitable_targets(job, step)
            if target.entry.target_id not in advice.requested
        ]
        requests = choose_gang_advice_targets(
            step,
            terms,
            not_requested,
            self._tickets.allowed_share(job.terms.queue),
            self._settings,
            tick.preference(job, step),
        )
        # If requests already wait, more of them would delay other steps.
        max_count = self._settings.max_open_count if self.is_idle else 1
        for ids in islice(requests, max_count):
            self._send(tick, job, step, ids)

    def renew(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        reservation: Reservation,
        allowed: list[Target],
    ) -> None:
        """Requests tickets for a gang that can probably start soon.

        It needs valid tickets for all its targets at the same time, so that
        those are renewed that would expire before others could arrive. Other
        targets in `allowed` are named as well: some of the reserved ones may
        have been replaced when the answer arrives.
        """
        terms = job.terms.advice
        advice = self._tickets.advice_for(step.key)
        is_open = advice.open_requests_count >= self._settings.max_open_count
        if terms is None or is_open or tick.now_ms < advice.retry_at_ms:
            return
        target_ids = reservation.target_ids
        answered_at_ms = tick.now_ms + int(
            request_duration_ms(terms, len(target_ids))
        )
        # If requests already wait, only gangs that have room may add to them.
        ready_by_ms = answered_at_ms if self.is_idle else tick.now_ms
        if reservation.starts_at_ms > ready_by_ms:
            return
        expires_before_ms = answered_at_ms + self._settings.min_ticket_ms
        expiring = advice.list_expiring(target_ids, expires_before_ms)
        if not expiring:
            return
        spares = advice.list_expiring(
            choose_spare_targets(
                step, terms, target_ids, allowed, self._settings
            ),
            expires_before_ms,
        )
        ids = (*expiring, *spares)[: self._settings.max_asked_count]
        self._send(tick, job, step, ids)

    def update(
        self,
        tick: Tick,
        job: JobRun,
        request: AdviceRequest,
        find_accepting: Callable[[TargetId], Target | None],
    ) -> AdviceRequest | None:
        """Chooses the targets of a request again before it is sent.

        Targets may have been lost or added since it was planned. Returns None
        if none remain.
        """
        terms = job.terms.advice
        self._tickets.withdraw_request(request)
        if terms is None:
            return None
        step = job.steps[request.key.occurrence, request.key.step]
        advice = self._tickets.advice_for(request.key)
        if advice.allowed.keys() >= set(request.target_ids):
            # A renewal names allowed targets only.
            ids = self._choose_renewed(tick, job, step, request, find_accepting)
        else:
            # Steps of a lower rank may have reserved or closed these since.
            named = map(find_accepting, request.target_ids)
            not_requested = {
                target.entry.target_id: target
                for target in (
                    *self._list_not_requested(tick, job, step),
                    *filter(None, named),
                )
                if find_accepting(target.entry.target_id)
            }
            ids = choose_new_targets(
                terms,
                list(not_requested.values()),
                self._settings,
                tick.preference(job, step),
            )
        if not ids:
            return None
        updated = build_request(job, step, terms, ids, request.created_at_ms)
        self._tickets.start_request(updated)
        return updated

    @property
    def is_idle(self) -> bool:
        """Returns whether no request waits for a host."""
        return not self._count_queued_requests()

    def _choose_ordinary(
        self, tick: Tick, job: JobRun, step: StepRun, fitting: list[Target]
    ) -> tuple[TargetId, ...]:
        if job.terms.advice is None:
            return ()
        has_ticket = self.ticket_filter(tick, job, step)
        requested = self._tickets.advice_for(step.key).requested
        return choose_advice_targets(
            step,
            job.terms.advice,
            [target for target in fitting if not has_ticket(target)],
            [
                target
                for target in tick.suitable_targets(job, step)
                if target.entry.target_id not in requested
                and tick.may_use_later(target, step)
            ],
            self._settings,
            tick.preference(job, step),
        )

    def _choose_renewed(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        request: AdviceRequest,
        find_accepting: Callable[[TargetId], Target | None],
    ) -> tuple[TargetId, ...]:
        """Chooses the targets of a renewal that has waited for a host.

        If no target has room at present, those that it names may have some
        when the answer arrives.
        """
        named = tuple(filter(find_accepting, request.target_ids))
        if step.spec.is_gang or step.suspects():
            return named
        fitting = [
            target
            for target in self.list_allowed(tick, job, step)
            if find_accepting(target.entry.target_id)
            and tick.may_use(target, step)
        ]
        if not fitting:
            return named
        chosen = self._choose_ordinary(tick, job, step, fitting)
        return tuple(filter(find_accepting, chosen)) or named

    def _list_not_requested(
        self, tick: Tick, job: JobRun, step: StepRun
    ) -> list[Target]:
        requested = self._tickets.advice_for(step.key).requested
        may_use_any = step.spec.is_gang or bool(step.suspects())
        return [
            target
            for target in tick.suitable_targets(job, step)
            if target.entry.target_id not in requested
            and (may_use_any or tick.may_use_later(target, step))
        ]

    def _send(
        self,
        tick: Tick,
        job: JobRun,
        step: StepRun,
        target_ids: tuple[TargetId, ...],
    ) -> None:
        terms = job.terms.advice
        if terms is None:
            return
        request = build_request(job, step, terms, target_ids, tick.now_ms)
        self._tickets.start_request(request)
        tick.plan.advice_requests.append(request)


def _needs_no_ticket(target: Target) -> bool:
    return bool(target)


__all__ = ('StepAdviceRequests',)
