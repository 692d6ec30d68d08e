"""Load summaries of partitions, sent with the heartbeats of daemons."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Final

from radishlift.core.ids import PartitionId
from radishlift.partitions.open_partition import OpenPartition
from radishlift.placement.amounts import count_fitting
from radishlift.placement.jobs import Resources

SUMMARY_NAME: Final = 'partitions'

_LOAD_SUFFIX: Final = ':load'
# Names are short because all summaries of a heartbeat share 128 bytes.
_FIELDS: Final = ('cpu', 'mb', 'acc', 'all_cpu', 'all_mb', 'all_acc')
# The summary has a fixed size and leaves out the demands of queued tasks. One
# core for each is the right order of magnitude, enough to rank partitions.
_QUEUED_CPU_MILLI: Final = 1_000


@dataclass(frozen=True, slots=True)
class PartitionLoad:
    """Load of a partition.

    `load_ratio` is the committed and queued processor demand divided by the
    capacity. `largest_free` is the most that any worker has free, for each
    dimension on its own, and `free` the sum over all workers.
    """

    partition_id: PartitionId
    load_ratio: float
    largest_free: Resources
    free: Resources

    def fits(self, demand: Resources) -> bool:
        """Returns whether a task of this demand may fit now."""
        free = self.largest_free
        return (
            demand.cpu_milli <= free.cpu_milli
            and demand.memory_mb <= free.memory_mb
            and demand.accelerators_count <= free.accelerators_count
        )

    def count_tasks(self, demand: Resources, limit: int) -> int:
        """Counts the tasks that may fit now, up to a limit.

        The count is too high if the free capacity is fragmented into pieces
        that are too small.
        """
        if not self.fits(demand):
            return 0
        return count_fitting(demand, self.free, limit)

    def count_likely_tasks(self, demand: Resources, limit: int) -> int:
        """Counts the tasks that fit in pieces of `largest_free`.

        Unlike `count_tasks` it leaves out the remainder of each piece, which is
        too small for a task.
        """
        per_worker = count_fitting(demand, self.largest_free, limit)
        if not per_worker:
            return 0
        dimensions = zip(
            _amounts(demand),
            _amounts(self.free),
            _amounts(self.largest_free),
            strict=True,
        )
        worker_counts = [
            free / largest for needed, free, largest in dimensions if needed
        ]
        return min(limit, int(per_worker * min(worker_counts, default=1)))


class LoadTable:
    """The latest known load of each partition."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._loads: dict[PartitionId, PartitionLoad] = {}
        self._owned: tuple[PartitionId, ...] = ()
        self._summary_index = 0

    def update(self, partitions: Iterable[OpenPartition]) -> None:
        """Measures the load of the partitions that are owned here."""
        loads = [measure_load(partition) for partition in partitions]
        self._owned = tuple(load.partition_id for load in loads)
        for load in loads:
            self._loads[load.partition_id] = load

    def summary(self) -> dict[str, float]:
        """Returns the load of one owned partition, in rotation.

        The summary has a fixed size, so that heartbeats stay small with any
        number of partitions.
        """
        if not self._owned:
            return {}
        self._summary_index = (self._summary_index + 1) % len(self._owned)
        load = self._loads[self._owned[self._summary_index]]
        amounts = (*_amounts(load.largest_free), *_amounts(load.free))
        return {
            f'{load.partition_id}{_LOAD_SUFFIX}': load.load_ratio,
            **dict(zip(_FIELDS, amounts, strict=True)),
        }

    def update_from_peer(self, summary: Mapping[str, float]) -> None:
        """Stores the summary of a peer; an invalid summary is ignored."""
        values = [summary.get(name) for name in _FIELDS]
        amounts = [int(value) for value in values if value is not None]
        if len(amounts) != len(_FIELDS):
            return
        for name, load_ratio in summary.items():
            partition_id = PartitionId(name.removesuffix(_LOAD_SUFFIX))
            if partition_id == name or partition_id in self._owned:
                continue
            self._loads[partition_id] = PartitionLoad(
                partition_id,
                load_ratio,
                Resources(*amounts[:3]),
                Resources(*amounts[3:]),
            )

    def choose_partition(
        self,
        partitions: Iterable[PartitionId],
        demand: Resources,
    ) -> PartitionId | None:
        """Picks the less loaded of two random partitions.

        A partition where the demand fits is preferred. Partitions of unknown
        load count as half loaded.
        """
        candidates = sorted(partitions)
        if not candidates:
            return None
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return min(
            sampled,
            key=lambda partition_id: self._rank(partition_id, demand),
        )

    def choose_with_capacity(
        self,
        partitions: Iterable[PartitionId],
        demand: Resources,
        tasks_count: int = 1,
    ) -> PartitionId | None:
        """Picks the less loaded of two random partitions with free capacity."""
        candidates = [
            partition_id
            for partition_id in partitions
            if self.count_tasks(partition_id, demand, tasks_count)
            == tasks_count
            and self._loads[partition_id].load_ratio < 1
        ]
        return self.choose_partition(candidates, demand)

    def count_tasks(
        self,
        partition_id: PartitionId,
        demand: Resources,
        limit: int,
    ) -> int:
        """Counts the tasks that may fit; 0 if the load is unknown."""
        load = self._loads.get(partition_id)
        return 0 if load is None else load.count_tasks(demand, limit)

    def count_likely_tasks(
        self,
        partition_id: PartitionId,
        demand: Resources,
        limit: int,
    ) -> int:
        """Counts the tasks that likely fit; 0 if the load is unknown."""
        load = self._loads.get(partition_id)
        return 0 if load is None else load.count_likely_tasks(demand, limit)

    def _rank(
        self,
        partition_id: PartitionId,
        demand: Resources,
    ) -> tuple[bool, float]:
        load = self._loads.get(partition_id)
        if load is None:
            return False, 0.5
        return not load.fits(demand), load.load_ratio


def _amounts(amount: Resources) -> tuple[int, int, int]:
    return amount.cpu_milli, amount.memory_mb, amount.accelerators_count


def measure_load(partition: OpenPartition) -> PartitionLoad:
    """Measures the load of a partition; scans its workers, at most 400."""
    summary = partition.engine.summarise_load()
    total_cpu = summary.total.cpu_milli
    wanted_cpu = total_cpu - summary.free.cpu_milli
    wanted_cpu += summary.queued_tasks_count * _QUEUED_CPU_MILLI
    return PartitionLoad(
        partition.claim.partition_id,
        wanted_cpu / total_cpu if total_cpu else 1,
        summary.largest_free,
        summary.free,
    )


__all__ = ('SUMMARY_NAME', 'LoadTable', 'PartitionLoad', 'measure_load')
