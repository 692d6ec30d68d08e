"""Messages that distribute the configuration between daemons.

The size limit of the document bounds a message; it is a quarter of the limit
on frames.
"""

from dataclasses import dataclass

from radishlift.config.merge import Delta
from radishlift.core.ids import ConfigVersion
from radishlift.wire.messages import message


@message('config_update')
@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """A version, as the changed sections or as the full text.

    `sections` contains every section changed after `base`, as it is in
    `version`, so it applies to any version from `base` on. If `text` is set,
    it replaces the document and `base` is not used. The reply is a
    `ConfigAck`.
    """

    version: ConfigVersion
    base: ConfigVersion
    sections: Delta
    text: str = ''


@message('config_ack')
@dataclass(frozen=True, slots=True)
class ConfigAck:
    """The version in force at the sender; 0 means none."""

    version: ConfigVersion


@message('config_probe')
@dataclass(frozen=True, slots=True)
class ConfigProbe:
    """Reports the sender's version and requests that of the receiver."""

    version: ConfigVersion


@message('config_fetch')
@dataclass(frozen=True, slots=True)
class ConfigFetch:
    """Requests a `ConfigUpdate` from this version to the receiver's."""

    version: ConfigVersion


@message('config_everywhere')
@dataclass(frozen=True, slots=True)
class ConfigEverywhere:
    """Announces the time since when all daemons have a version in force."""

    version: ConfigVersion
    at_ms: int


__all__ = (
    'ConfigAck',
    'ConfigEverywhere',
    'ConfigFetch',
    'ConfigProbe',
    'ConfigUpdate',
)
