"""A daemon's knowledge of the host list, and whether it allows new work.

The age of the knowledge is measured on this daemon's monotonic clock from the
time at which the read was sent, because the list may be older than the arrival
of the answer. The clock continues while the process is paused, so a check
right before a send is also valid after a pause.
"""

from collections.abc import Callable, Collection
from enum import Enum, unique

from radishlift.core.clock import Clock
from radishlift.core.ids import Address
from radishlift.core.logs import log_event


@unique
class SendVerdict(Enum):
    """Whether new work may be sent to a host now."""

    allowed = 'allowed'
    outdated = 'outdated'
    leaving = 'leaving'


class SendNotAllowedError(Exception):
    """Stops an HTTP exchange before its first byte is sent.

    Raised in a hook of the HTTP client that runs before a send, where an
    exception is the only way to stop the exchange. It never leaves the
    clients of this project.
    """

    def __init__(self, verdict: SendVerdict) -> None:
        super().__init__(f'not sent: host list says {verdict.value}')
        self.verdict = verdict


class HostKnowledge:
    """The hosts that are leaving, and the time of the read they are from.

    `listed_at_ms` is when the last read of the whole list was sent, or None
    before it. Reports of peers about leaving hosts don't move it.
    """

    def __init__(self, clock: Clock, limit_ms: int) -> None:
        self.listed_at_ms: int | None = None
        self._clock = clock
        self._limit_ms = limit_ms
        self._known_at_ms: int | None = None
        self._leaving: frozenset[Address] = frozenset()
        self._listeners: list[Callable[[], None]] = []
        self._is_outdated_logged = False
        self.outdated_count = 0

    @property
    def age_ms(self) -> int | None:
        """Returns the age of the knowledge; None before the first read."""
        if self._known_at_ms is None:
            return None
        return self._clock.monotonic_ms() - self._known_at_ms

    @property
    def is_outdated(self) -> bool:
        """Returns whether no new work may be sent to any host."""
        age_ms = self.age_ms
        return age_ms is None or age_ms > self._limit_ms

    def check(self, address: Address) -> SendVerdict:
        """Returns whether a host may get new work; call right before a send."""
        if self.is_outdated:
            self.log_if_outdated()
            return SendVerdict.outdated
        if address in self._leaving:
            return SendVerdict.leaving
        return SendVerdict.allowed

    def log_if_outdated(self) -> None:
        """Logs and counts once that the knowledge has become outdated."""
        if self._is_outdated_logged or not self.is_outdated:
            return
        self._is_outdated_logged = True
        self.outdated_count += 1
        log_event('host_list_outdated', age_ms=self.age_ms)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Adds a listener, called when the knowledge is current again."""
        self._listeners.append(listener)

    def update(
        self,
        leaving: Collection[Address],
        known_at_ms: int,
        listed_at_ms: int | None = None,
    ) -> None:
        """Stores the leaving hosts; ignores a read older than the last."""
        if listed_at_ms is not None:
            self.listed_at_ms = listed_at_ms
        if self._known_at_ms is not None and known_at_ms < self._known_at_ms:
            return
        self._known_at_ms = known_at_ms
        self._leaving = frozenset(leaving)
        if self.is_outdated or not self._is_outdated_logged:
            return
        self._is_outdated_logged = False
        log_event('host_list_current', age_ms=self.age_ms)
        for listener in self._listeners:
            listener()


__all__ = ('HostKnowledge', 'SendNotAllowedError', 'SendVerdict')
