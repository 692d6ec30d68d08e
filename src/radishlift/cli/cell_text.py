"""Formats the state of the cell for `radishctl status`."""

from collections.abc import Iterable, Iterator

from radishlift.console.status import CellStatus

_UNKNOWN = '-'


def describe_cell(cell: CellStatus) -> str:
    """Formats the state of the cell as text, with a table for each part."""
    return ''.join(f'{line}\n' for line in _status_lines(cell))


def _status_lines(cell: CellStatus) -> Iterator[str]:
    for missing in cell.missing:
        yield f'no answer from {missing}: its partitions are not counted'
    yield f'format level of the cell: {cell.format_level}'
    yield from _table(
        ('DAEMON', 'FORMAT-LEVEL', 'DECLINED'),
        (
            (
                row.daemon_id,
                row.format_level,
                ','.join(row.declined) or None,
            )
            for row in cell.formats
        ),
    )
    yield from _table(
        ('DEPARTMENT', 'PRIORITY', 'QUEUED', 'RUNNING', 'OLDEST-WAIT-MS'),
        (
            (
                row.department,
                row.priority.value,
                row.queued_count,
                row.running_count,
                row.oldest_wait_ms,
            )
            for row in cell.queues
        ),
    )
    yield from _table(
        (
            'DATA-CENTRE',
            'LIVE',
            'LEAVING',
            'UNREACHABLE',
            'QUARANTINED',
            'CPU-MILLI',
        ),
        (
            (
                row.data_centre,
                row.live_count,
                row.leaving_count,
                row.unreachable_count,
                row.quarantined_count,
                f'{row.committed_cpu_milli}/{row.total_cpu_milli}',
            )
            for row in cell.workers
        ),
    )
    yield from _table(
        ('QUARANTINED-WORKER', 'SINCE-MS', 'REASON'),
        ((row.worker_id, row.since_ms, row.reason) for row in cell.quarantines),
    )
    yield from _table(
        ('MOVING-RACK', 'PARTITION', 'STEP', 'WAITED-MS', 'ROW-NAMES'),
        (
            (
                row.rack,
                row.partition_id,
                row.step,
                row.waited_ms,
                row.row_names or _UNKNOWN,
            )
            for row in cell.racks
        ),
    )
    yield from _table(
        ('PARTITION', 'OWNER', 'WORKERS', 'QUEUED'),
        (
            (
                row.partition_id,
                row.owner,
                row.workers_count,
                row.queued_count,
            )
            for row in cell.partitions
        ),
    )


def _table(
    headings: tuple[str, ...],
    rows: Iterable[tuple[object, ...]],
) -> Iterator[str]:
    lines = [headings]
    lines.extend(
        tuple(_UNKNOWN if cell is None else str(cell) for cell in row)
        for row in rows
    )
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        yield '  '.join(padded).rstrip()


__all__ = ('describe_cell',)
