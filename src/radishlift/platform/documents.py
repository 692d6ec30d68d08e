"""Decodes rows that the operator and the targets write."""

from collections.abc import Mapping
from typing import Any, Final

from radishlift.cell.queues import Queue, QueueConfig
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import (
    Address,
    ConfigVersion,
    DataCentreId,
    ServiceName,
)
from radishlift.steps.ids import QueueName, TargetId, TargetIncarnation
from radishlift.steps.spec import AdviceTerms, Amounts, QueueTerms
from radishlift.steps.targets import TargetEntry, TargetState

CONFIG_KEY: Final = 'config'

_MALFORMED: Final = (KeyError, TypeError, ValueError, AttributeError)


def decode_config(plain: Mapping[str, Any]) -> QueueConfig | Failure:
    """Decodes the operator's configuration; fails with `invalid_input`."""
    try:
        return QueueConfig(
            ConfigVersion(int(plain['version'])),
            tuple(_queue(route) for route in plain['routes']),
            int(plain['limits']['maxBodyBytes']),
        )
    except _MALFORMED as error:
        return Failure(ErrorKind.invalid_input, f'configuration: {error!r}')


def _queue(route: Mapping[str, Any]) -> Queue:
    advice = route.get('advice')
    terms = QueueTerms(
        queue=QueueName(route['name']),
        service=ServiceName(route['service']),
        priority=int(route.get('priority', 0)),
        max_attempts=int(route.get('attempts', 1)),
        stretch=float(route.get('stretch', 1)),
        # The slack beyond the stretched run time, not a duration by itself.
        objective_ms=int(route.get('targetDurationMs', 0)),
        advice=None if advice is None else _advice(advice),
    )
    return Queue(terms, route['host'], route['pathPrefix'])


def _advice(plain: Mapping[str, Any]) -> AdviceTerms:
    return AdviceTerms(
        float(plain.get('decideMs', 0)),
        # Time for each target that is asked about.
        float(plain.get('periodMs', 0)),
        int(plain.get('validMs', 0)),
    )


def decode_target(
    target_id: str,
    plain: Mapping[str, Any] | None,
) -> TargetEntry | Failure:
    """Decodes a target's entry; fails with `invalid_input`."""
    try:
        return _target(TargetId(target_id), plain or {})
    except _MALFORMED as error:
        return Failure(ErrorKind.invalid_input, f'{target_id}: {error!r}')


def _target(target_id: TargetId, plain: Mapping[str, Any]) -> TargetEntry:
    return TargetEntry(
        target_id,
        TargetIncarnation(_whole(plain.get('born', 0))),
        ServiceName(_text(plain['service'])),
        Address(_text(plain['address'])),
        DataCentreId(_text(plain['zone'])),
        TargetState(plain['state']),
        decode_amounts(plain['capacity']),
        frozenset(map(_text, plain.get('labels', ()))),
        _whole(plain.get('remainingMs', 0)),
    )


def _text(plain: object) -> str:
    if not isinstance(plain, str) or not plain:
        raise TypeError(f'expected text, not {plain!r}')
    return plain


def _whole(plain: object) -> int:
    if isinstance(plain, bool) or not isinstance(plain, int):
        raise TypeError(f'expected a whole number, not {plain!r}')
    return plain


def decode_amounts(plain: Mapping[str, Any]) -> Amounts:
    """Decodes a capacity or a need; raises TypeError or ValueError."""
    return Amounts(
        _whole(plain.get('cpu', 0)),  # thousandths of a core
        _whole(plain.get('memMb', 0)),
        _whole(plain.get('gpu', 0)),
    )


__all__ = ('CONFIG_KEY', 'decode_amounts', 'decode_config', 'decode_target')
