"""Bounds within which changes of keys take effect."""

from dataclasses import dataclass
from typing import Final

# The rest covers clocks of hosts that differ in speed, and a store that, while
# it drops its history, tells up to a second late of a change.
_KNOWN_SHARE: Final = 0.8
# An unknown key is only refused for good by hosts that can read the store.
_UNKNOWN_SHARE: Final = 0.9


@dataclass(frozen=True, slots=True)
class AccessSettings:
    """Bounds that a deployment sets; None means that it sets none.

    `revoke_within_ms` is the time from the acknowledgement of a configuration
    after which no daemon may serve a key that it took away, whether or not the
    daemon has seen it. `config_within_ms` is the time after which daemons that
    can read the store must serve the keys that it added.
    """

    revoke_within_ms: int | None = None
    config_within_ms: int | None = None

    @property
    def max_known_age_ms(self) -> int | None:
        """Returns up to which age a configuration proves that a key is valid.

        The request is sent before it is judged, so that the time until its
        job is stored needs no margin.
        """
        return _reduce(self.revoke_within_ms, _KNOWN_SHARE)

    @property
    def max_unknown_age_ms(self) -> int | None:
        """Returns up to which age it proves that a key is unknown."""
        return _reduce(self.config_within_ms, _UNKNOWN_SHARE)


def _reduce(bound_ms: int | None, share: float) -> int | None:
    return None if bound_ms is None else int(bound_ms * share)


__all__ = ('AccessSettings',)
