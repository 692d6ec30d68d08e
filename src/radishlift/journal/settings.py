"""Settings of the journal."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('journal')
@dataclass(frozen=True, slots=True)
class JournalSettings:
    """Sizes and rates of the journal.

    `row_bytes` limits the size of the records in one row; a larger record gets
    a row of its own. `rows_per_s` is the part of the table service's write
    rate that this daemon may use for all its partitions. `insert_attempts`
    limits the attempts of one insert within a flush. A snapshot is due after
    `snapshot_rows_count` rows.
    """

    row_bytes: int = bounded(131_072, 1024, 1_048_576)
    rows_per_s: int = bounded(40, 1, 1000)
    flush_interval_ms: int = bounded(25, 1, 1000)
    insert_attempts: int = bounded(3, 1, 10)
    snapshot_rows_count: int = bounded(1000, 1, 1_000_000)
    delete_batch_count: int = bounded(20, 1, 500)


__all__ = ('JournalSettings',)
