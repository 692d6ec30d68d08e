"""Interface to the configuration in force."""

from typing import Protocol

from radishlift.config.document import ConfigDocument


class ConfigView(Protocol):
    """The configuration in force in this daemon."""

    def current(self) -> ConfigDocument | None:
        """Returns the document in force; None before the first is known."""


__all__ = ('ConfigView',)
