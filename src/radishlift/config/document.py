"""The operators' document: its entities, each one section of the INI text."""

from dataclasses import dataclass, field

from radishlift.core.ids import (
    ConfigVersion,
    DepartmentName,
    PartitionId,
    RackId,
    ServiceName,
    TeamName,
)
from radishlift.settings.sections import bounded, choice, required_number

MAX_MILLI = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Department:
    """A department and the policy that it is judged by.

    `share_weight` is its weight in the fair share of the cell. Ageing
    puts a task first once it has waited `max_wait_ms`.
    """

    policy: str = 'waiting_first'
    share_weight: float = bounded(1.0, 0.001, 1000)
    max_wait_ms: int = bounded(600_000, 1000, 86_400_000)


@dataclass(frozen=True, slots=True)
class Team:
    """A team of a department with its quota; 0 means no limit."""

    department: str
    cpu_milli: int = bounded(0, 0, MAX_MILLI)
    memory_mb: int = bounded(0, 0, MAX_MILLI)
    accelerators_count: int = bounded(0, 0, MAX_MILLI)


@dataclass(frozen=True, slots=True)
class Service:
    """A service whose executors answer requests of callers.

    `urgent_classes` are the request classes that are shed last, in order.
    `max_wait_ms` limits the time that a request of any class waits for a
    slot.
    """

    department: str
    slots_count: int = bounded(8, 1, 10_000)
    connections_count: int = bounded(60, 1, 10_000)
    max_deadline_ms: int = bounded(30_000, 100, 600_000)
    default_deadline_ms: int = bounded(5_000, 100, 600_000)
    max_body_bytes: int = bounded(1_048_576, 1, 67_108_864)
    max_queue_count: int = bounded(256, 0, 100_000)
    max_wait_ms: int = bounded(5_000, 10, 600_000)
    retry_budget_ratio: float = bounded(0.1, 0, 1)
    max_ejected_ratio: float = bounded(0.3, 0, 0.9)
    urgent_classes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Partition:
    """A group of racks with one owner daemon."""

    racks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective.

    `target_ratio` of the events of `subject` must end within `limit_ms`;
    `subject` is the name of a service or department.
    """

    subject: str
    target_ratio: float = required_number(0.5, 0.99999)
    indicator: str = choice('latency', ('latency', 'waiting', 'availability'))
    limit_ms: int = bounded(1_800, 1, 86_400_000)


@dataclass(frozen=True, slots=True)
class ConfigDocument:
    """One version of the configuration, with its entities by name."""

    version: ConfigVersion
    departments: dict[DepartmentName, Department] = field(default_factory=dict)
    teams: dict[TeamName, Team] = field(default_factory=dict)
    services: dict[ServiceName, Service] = field(default_factory=dict)
    partitions: dict[PartitionId, Partition] = field(default_factory=dict)
    objectives: dict[str, Objective] = field(default_factory=dict)

    def partition_of_rack(self, rack: RackId) -> PartitionId | None:
        """Returns the partition that a rack belongs to, or None."""
        for partition_id, partition in self.partitions.items():
            if rack in partition.racks:
                return partition_id
        return None


__all__ = (
    'ConfigDocument',
    'Department',
    'Objective',
    'Partition',
    'Service',
    'Team',
)
