"""The journaled state of placement in one partition."""

from typing import Any, ClassVar, Final

from radishlift.core.logs import log_event
from radishlift.placement import (  # noqa: F401
    gang_changes,
    gang_home_changes,
    worker_changes,
)
from radishlift.placement.changes import CHANGES
from radishlift.placement.learned_statistics import (
    HealthLearned,
    LearnedStatistics,
    UsageLearned,
)
from radishlift.placement.partition_tables import (
    PartitionTables,
    RecordRefusedError,
)
from radishlift.placement.snapshots import dump_tables, load_tables

_STATISTICS_TYPES: Final = (UsageLearned, HealthLearned)


class PartitionState:
    """Tables of a partition, changed only by applying records.

    Capacity committed on a worker grows only by `TaskPlaced` and shrinks only
    by `TaskEnded`. Applying a record again changes nothing.
    """

    record_types: ClassVar[tuple[type, ...]] = (
        *CHANGES,
        *_STATISTICS_TYPES,
    )

    def __init__(self) -> None:
        self.tables = PartitionTables()
        self.statistics = LearnedStatistics()

    def apply(self, record: Any) -> None:
        """Applies a record.

        Raises `RecordRefusedError`, after logging it, when the record would
        overcommit a worker or start a task that may still run elsewhere. It
        is raised rather than returned because the partition must not go on.
        """
        if type(record) in _STATISTICS_TYPES:
            self.statistics.apply(record)
            return
        try:
            CHANGES[type(record)](self.tables, record)
        except RecordRefusedError as error:
            log_event(
                'placement_record_refused',
                record=record,
                reason=error,
            )
            raise

    def dump(self) -> Any:
        """Returns the tables as plain data."""
        return {**dump_tables(self.tables), 'learned': self.statistics.dump()}

    def load(self, plain: Any) -> None:
        """Replaces the tables by those of a snapshot."""
        self.tables = load_tables(plain)
        # Snapshots of earlier versions hold nothing that was learned.
        if 'learned' in plain:
            self.statistics.load(plain['learned'])


__all__ = ('PartitionState',)
