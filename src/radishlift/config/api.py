"""Interface to the configuration document in force."""

from typing import Protocol

from radishlift.config.document import ConfigDocument


class ConfigView(Protocol):
    """Read access to the document in force in this daemon."""

    def current(self) -> ConfigDocument | None:
        """Returns the document in force; None if none is known."""


__all__ = ('ConfigView',)
