"""Limits of services from the configuration document in force."""

from typing import Final

from radishlift.config.api import ConfigView
from radishlift.config.document import Service
from radishlift.core.ids import ServiceName

_DEFAULT_LONGEST_DEADLINE_MS: Final = 30_000


class ServiceLimits:
    """Looks up services and tracks the longest deadline of all documents.

    Requests admitted under an earlier document may still run, so a shorter
    deadline in a later document must not shorten the wait for their end.
    """

    def __init__(self, view: ConfigView) -> None:
        self._view = view
        self._longest_deadline_ms = 0

    def service(self, name: ServiceName) -> Service | None:
        """Returns a service of the document in force; None if unknown."""
        document = self._view.current()
        return None if document is None else document.services.get(name)

    @property
    def has_document(self) -> bool:
        """Returns whether there is a document in force."""
        return self._view.current() is not None

    @property
    def service_names(self) -> tuple[ServiceName, ...]:
        """Returns the names of the services of the document in force."""
        document = self._view.current()
        return () if document is None else tuple(document.services)

    def slots_per_executor(self, name: ServiceName) -> int:
        """Returns the slots of each executor; 0 for an unknown service."""
        service = self.service(name)
        return 0 if service is None else service.slots_count

    @property
    def longest_deadline_ms(self) -> int:
        """Returns the longest deadline of any service in all documents."""
        document = self._view.current()
        if document is None:
            return max(self._longest_deadline_ms, _DEFAULT_LONGEST_DEADLINE_MS)
        for service in document.services.values():
            self._longest_deadline_ms = max(
                self._longest_deadline_ms, service.max_deadline_ms
            )
        return self._longest_deadline_ms


__all__ = ('ServiceLimits',)
