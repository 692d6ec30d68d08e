"""Generates docs/configuration.md from the dataclasses of the document.

Run `python -m radishlift.config.reference docs/configuration.md` after a
change of a key; a test compares the committed file.
"""

import sys
from collections.abc import Iterator
from dataclasses import MISSING, Field, fields
from pathlib import Path
from typing import Any, Final

from radishlift.config.checks import (
    MAX_RACKS_COUNT,
    MAX_URGENT_CLASSES_COUNT,
    POLICY_NAMES,
)
from radishlift.config.kinds import SECTION_KINDS, SectionKind
from radishlift.config.text import MAX_DOCUMENT_BYTES
from radishlift.steps.progress import (
    CHECKPOINT_BYTES,
    JOB_BYTES,
    STEP_BYTES,
    TASK_BYTES,
)
from radishlift.steps.spec import MAX_JOB_TASKS

_UNITS: Final = (
    ('_ms', 'ms'),
    ('_mb', 'MB'),
    ('cpu_milli', 'thousandths of a core'),
    ('_bytes', 'bytes'),
    ('_count', 'number'),
    ('_ratio', 'ratio'),
    ('_weight', 'weight'),
)

_MEANINGS: Final = {
    'department.policy': 'how its tasks are ordered and placed',
    'department.share_weight': 'weight in the fair share of the cell',
    'department.max_wait_ms': 'wait from which ageing puts a task first',
    'team.department': 'the department that the team belongs to',
    'team.cpu_milli': 'quota of processors; 0 means no limit',
    'team.memory_mb': 'quota of memory; 0 means no limit',
    'team.accelerators_count': 'quota of accelerators; 0 means no limit',
    'service.department': 'the department that the service belongs to',
    'service.slots_count': 'requests that one executor runs at a time',
    'service.connections_count': 'connections that one executor accepts',
    'service.max_deadline_ms': 'longest deadline that a caller may ask for',
    'service.default_deadline_ms': (
        'deadline without one from the caller; at most `max_deadline_ms`'
    ),
    'service.max_body_bytes': 'longest body of a request',
    'service.max_queue_count': 'requests that wait in one daemon',
    'service.max_wait_ms': 'longest wait of a request for a slot',
    'service.retry_budget_ratio': 'retries allowed per request',
    'service.max_ejected_ratio': 'share of executors that may be ejected',
    'service.urgent_classes': (
        'request classes that are shed last, in order; '
        f'at most {MAX_URGENT_CLASSES_COUNT}'
    ),
    'partition.racks': (
        f'racks of the partition, 0 to {MAX_RACKS_COUNT}; '
        'a rack is in one partition only'
    ),
    'objective.subject': 'the department or service that is judged',
    'objective.target_ratio': 'share of events that must be good',
    'objective.indicator': 'what is judged',
    'objective.limit_ms': 'time within which a good event ends',
}

_INTRODUCTION: Final = f"""\
# Configuration document

Generated from the dataclasses; do not edit. To update it, run
`python -m radishlift.config.reference docs/configuration.md`.

One INI document of at most {MAX_DOCUMENT_BYTES} bytes, with every key written,
configures the cell. Sections are `[kind:name]`; lines are `key = value`;
whole-line comments start with `#` or `;` and are not kept. Continuation lines,
duplicate sections and duplicate keys are errors, and every error is reported
at once.
"""

_JOB_LIMITS: Final = f"""\
## Limits of jobs on the platform

They follow from the platform's settings, not from this document. A job beyond
a limit is rejected at once; nothing is stored.

- More than {MAX_JOB_TASKS} tasks in all occurrences: answer 400.
- The job with the terms of its queue takes more than `platform.rowBytes`
  bytes: answer 413, whose text names the limit.
- Its progress may take more than `platform.rowBytes` bytes: answer 413, whose
  text names the limit. Calculated are {JOB_BYTES} bytes and, for each
  occurrence, {STEP_BYTES} for a step, {TASK_BYTES} for a task and
  {CHECKPOINT_BYTES} more for a task that saves checkpoints.
"""

_EXAMPLE: Final = """\
## Example

```ini
[department:rug-depot]
policy = waiting_first
share_weight = 2

[team:wash-floor]
department = rug-depot
cpu_milli = 240000

[service:rugdesk]
department = rug-depot
urgent_classes = clinic, dispatch

[partition:pinetown-1]
racks = pinetown/r1, pinetown/r2

[objective:rugdesk-latency]
subject = rugdesk
target_ratio = 0.99
```
"""


def reference_text() -> str:
    """Writes the reference of all sections and keys."""
    parts = [_INTRODUCTION]
    parts.extend(_describe_kind(kind) for kind in SECTION_KINDS)
    parts.extend((_JOB_LIMITS, _EXAMPLE))
    return '\n'.join(parts)


def main() -> None:
    """Writes the reference to the file that is the only argument."""
    Path(sys.argv[1]).write_text(reference_text(), encoding='utf-8')


def _describe_kind(kind: SectionKind) -> str:
    summary = kind.entity_type.__doc__.strip().partition('\n')[0]
    lines = [
        f'## `[{kind.name}:<name>]`',
        '',
        f'{summary} The name is {kind.name_rule.removeprefix("a name of ")}.',
        '',
        '| key | meaning | unit | default | allowed |',
        '| --- | --- | --- | --- | --- |',
    ]
    lines.extend(_describe_keys(kind))
    return ''.join(f'{line}\n' for line in lines)


def _describe_keys(kind: SectionKind) -> Iterator[str]:
    for member in fields(kind.entity_type):
        cells = (
            f'`{member.name}`',
            _MEANINGS[f'{kind.name}.{member.name}'],
            _unit_of(member.name),
            _default_of(member),
            _allowed_of(member),
        )
        yield f'| {" | ".join(cells)} |'


def _unit_of(key: str) -> str:
    for suffix, unit in _UNITS:
        if key.endswith(suffix):
            return unit
    return ''


def _default_of(member: 'Field[Any]') -> str:
    if member.default is MISSING:
        return 'required'
    return f'`{member.default}`' if member.default else _empty_default(member)


def _empty_default(member: 'Field[Any]') -> str:
    return 'none' if isinstance(member.default, tuple) else '`0`'


def _allowed_of(member: 'Field[Any]') -> str:
    if member.name == 'policy':
        return ', '.join(f'`{name}`' for name in POLICY_NAMES)
    if 'range' in member.metadata:
        low, high = member.metadata['range']
        return f'{low} to {high}'
    allowed = member.metadata.get('allowed', ())
    if allowed:
        return ', '.join(f'`{name}`' for name in allowed)
    kind = getattr(member.type, '__name__', str(member.type))
    return 'names separated by commas' if kind == 'tuple' else 'a name'


if __name__ == '__main__':
    main()


__all__ = ('reference_text',)
