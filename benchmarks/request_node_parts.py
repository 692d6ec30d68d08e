"""Fixed dependencies of the router of a benchmark node."""

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
        """Returns no members; the peers are set from the options."""
        return ()

    def is_suspected(self, _daemon_id: DaemonId) -> bool:
        """Returns False: no peer is suspected."""
        return False

    def has_ended(
        self, _daemon_id: DaemonId, _incarnation: Incarnation
    ) -> bool:
        """Returns False: no peer has ended."""
        return False

    def is_dead(self, _daemon_id: DaemonId, _incarnation: Incarnation) -> bool:
        """Returns False: no peer is dead."""
        return False


class NoEstimates(ServiceTimes):
    """Disables early refusals, for the baseline without load shedding."""

    def mean_ms(self, _service: ServiceName, _rank: int) -> float:
        """Returns 0, so that no wait is expected."""
        return 0

    def likely_ms(self, _service: ServiceName, _rank: int) -> float:
        """Returns 0, so that no run time is expected."""
        return 0


class StaticConfig:
    """A configuration document with one service."""

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
        """Sets the limits of the queue so high that no load reaches them."""
        services = {
            name: replace(
                service,
                max_queue_count=100_000,
                max_wait_ms=DEADLINE_MS,
            )
            for name, service in self.document.services.items()
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
