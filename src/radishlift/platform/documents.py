"""Decodes the rows that the operator and the targets write."""

import re
from collections.abc import Mapping
from typing import Any, Final

from radishlift.access.keys import MAX_KEY_BYTES, Workspace, hash_key
from radishlift.cell.queues import Queue, QueueConfig
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import (
    Address,
    ConfigVersion,
    DataCentreId,
    ServiceName,
    WorkspaceName,
)
from radishlift.platform.json_bodies import (
    DECODE_ERRORS,
    describe,
    read_count,
    read_integer,
    read_list,
    read_name,
    read_number,
    read_text,
)
from radishlift.steps.ids import QueueName, TargetId, TargetIncarnation
from radishlift.steps.spec import AdviceTerms, Amounts, QueueTerms
from radishlift.steps.targets import TargetEntry, TargetState
from radishlift.steps.workspaces import WorkspaceTerms

CONFIG_KEY: Final = 'config'

# Host names and ports of IPv4 and IPv6 addresses.
_ADDRESS: Final = re.compile(r'[\w.:\[\]-]+:\d{1,5}', re.ASCII)


def decode_config(fields: Mapping[str, Any]) -> QueueConfig | Failure:
    """Decodes the operator's configuration; fails with `invalid_input`."""
    try:
        return QueueConfig(
            ConfigVersion(read_whole(fields['version'])),
            tuple(decode_queue(route) for route in fields['routes']),
            read_whole(fields['limits']['maxBodyBytes']),
            tuple(map(decode_workspace, read_list(fields.get('tenants', [])))),
        )
    except DECODE_ERRORS as error:
        return Failure(
            ErrorKind.invalid_input, f'configuration: {describe(error)}'
        )


def decode_queue(route: Mapping[str, Any]) -> Queue:
    """Decodes a queue; raises one of `DECODE_ERRORS`."""
    advice = route.get('advice')
    terms = QueueTerms(
        queue=QueueName(read_text(route['name'])),
        service=ServiceName(read_text(route['service'])),
        priority=read_whole(route.get('priority', 0)),
        max_attempts=read_whole(route.get('attempts', 1)),
        stretch=float(read_number(route.get('stretch', 1))),
        # The time allowed beyond the stretched run time, not a whole duration.
        objective_ms=read_whole(route.get('targetDurationMs', 0)),
        advice=None if advice is None else _decode_advice_terms(advice),
    )
    return Queue(
        terms,
        read_text(route['host']),
        read_text(route['pathPrefix']),
        is_public=bool(route.get('public')),
    )


def decode_workspace(tenant: Mapping[str, Any]) -> Workspace:
    """Decodes a workspace; raises one of `DECODE_ERRORS`."""
    weight = float(read_number(tenant.get('weight', 1)))
    if weight <= 0:
        raise ValueError('expected a weight above 0')
    terms = WorkspaceTerms(
        WorkspaceName(read_name(tenant['name'])),
        weight,
        decode_amounts(tenant.get('maxCount', {})),
    )
    keys = tuple(map(read_name, read_list(tenant.get('apiKeys', []))))
    if any(len(key) > MAX_KEY_BYTES for key in keys):
        raise ValueError(f'expected keys of at most {MAX_KEY_BYTES} bytes')
    return Workspace(terms, frozenset(map(hash_key, keys)))


def _decode_advice_terms(fields: Mapping[str, Any]) -> AdviceTerms:
    return AdviceTerms(
        float(read_number(fields.get('decideMs', 0))),
        # Decision time for each target of an advice request.
        float(read_number(fields.get('periodMs', 0))),
        read_whole(fields.get('validMs', 0)),
    )


def read_whole(field: object) -> int:
    """Returns the whole part of a number; raises TypeError or ValueError."""
    return int(read_number(field))


def decode_target(
    target_id: str,
    fields: Mapping[str, Any] | None,
) -> TargetEntry | Failure:
    """Decodes the entry of a target; fails with `invalid_input`."""
    try:
        return _decode_target_entry(TargetId(target_id), fields or {})
    except DECODE_ERRORS as error:
        return Failure(
            ErrorKind.invalid_input, f'{target_id}: {describe(error)}'
        )


def _decode_target_entry(
    target_id: TargetId, fields: Mapping[str, Any]
) -> TargetEntry:
    return TargetEntry(
        target_id,
        TargetIncarnation(read_integer(fields.get('born', 0))),
        ServiceName(read_name(fields['service'])),
        _read_address(fields['address']),
        DataCentreId(read_name(fields['zone'])),
        TargetState(read_name(fields['state'])),
        decode_amounts(fields['capacity']),
        frozenset(map(read_name, read_list(fields.get('labels', [])))),
        read_integer(fields.get('remainingMs', 0)),
    )


def _read_address(field: object) -> Address:
    address = read_text(field)
    if not _ADDRESS.fullmatch(address):
        raise ValueError('expected an address with a port')
    return Address(address)


def decode_amounts(fields: Mapping[str, Any]) -> Amounts:
    """Decodes a capacity or a demand; raises TypeError or ValueError."""
    return Amounts(
        read_count(fields.get('cpu', 0)),  # thousandths of a core
        read_count(fields.get('memMb', 0)),
        read_count(fields.get('gpu', 0)),
    )


__all__ = (
    'CONFIG_KEY',
    'decode_amounts',
    'decode_config',
    'decode_queue',
    'decode_target',
    'decode_workspace',
    'read_whole',
)
