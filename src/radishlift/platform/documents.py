"""Decodes the rows that the operator and the targets write."""

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

_DECODE_ERRORS: Final = (KeyError, TypeError, ValueError, AttributeError)


def decode_config(fields: Mapping[str, Any]) -> QueueConfig | Failure:
    """Decodes the operator's configuration; fails with `invalid_input`."""
    try:
        return QueueConfig(
            ConfigVersion(int(fields['version'])),
            tuple(_decode_queue(route) for route in fields['routes']),
            int(fields['limits']['maxBodyBytes']),
        )
    except _DECODE_ERRORS as error:
        return Failure(ErrorKind.invalid_input, f'configuration: {error!r}')


def _decode_queue(route: Mapping[str, Any]) -> Queue:
    advice = route.get('advice')
    terms = QueueTerms(
        queue=QueueName(route['name']),
        service=ServiceName(route['service']),
        priority=int(route.get('priority', 0)),
        max_attempts=int(route.get('attempts', 1)),
        stretch=float(route.get('stretch', 1)),
        # The time allowed beyond the stretched run time, not a whole duration.
        objective_ms=int(route.get('targetDurationMs', 0)),
        advice=None if advice is None else _decode_advice_terms(advice),
    )
    return Queue(terms, route['host'], route['pathPrefix'])


def _decode_advice_terms(fields: Mapping[str, Any]) -> AdviceTerms:
    return AdviceTerms(
        float(fields.get('decideMs', 0)),
        # Decision time for each target of an advice request.
        float(fields.get('periodMs', 0)),
        int(fields.get('validMs', 0)),
    )


def decode_target(
    target_id: str,
    fields: Mapping[str, Any] | None,
) -> TargetEntry | Failure:
    """Decodes the entry of a target; fails with `invalid_input`."""
    try:
        return _decode_target_entry(TargetId(target_id), fields or {})
    except _DECODE_ERRORS as error:
        return Failure(ErrorKind.invalid_input, f'{target_id}: {error!r}')


def _decode_target_entry(
    target_id: TargetId, fields: Mapping[str, Any]
) -> TargetEntry:
    return TargetEntry(
        target_id,
        TargetIncarnation(_require_integer(fields.get('born', 0))),
        ServiceName(_require_text(fields['service'])),
        Address(_require_text(fields['address'])),
        DataCentreId(_require_text(fields['zone'])),
        TargetState(fields['state']),
        decode_amounts(fields['capacity']),
        frozenset(map(_require_text, fields.get('labels', ()))),
        _require_integer(fields.get('remainingMs', 0)),
    )


def _require_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f'expected non-empty text, not {value!r}')
    return value


def _require_integer(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'expected an integer, not {value!r}')
    return value


def decode_amounts(fields: Mapping[str, Any]) -> Amounts:
    """Decodes a capacity or a demand; raises TypeError or ValueError."""
    return Amounts(
        _require_integer(fields.get('cpu', 0)),  # thousandths of a core
        _require_integer(fields.get('memMb', 0)),
        _require_integer(fields.get('gpu', 0)),
    )


__all__ = ('CONFIG_KEY', 'decode_amounts', 'decode_config', 'decode_target')
