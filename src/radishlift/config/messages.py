"""Messages that spread the configuration between daemons.

A message is bounded by the size limit of the document, which is a quarter of
the bound on frames.
"""

from dataclasses import dataclass

from radishlift.config.merge import Delta
from radishlift.core.ids import ConfigVersion
from radishlift.wire.messages import message


@message('config_update')
@dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """A version, as the changed sections or as the full text.

    `sections` has every section changed after `base`, as it is in `version`:
    it turns any version from `base` on into `version`. With a `text` the
    base does not matter. The reply is a `ConfigAck`.
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
    """Tells the sender's version and asks for that of the receiver."""

    version: ConfigVersion


@message('config_fetch')
@dataclass(frozen=True, slots=True)
class ConfigFetch:
    """Asks for a `ConfigUpdate` from this version to the receiver's."""

    version: ConfigVersion


@message('config_everywhere')
@dataclass(frozen=True, slots=True)
class ConfigEverywhere:
    """Tells since when a version has been in force on all daemons."""

    version: ConfigVersion
    at_ms: int


__all__ = (
    'ConfigAck',
    'ConfigEverywhere',
    'ConfigFetch',
    'ConfigProbe',
    'ConfigUpdate',
)
