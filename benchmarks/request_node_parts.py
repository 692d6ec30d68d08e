"""What a benchmark node needs besides the router: fixed and empty parts."""

from dataclasses import dataclass, replace
from typing import Final

from radishlift.config.document import ConfigDocument, Department, Service
from radishlift.core.ids import (
    ConfigVersion,
    DaemonId,
    DepartmentName,
    Incarnation,
    ServiceName,
)
from radishlift.membership.api import Member
from radishlift.requests.service_times import ServiceTimes

DEADLINE_MS: Final = 2_000
MAX_WAIT_MS: Final = 1_000


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Identity and addresses of a node."""

    daemon_id: str
    service: str
    platform: str
    peers: dict[str, str]
    urgent_classes: tuple[str, ...]


class StaticMembers:
    """Members that never fail; the benchmark kills none."""

    def members(self) -> tuple[Member, ...]:
        """Lists nobody; the peers come from the options."""
        return ()

    def is_suspected(self, _daemon_id: DaemonId) -> bool:
        """Suspects nobody."""
        return False

    def is_dead(self, _daemon_id: DaemonId, _incarnation: Incarnation) -> bool:
        """Has no evidence of death."""
        return False


class NoEstimates(ServiceTimes):
    """Switches early refusal off, for the baseline without shedding."""

    def mean_ms(self, _service: ServiceName, _rank: int) -> float:
        """Expects no wait."""
        return 0

    def likely_ms(self, _service: ServiceName, _rank: int) -> float:
        """Expects no run time."""
        return 0


class StaticConfig:
    """A document with one service."""

    def __init__(self, options: NodeOptions) -> None:
        service = Service(
            'depot',
            max_deadline_ms=DEADLINE_MS,
            default_deadline_ms=DEADLINE_MS,
            max_wait_ms=MAX_WAIT_MS,
            urgent_classes=options.urgent_classes,
        )
        self.document = ConfigDocument(
            ConfigVersion(1),
            departments={DepartmentName('depot'): Department()},
            services={ServiceName(options.service): service},
        )

    def current(self) -> ConfigDocument:
        """Returns the document."""
        return self.document

    def lift_queue_bound(self) -> None:
        """Lets the queue grow, and wait, without a bound that matters."""
        services = {
            name: replace(
                each,
                max_queue_count=100_000,
                max_wait_ms=DEADLINE_MS,
            )
            for name, each in self.document.services.items()
        }
        self.document = replace(self.document, services=services)


__all__ = (
    'DEADLINE_MS',
    'MAX_WAIT_MS',
    'NoEstimates',
    'NodeOptions',
    'StaticConfig',
    'StaticMembers',
)
