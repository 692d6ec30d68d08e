"""Shapes of the current deployments, as processes on loopback."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

RACK_SIZE: Final = 8


@dataclass(frozen=True, slots=True)
class Shape:
    """Hosts of one department; `RACK_SIZE` workers share a rack."""

    department: str
    service: str
    team: str
    policy: str
    data_centres: tuple[str, ...]
    rack_prefix: str
    urgent_classes: str
    worker_cpu_milli: int
    worker_memory_mb: int
    service_ms: str
    workers_count: int = 24
    executors_count: int = 24
    slots_count: int = 8

    @property
    def racks(self) -> tuple[str, ...]:
        """Names of the racks as the worker stand-in sets them."""
        racks_count = -(-self.workers_count // RACK_SIZE)
        return tuple(
            f'{self.rack_prefix}{index + 1}' for index in range(racks_count)
        )


SHAPES: Final = MappingProxyType(
    {
        'rug_depot': Shape(
            department='rug_depot',
            service='rugdesk',
            team='wash_floor',
            policy='waiting_first',
            data_centres=('pinetown', 'umlazi', 'verulam'),
            rack_prefix='rug-',
            urgent_classes='clinic_booking, pickup_confirmation',
            worker_cpu_milli=30_000,
            worker_memory_mb=130_000,
            service_ms='30,driver_lookup=15',
        ),
        'school_kits': Shape(
            department='school_kits',
            service='kit-desk',
            team='order_desk',
            policy='packing_first',
            data_centres=('dn-a', 'dn-b', 'hue-a'),
            rack_prefix='kit-',
            urgent_classes='price_check',
            worker_cpu_milli=16_000,
            worker_memory_mb=30_000,
            service_ms='30,price_check=10',
        ),
    }
)


def config_text(shapes: tuple[Shape, ...]) -> str:
    """Writes the configuration document of some shapes in one cell."""
    sections = []
    for shape in shapes:
        sections.extend(
            (
                f'[department:{shape.department}]\npolicy = {shape.policy}',
                f'[team:{shape.team}]\ndepartment = {shape.department}',
                f'[service:{shape.service}]\ndepartment = {shape.department}\n'
                f'slots_count = {shape.slots_count}\n'
                f'urgent_classes = {shape.urgent_classes}',
                f'[objective:{shape.service}_latency]\n'
                f'subject = {shape.service}\n'
                'limit_ms = 1000\ntarget_ratio = 0.99',
                f'[objective:{shape.department}_waiting]\n'
                f'subject = {shape.department}\nindicator = waiting\n'
                'limit_ms = 1800\ntarget_ratio = 0.95',
            )
        )
        sections.extend(
            f'[partition:{rack}]\nracks = {rack}' for rack in shape.racks
        )
    return '\n\n'.join(sections) + '\n'
