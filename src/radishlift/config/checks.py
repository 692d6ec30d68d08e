"""Checks of the document that span several keys or sections."""

import re
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final

from radishlift.config.document import ConfigDocument, Partition, Service
from radishlift.config.kinds import NAME_PATTERN, NAME_RULE
from radishlift.core.registry import Registry
from radishlift.settings.sections import SettingsError

POLICY_NAMES: Final = (
    'waiting_first',
    'packing_first',
    'fifo_first_fit',
    'least_loaded',
)
MAX_URGENT_CLASSES_COUNT: Final = 16
# A partition has at most 400 workers, and a rack has at least one.
MAX_RACKS_COUNT: Final = 400

_NO_KINDS: Final[frozenset[str]] = frozenset()
_RACK_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}')

Check = Callable[[ConfigDocument, tuple[str, ...]], Iterator[SettingsError]]
# The key of a check lists the kinds of sections that it reads.
CHECKS: Final[Registry[Check]] = Registry('document check')


def check_document(
    document: ConfigDocument,
    policies: tuple[str, ...] = POLICY_NAMES,
    unchanged_kinds: frozenset[str] = _NO_KINDS,
) -> list[SettingsError]:
    """Runs the checks and returns every error.

    `unchanged_kinds` are the kinds of sections that are equal to those of a
    valid document; checks that read only these kinds are skipped.
    """
    return [
        error
        for kinds, check in CHECKS
        if not unchanged_kinds.issuperset(kinds.split())
        for error in check(document, policies)
    ]


@CHECKS.register('department')
def _check_policies(
    document: ConfigDocument,
    policies: tuple[str, ...],
) -> Iterator[SettingsError]:
    for name, department in document.departments.items():
        if department.policy not in policies:
            yield _error(
                f'department:{name}',
                'policy',
                department.policy,
                f'one of {", ".join(policies)}',
            )


@CHECKS.register('department team service')
def _check_departments(
    document: ConfigDocument,
    _policies: tuple[str, ...],
) -> Iterator[SettingsError]:
    allowed = f'a department: {", ".join(sorted(document.departments))}'
    members = [
        (f'team:{name}', team.department)
        for name, team in document.teams.items()
    ]
    members.extend(
        (f'service:{name}', service.department)
        for name, service in document.services.items()
    )
    for title, department in members:
        if department not in document.departments:
            yield _error(title, 'department', department, allowed)


@CHECKS.register('service')
def _check_services(
    document: ConfigDocument,
    _policies: tuple[str, ...],
) -> Iterator[SettingsError]:
    for name, service in document.services.items():
        yield from _check_service(f'service:{name}', service)


def _check_service(title: str, service: Service) -> Iterator[SettingsError]:
    if service.default_deadline_ms > service.max_deadline_ms:
        allowed = f'at most max_deadline_ms, {service.max_deadline_ms}'
        given = str(service.default_deadline_ms)
        yield _error(title, 'default_deadline_ms', given, allowed)
    classes = service.urgent_classes
    key = 'urgent_classes'
    if len(classes) > MAX_URGENT_CLASSES_COUNT:
        allowed = f'at most {MAX_URGENT_CLASSES_COUNT} classes'
        yield _error(title, key, f'{len(classes)} classes', allowed)
    for urgent_class in _duplicates(classes):
        yield _error(title, key, urgent_class, 'each class only once')
    for urgent_class in classes:
        if not NAME_PATTERN.fullmatch(urgent_class):
            yield _error(title, key, urgent_class, NAME_RULE)


@CHECKS.register('partition')
def _check_partitions(
    document: ConfigDocument,
    _policies: tuple[str, ...],
) -> Iterator[SettingsError]:
    owners: dict[str, str] = {}
    for name, partition in document.partitions.items():
        title = f'partition:{name}'
        yield from _check_racks(title, partition)
        for rack in dict.fromkeys(partition.racks):
            owner = owners.setdefault(rack, name)
            if owner != name:
                allowed = f'each rack in one partition; it is in {owner}'
                yield _error(title, 'racks', rack, allowed)


def _check_racks(title: str, partition: Partition) -> Iterator[SettingsError]:
    racks = partition.racks
    if len(racks) > MAX_RACKS_COUNT:
        allowed = f'at most {MAX_RACKS_COUNT} racks'
        yield _error(title, 'racks', f'{len(racks)} racks', allowed)
    for repeated in _duplicates(racks):
        yield _error(title, 'racks', repeated, 'each rack only once')
    for rack in racks:
        if not _RACK_PATTERN.fullmatch(rack):
            allowed = 'racks of 1 to 127 letters, digits or any of ._:/-'
            yield _error(title, 'racks', rack, allowed)


@CHECKS.register('department service objective')
def _check_objectives(
    document: ConfigDocument,
    _policies: tuple[str, ...],
) -> Iterator[SettingsError]:
    departments = frozenset(map(str, document.departments))
    services = frozenset(map(str, document.services))
    for name, objective in document.objectives.items():
        title = f'objective:{name}'
        if objective.subject in departments & services:
            allowed = 'a name that only one department or service has'
            yield _error(title, 'subject', objective.subject, allowed)
        elif objective.subject not in departments | services:
            allowed = 'the name of a department or service'
            yield _error(title, 'subject', objective.subject, allowed)


def _duplicates(names: tuple[str, ...]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]


def _error(title: str, key: str, given: str, allowed: str) -> SettingsError:
    return SettingsError(title, key, given, allowed)


__all__ = ('POLICY_NAMES', 'check_document')
