"""Conversion of gangs over partitions to plain data and back."""

from typing import Any

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import JobId, PartitionId
from radishlift.placement.gang_records import (
    GangDecided,
    GangPart,
    SpreadGang,
)
from radishlift.placement.partition_tables import (
    PartitionTables,
    RecordRefusedError,
)


def dump_gangs(tables: PartitionTables) -> dict[str, Any]:
    """Converts the parts here, the gangs of this home and closed rounds."""
    return {
        'parts': {
            job_id: dump_plain(part)
            for job_id, part in sorted(tables.gangs.parts.items())
        },
        'spread': [
            {
                'decided': dump_plain(tables.gangs.spread[job_id].decided),
                'ended': sorted(tables.gangs.spread[job_id].ended),
            }
            for job_id in sorted(tables.gangs.spread)
        ],
        'closed_rounds': list(tables.gangs.closed_rounds),
    }


def load_gangs(tables: PartitionTables, plain: Any) -> None:
    """Restores gangs; the jobs were loaded before.

    Snapshots of earlier versions have none.
    """
    if plain is None:
        return
    for job_id, part in plain['parts'].items():
        tables.gangs.parts[JobId(job_id)] = parse(part, GangPart)
    for gang in plain['spread']:
        decided = parse(gang['decided'], GangDecided)
        ended = {PartitionId(partition_id) for partition_id in gang['ended']}
        tables.gangs.spread[decided.job_id] = SpreadGang(decided, ended)
        tables.jobs.is_spread[tables.jobs.row_of[decided.job_id]] = True
    tables.gangs.closed_rounds = dict.fromkeys(plain['closed_rounds'])


def parse(plain: Any, target: type) -> Any:
    """Parses a part of a snapshot.

    Raises `RecordRefusedError` when the data is not of this format.
    """
    parsed = read_plain(plain, target)
    if isinstance(parsed, Failure):
        raise RecordRefusedError(parsed.reason)
    return parsed


__all__ = ('dump_gangs', 'load_gangs', 'parse')
