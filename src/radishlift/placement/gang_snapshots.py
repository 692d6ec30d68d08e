"""Converts multi-partition gangs to plain data and back."""

from typing import Any

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import JobId, PartitionId
from radishlift.placement.gang_records import (
    GangDecided,
    GangPart,
    MultiPartitionGang,
)
from radishlift.placement.partition_tables import (
    PartitionTables,
    RecordRefusedError,
)


def dump_gangs(tables: PartitionTables) -> dict[str, Any]:
    """Returns the parts here, gangs of this home and closed rounds."""
    return {
        'parts': {
            job_id: dump_plain(part)
            for job_id, part in sorted(tables.gangs.parts.items())
        },
        'spread': [
            {
                'decided': dump_plain(
                    tables.gangs.multi_partition[job_id].decision
                ),
                'ended': sorted(
                    tables.gangs.multi_partition[job_id].ended_partitions
                ),
            }
            for job_id in sorted(tables.gangs.multi_partition)
        ],
        'closed_rounds': list(tables.gangs.closed_rounds),
    }


def load_gangs(tables: PartitionTables, plain: Any) -> None:
    """Restores gangs after the jobs have been loaded.

    `plain` is None for snapshots of earlier versions.
    """
    if plain is None:
        return
    for job_id, part in plain['parts'].items():
        tables.gangs.parts[JobId(job_id)] = parse(part, GangPart)
    for gang in plain['spread']:
        decided = parse(gang['decided'], GangDecided)
        ended = {PartitionId(partition_id) for partition_id in gang['ended']}
        tables.gangs.multi_partition[decided.job_id] = MultiPartitionGang(
            decided, ended
        )
        tables.jobs.is_multi_partition[tables.jobs.row_of[decided.job_id]] = (
            True
        )
    tables.gangs.closed_rounds = dict.fromkeys(plain['closed_rounds'])


def parse(plain: Any, target: type) -> Any:
    """Parses a part of a snapshot.

    Raises `RecordRefusedError` if the data does not have this format.
    """
    parsed = read_plain(plain, target)
    if isinstance(parsed, Failure):
        raise RecordRefusedError(parsed.reason)
    return parsed


__all__ = ('dump_gangs', 'load_gangs', 'parse')
