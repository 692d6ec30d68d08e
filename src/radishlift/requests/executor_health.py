"""Ejection, probing and readmission of failing or slow executors."""

import math
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, Final

from transitions import Machine

from radishlift.core.clock import Clock
from radishlift.core.ids import ExecutorId
from radishlift.core.logs import log_event
from radishlift.requests.settings import RequestSettings

# A bad result adds a point and a good result subtracts half a point, so that an
# executor is ejected when more than a third of its results are bad.
_GOOD_RESULT_CREDIT: Final = 0.5
_NO_EXECUTORS: Final[frozenset[ExecutorId]] = frozenset()


@unique
class HealthState(Enum):
    """Whether an executor gets requests: all, none, or one probe at a time."""

    healthy = 'healthy'
    ejected = 'ejected'
    probing = 'probing'


_TRANSITIONS: Final[Any] = (
    ('eject', HealthState.healthy, HealthState.ejected),
    ('probe', HealthState.ejected, HealthState.probing),
    ('admit', HealthState.probing, HealthState.healthy),
    ('eject', HealthState.probing, HealthState.ejected),
)


@dataclass(eq=False)
class ExecutorRecord:
    """Recent results of one executor; `Machine` adds the attribute `state`."""

    executor_id: ExecutorId
    bad_score: float = 0
    ejections_count: int = 0
    next_probe_at_ms: int = 0
    is_probe_sent: bool = False


class ExecutorHealth:
    """Tracks the health of the executors of one service."""

    def __init__(self, clock: Clock, settings: RequestSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._records: dict[ExecutorId, ExecutorRecord] = {}
        self._machine = Machine(
            model=None,
            states=HealthState,
            transitions=[list(transition) for transition in _TRANSITIONS],
            initial=HealthState.healthy,
            auto_transitions=False,
        )

    def state_of(self, executor_id: ExecutorId) -> HealthState:
        """Returns the state of an executor; healthy if none is recorded."""
        record = self._records.get(executor_id)
        return HealthState.healthy if record is None else _state(record)

    def excluded_executors(self, *, may_probe: bool) -> frozenset[ExecutorId]:
        """Returns the executors that a request must not use.

        Only a request that may be retried is sent as a probe, one at a time.
        """
        unhealthy = [
            record
            for record in self._records.values()
            if _state(record) is not HealthState.healthy
        ]
        if not unhealthy:
            return _NO_EXECUTORS
        now_ms = self._clock.monotonic_ms()
        for record in unhealthy:
            if now_ms >= record.next_probe_at_ms:
                self._allow_probe(record)
        return frozenset(
            record.executor_id
            for record in unhealthy
            if not (may_probe and _can_probe(record))
        )

    def record_send(self, executor_id: ExecutorId) -> None:
        """Records that a request is about to be sent."""
        record = self._records.get(executor_id)
        if record is None or _state(record) is not HealthState.probing:
            return
        record.is_probe_sent = True
        # Another probe may follow after this time if no result arrives.
        pause_ms = self._settings.max_ejection_ms
        record.next_probe_at_ms = self._clock.monotonic_ms() + pause_ms

    def record_result(
        self,
        executor_id: ExecutorId,
        executors_count: int,
        max_ejected_ratio: float,
        *,
        is_good: bool,
    ) -> None:
        """Records a result and changes the state of the executor by it.

        A bad result is a failure, or an answer that took far longer than
        answers of its class take at present. At most `max_ejected_ratio` of
        the executors are ejected or probed at a time.
        """
        record = self._get_or_add(executor_id)
        if _state(record) is HealthState.probing:
            self._end_probe(record, is_good=is_good)
            return
        if _state(record) is HealthState.ejected:
            return
        credit = -_GOOD_RESULT_CREDIT if is_good else 1
        record.bad_score = max(0, record.bad_score + credit)
        if record.bad_score < self._settings.eject_failures_count:
            return
        allowed_count = math.floor(max_ejected_ratio * executors_count)
        if self._unhealthy_count() < allowed_count:
            self._eject(record)

    def keep_only(self, executor_ids: frozenset[ExecutorId]) -> None:
        """Removes all executors but these."""
        for executor_id in set(self._records) - executor_ids:
            self._machine.remove_model(self._records.pop(executor_id))

    def _get_or_add(self, executor_id: ExecutorId) -> ExecutorRecord:
        record = self._records.get(executor_id)
        if record is None:
            record = ExecutorRecord(executor_id)
            self._records[executor_id] = record
            self._machine.add_model(record)
        return record

    def _allow_probe(self, record: ExecutorRecord) -> None:
        record.is_probe_sent = False
        if _state(record) is HealthState.ejected:
            self._change_state(record, 'probe')

    def _end_probe(self, record: ExecutorRecord, *, is_good: bool) -> None:
        if not is_good:
            self._eject(record)
            return
        record.ejections_count = 0
        record.is_probe_sent = False
        self._change_state(record, 'admit')

    def _eject(self, record: ExecutorRecord) -> None:
        doublings = min(record.ejections_count, 10)
        pause_ms = self._settings.ejection_ms * 2**doublings
        pause_ms = min(pause_ms, self._settings.max_ejection_ms)
        record.next_probe_at_ms = self._clock.monotonic_ms() + pause_ms
        record.ejections_count += 1
        record.is_probe_sent = False
        record.bad_score = 0
        self._change_state(record, 'eject')

    def _unhealthy_count(self) -> int:
        return sum(
            _state(record) is not HealthState.healthy
            for record in self._records.values()
        )

    def _change_state(self, record: ExecutorRecord, trigger: str) -> None:
        model: Any = record
        model.trigger(trigger)
        log_event(
            'executor_health',
            executor=record.executor_id,
            state=_state(record),
        )


def _state(record: Any) -> HealthState:
    state: HealthState = record.state
    return state


def _can_probe(record: ExecutorRecord) -> bool:
    return _state(record) is HealthState.probing and not record.is_probe_sent


__all__ = ('ExecutorHealth', 'ExecutorRecord', 'HealthState')
