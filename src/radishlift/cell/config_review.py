"""Reviews a configuration of the cell before it is put in force.

Checks are registered under what they read. A finding never contains a key of a
caller.
"""

from collections import Counter
from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Final

from radishlift.cell.config_changes import compare
from radishlift.cell.config_findings import (
    ConfigEntries,
    Finding,
    FindingKind,
    Severity,
    queue_place,
    workspace_place,
)
from radishlift.cell.queues import Queue
from radishlift.core.registry import Registry
from radishlift.steps.chains import advice_ms
from radishlift.steps.settings import StepSettings

Check = Callable[[ConfigEntries], Iterator[Finding]]
CHECKS: Final[Registry[Check]] = Registry('configuration check')


def review(
    entries: ConfigEntries, in_force: ConfigEntries | None = None
) -> list[Finding]:
    """Returns all findings, errors first and changes last."""
    found = list(entries.invalid)
    for _, check in CHECKS:
        found.extend(check(entries))
    if in_force is not None:
        found.extend(compare(in_force, entries))
    severities = tuple(Severity)
    found.sort(key=lambda finding: severities.index(finding.kind.severity))
    return found


@CHECKS.register('workspaces')
def _check_workspaces(entries: ConfigEntries) -> Iterator[Finding]:
    names = [workspace.terms.name for workspace in entries.workspaces]
    for name in _repeated(names):
        yield Finding(
            FindingKind.duplicate_workspace,
            workspace_place(name),
            'several workspaces have this name',
        )
    owners: dict[Hashable, str] = {}
    for workspace in entries.workspaces:
        name = workspace.terms.name
        if not workspace.key_hashes:
            text = 'it has no key, so that its callers are refused'
            yield Finding(
                FindingKind.no_usable_key, workspace_place(name), text
            )
        others = {
            owners.setdefault(key_hash, name)
            for key_hash in workspace.key_hashes
        }
        for other in sorted(others - {name}):
            text = f'it has a key of {workspace_place(other)} as well'
            yield Finding(FindingKind.shared_key, workspace_place(name), text)


@CHECKS.register('paths of queues')
def _check_paths(entries: ConfigEntries) -> Iterator[Finding]:
    for name in _repeated(queue.terms.queue for queue in entries.queues):
        text = 'several queues have this name; jobs get the terms of the last'
        yield Finding(FindingKind.duplicate_queue, queue_place(name), text)
    first: dict[tuple[str, str], Queue] = {}
    for queue in entries.queues:
        name = queue.terms.queue
        other = first.setdefault((queue.host, queue.path_prefix), queue)
        if other is not queue:
            hiding = queue_place(other.terms.queue)
            text = f'{hiding} has the same host and prefix and hides it'
            yield Finding(FindingKind.hidden_queue, queue_place(name), text)
        # Hosts of requests are compared without their port.
        if not queue.host or ':' in queue.host:
            text = f'no request has the host {queue.host!r}'
            yield Finding(FindingKind.unmatched_queue, queue_place(name), text)
        if not queue.path_prefix.startswith('/'):
            text = f'no path begins with {queue.path_prefix!r}'
            yield Finding(FindingKind.unmatched_queue, queue_place(name), text)


@CHECKS.register('terms of queues')
def _check_terms(entries: ConfigEntries) -> Iterator[Finding]:
    for queue in entries.queues:
        terms, place = queue.terms, queue_place(queue.terms.queue)
        services = entries.services
        if services is not None and terms.service not in services:
            text = f'no service is named {terms.service!r}'
            yield Finding(FindingKind.unknown_service, place, text)
        if terms.max_attempts < 1:
            text = f'{terms.max_attempts} attempts are allowed; 1 is made'
            yield Finding(FindingKind.no_attempts, place, text)
        asked_ms = advice_ms(terms.advice)
        allowed_ms = int(terms.stretch * asked_ms) + terms.objective_ms
        if allowed_ms < asked_ms:
            text = (
                f'a job without run time should end within {allowed_ms} ms, '
                f'of which advice takes {asked_ms} ms'
            )
            yield Finding(FindingKind.short_objective, place, text)
        needed_ms = StepSettings().min_ticket_ms
        if terms.advice is not None and terms.advice.valid_ms <= needed_ms:
            text = (
                f'tickets are valid for {terms.advice.valid_ms} ms; '
                f'a start needs more than {needed_ms} ms'
            )
            yield Finding(FindingKind.short_tickets, place, text)


def _repeated(names: Iterable[str]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]


__all__ = ('CHECKS', 'review')
