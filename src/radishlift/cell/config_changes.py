"""What callers see of the differences between two configurations."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import fields, replace
from typing import Any, Final

from radishlift.access.keys import KeyHash, Workspace
from radishlift.cell.config_findings import (
    ConfigEntries,
    Finding,
    FindingKind,
    queue_place,
    workspace_place,
)
from radishlift.core.registry import Registry
from radishlift.steps.spec import Amounts

Comparison = Callable[[ConfigEntries, ConfigEntries], Iterator[Finding]]
COMPARISONS: Final[Registry[Comparison]] = Registry('configuration comparison')


def compare(before: ConfigEntries, after: ConfigEntries) -> Iterator[Finding]:
    """Yields a finding for each difference."""
    for _, comparison in COMPARISONS:
        yield from comparison(before, after)


@COMPARISONS.register('versions')
def _compare_versions(
    before: ConfigEntries, after: ConfigEntries
) -> Iterator[Finding]:
    old, new = before.version, after.version
    if old is not None and new is not None and new <= old:
        text = f'{new} is not higher than {old}, and daemons ignore it'
        yield Finding(FindingKind.old_version, 'version', text)


@COMPARISONS.register('queues')
def _compare_queues(
    before: ConfigEntries, after: ConfigEntries
) -> Iterator[Finding]:
    old, new = (
        {queue_place(queue.terms.queue): queue for queue in entries.queues}
        for entries in (before, after)
    )
    yield from _compare_places(old, new)
    for place in sorted(old.keys() & new.keys()):
        for text in _differences(old[place], new[place]):
            yield Finding(FindingKind.changed, place, text)


@COMPARISONS.register('workspaces')
def _compare_workspaces(
    before: ConfigEntries, after: ConfigEntries
) -> Iterator[Finding]:
    old, new = (
        {
            workspace_place(workspace.terms.name): workspace
            for workspace in entries.workspaces
        }
        for entries in (before, after)
    )
    yield from _compare_places(old, new)
    for place in sorted(old.keys() | new.keys()):
        yield from _compare_keys(
            place, _keys_at(old, place), _keys_at(new, place)
        )
    for place in sorted(old.keys() & new.keys()):
        old_terms, new_terms = old[place].terms, new[place].terms
        yield from _compare_limits(place, old_terms.limit, new_terms.limit)
        old_terms = replace(old_terms, limit=new_terms.limit)
        for text in _differences(old_terms, new_terms):
            yield Finding(FindingKind.changed, place, text)


@COMPARISONS.register('size of bodies')
def _compare_bodies(
    before: ConfigEntries, after: ConfigEntries
) -> Iterator[Finding]:
    old, new = before.max_body_bytes, after.max_body_bytes
    if old is not None and new is not None and old != new:
        kind = FindingKind.limit_lowered if new < old else FindingKind.changed
        yield Finding(kind, 'max_body_bytes', f'{old} -> {new}')


def _compare_places(
    old: Mapping[str, object], new: Mapping[str, object]
) -> Iterator[Finding]:
    for place in sorted(old.keys() - new.keys()):
        yield Finding(FindingKind.removed, place, 'removed')
    for place in sorted(new.keys() - old.keys()):
        yield Finding(FindingKind.added, place, 'added')


def _keys_at(
    workspaces: Mapping[str, Workspace], place: str
) -> frozenset[KeyHash]:
    workspace = workspaces.get(place)
    return frozenset() if workspace is None else workspace.key_hashes


def _compare_keys(
    place: str, old: frozenset[KeyHash], new: frozenset[KeyHash]
) -> Iterator[Finding]:
    if old - new:
        text = f'{len(old - new)} of {len(old)} keys end'
        yield Finding(FindingKind.keys_ended, place, text)
    if new - old:
        text = f'{len(new - old)} of {len(new)} keys are new'
        yield Finding(FindingKind.keys_added, place, text)


def _compare_limits(
    place: str, before: Amounts, after: Amounts
) -> Iterator[Finding]:
    for member in fields(Amounts):
        old, new = getattr(before, member.name), getattr(after, member.name)
        if old == new:
            continue
        # An amount of 0 is no limit.
        is_lower = bool(new) and (not old or new < old)
        kind = FindingKind.limit_lowered if is_lower else FindingKind.changed
        text = f'limit of {member.name} {old or "none"} -> {new or "none"}'
        yield Finding(kind, place, text)


def _differences(before: Any, after: Any, prefix: str = '') -> Iterator[str]:
    """Describes each field that differs between two dataclasses."""
    for member in fields(before):
        old, new = getattr(before, member.name), getattr(after, member.name)
        if old == new:
            continue
        if hasattr(old, '__dataclass_fields__') and type(old) is type(new):
            yield from _differences(old, new, f'{prefix}{member.name}.')
        else:
            yield f'{prefix}{member.name} {old!r} -> {new!r}'


__all__ = ('COMPARISONS', 'compare')
