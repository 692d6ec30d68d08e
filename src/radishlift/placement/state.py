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

    Applying a record again changes nothing. Capacity committed to the
    attempts on a worker grows only by `TaskPlaced` and shrinks only by
    `TaskEnded`.
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

        Logs and raises `RecordRefusedError` if the record would overcommit a
        worker or start a task that may still run elsewhere. The error is
        raised rather than returned because the partition must stop.
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
        """Returns the state as plain data for a snapshot."""
        return {**dump_tables(self.tables), 'learned': self.statistics.dump()}

    def load(self, plain: Any) -> None:
        """Replaces the state by that of a snapshot."""
        self.tables = load_tables(plain)
        # Snapshots of earlier versions have no learned statistics.
        if 'learned' in plain:
            self.statistics.load(plain['learned'])


__all__ = ('PartitionState',)
