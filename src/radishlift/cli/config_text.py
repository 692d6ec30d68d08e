"""Reads and formats texts for the commands `radishctl config`."""

import re
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Final

from radishlift.config.bodies import AcceptedBody, RefusedBody
from radishlift.config.merge import FieldChange
from radishlift.config.progress import ConfigStatus
from radishlift.core.errors import ErrorKind, Failure

# `config show` writes this line; `config apply` reads the base version from it.
_VERSION_LINE: Final = re.compile('# version ([0-9]{1,12})')


def read_file(name: str) -> str | Failure:
    """Reads a text file."""
    try:
        return Path(name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure(ErrorKind.invalid_input, f'{name}: {error}')


def parse_base_version(text: str) -> int | None:
    """Parses the version in the first line of a text; None without one."""
    found = _VERSION_LINE.fullmatch(text.partition('\n')[0].strip())
    return None if found is None else int(found[1])


def describe_accepted(accepted: AcceptedBody) -> str:
    """Describes an accepted change."""
    lines = [f'version {accepted.version} is accepted']
    lines.extend(_describe_change(change) for change in accepted.changes)
    if not accepted.changes:
        lines.append('this version already has the text; nothing was changed')
    if accepted.merged:
        lines.append(f'merged with changes of: {", ".join(accepted.merged)}')
    return ''.join(f'{line}\n' for line in lines)


def describe_conflict(refused: RefusedBody) -> Iterator[str]:
    """Yields a line for each field in conflict."""
    for field in refused.fields:
        yield (
            f'[{field.section}] {field.key}: {field.base} before, '
            f'{field.theirs} by {field.who} in version {field.version}, '
            f'{field.ours} in this change'
        )


def describe_status(status: ConfigStatus) -> str:
    """Describes the version in force on each daemon."""
    since_ms = status.everywhere_at_ms(status.version)
    if since_ms is None:
        since = 'not in force on all daemons yet'
    else:
        since = f'in force on all daemons since {format_time(since_ms)}'
    lines = [f'version {status.version} is {since}']
    for daemon in status.daemons:
        version = 'no answer' if daemon.version is None else daemon.version
        last_report = 'no report yet'
        if daemon.age_ms is not None:
            last_report = f'last report {daemon.age_ms} ms ago'
        lines.append(f'{daemon.daemon_id}: {version}, {last_report}')
    return ''.join(f'{line}\n' for line in lines)


def format_time(at_ms: int) -> str:
    """Formats a wall time in UTC."""
    at = datetime.fromtimestamp(at_ms / 1000, tz=UTC)
    return at.isoformat(sep=' ', timespec='milliseconds')


def _describe_change(change: FieldChange) -> str:
    return f'[{change.section}] {change.key}: {change.before} -> {change.after}'


__all__ = (
    'parse_base_version',
    'describe_accepted',
    'describe_conflict',
    'describe_status',
    'format_time',
    'read_file',
)
