"""How old a daemon's knowledge of the host list is, and what it permits.

Ages are counted on this daemon's monotonic clock from the time at which a
read was sent, since the answer may be older than its arrival. The clock goes
on while the process is paused, so that a check right before a send also holds
after a pause.
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
    """Ends an exchange before its first byte is sent.

    It passes through the HTTP client, which has no other way to end an
    exchange from the hook before a send; it never leaves our own clients.
    """

    def __init__(self, verdict: SendVerdict) -> None:
        super().__init__(f'not sent: host list says {verdict.value}')
        self.verdict = verdict


class HostKnowledge:
    """The leaving hosts and since when that is known."""

    def __init__(self, clock: Clock, limit_ms: int) -> None:
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
        """Tells whether no new work may be sent to any host."""
        age_ms = self.age_ms
        return age_ms is None or age_ms > self._limit_ms

    def check(self, address: Address) -> SendVerdict:
        """Decides on new work for a host; call it right before the send."""
        if self.is_outdated:
            self.log_if_outdated()
            return SendVerdict.outdated
        if address in self._leaving:
            return SendVerdict.leaving
        return SendVerdict.allowed

    def log_if_outdated(self) -> None:
        """Logs once that the knowledge is outdated, if it is."""
        if self._is_outdated_logged or not self.is_outdated:
            return
        self._is_outdated_logged = True
        self.outdated_count += 1
        log_event('host_list_outdated', age_ms=self.age_ms)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls a listener when new work may be sent again."""
        self._listeners.append(listener)

    def update(self, leaving: Collection[Address], known_at_ms: int) -> None:
        """Takes over what is known; an older time changes nothing."""
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
