"""Load summaries of partitions, spread with the heartbeats of daemons."""

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
# Short names, because all summaries of a heartbeat share 128 bytes.
_FIELDS: Final = ('cpu', 'mb', 'acc', 'all_cpu', 'all_mb', 'all_acc')
# The demands of queued tasks are not in a summary of fixed size; one core is
# the order of magnitude that only has to rank partitions.
_QUEUED_CPU_MILLI: Final = 1_000


@dataclass(frozen=True, slots=True)
class PartitionLoad:
    """Load of a partition.

    `load_ratio` is the committed and queued processor share of the capacity;
    `largest_free` is what the emptiest workers have free, by dimension, and
    `free` the sum over all workers.
    """

    partition_id: PartitionId
    load_ratio: float
    largest_free: Resources
    free: Resources

    def fits(self, demand: Resources) -> bool:
        """Tells whether a task of this demand may fit now."""
        free = self.largest_free
        return (
            demand.cpu_milli <= free.cpu_milli
            and demand.memory_mb <= free.memory_mb
            and demand.accelerators_count <= free.accelerators_count
        )

    def count_tasks(self, demand: Resources, limit: int) -> int:
        """Counts the tasks that may fit now, up to a limit.

        It is too high when the free capacity is in pieces that are too small.
        """
        if not self.fits(demand):
            return 0
        return count_fitting(demand, self.free, limit)

    def count_likely_tasks(self, demand: Resources, limit: int) -> int:
        """Counts the tasks that fit if all workers are as free as the best.

        Unlike `count_tasks` it leaves out what is too small on each of them.
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
    """The latest load of each partition that this daemon has heard of."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._loads: dict[PartitionId, PartitionLoad] = {}
        self._owned: tuple[PartitionId, ...] = ()
        self._summary_index = 0

    def update(self, partitions: Iterable[OpenPartition]) -> None:
        """Takes the load of the partitions that are owned here."""
        loads = [measure_load(partition) for partition in partitions]
        self._owned = tuple(load.partition_id for load in loads)
        for load in loads:
            self._loads[load.partition_id] = load

    def summary(self) -> dict[str, float]:
        """Returns the load of one owned partition, in turns.

        The size is fixed, so that heartbeats stay small with any number of
        partitions.
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
        """Takes over the summary of a peer; a bad one is ignored."""
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

        One where the demand fits is preferred. Partitions of unknown load
        count as half loaded.
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
        """Picks of two random partitions with room the less loaded one."""
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
        """Counts the tasks that may fit; 0 while the load is unknown."""
        load = self._loads.get(partition_id)
        return 0 if load is None else load.count_tasks(demand, limit)

    def count_likely_tasks(
        self,
        partition_id: PartitionId,
        demand: Resources,
        limit: int,
    ) -> int:
        """Counts the tasks that likely fit; 0 while the load is unknown."""
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
    """Measures a partition; scans its workers, at most 400."""
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
