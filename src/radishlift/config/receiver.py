"""Handles the messages of peers about the configuration."""

import asyncio
from collections.abc import Callable

from radishlift.config.held import HeldConfig
from radishlift.config.messages import (
    ConfigAck,
    ConfigEverywhere,
    ConfigFetch,
    ConfigProbe,
    ConfigUpdate,
)
from radishlift.config.progress import Progress
from radishlift.config.snapshot import parse_snapshot
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion, DaemonId
from radishlift.core.logs import log_event
from radishlift.wire.network import PeerNetwork

Report = Callable[[], None]


class UpdateReceiver:
    """Takes updates into the held document and answers with its version.

    Repeated, reordered and outdated updates change nothing.
    """

    def __init__(
        self,
        held: HeldConfig,
        progress: Progress,
        on_advanced: Report,
        on_heard: Report,
    ) -> None:
        self._held = held
        self._progress = progress
        self._on_advanced = on_advanced
        self._on_heard = on_heard

    def register(self, network: PeerNetwork) -> None:
        """Registers the handlers of all messages."""
        network.register(ConfigUpdate, self._receive_update)
        network.register(ConfigProbe, self._receive_probe)
        network.register(ConfigFetch, self._receive_fetch)
        network.register(ConfigEverywhere, self._receive_everywhere)

    def hear(self, peer: DaemonId, version: ConfigVersion) -> None:
        """Notes the version that a peer says it has."""
        self._progress.note(peer, version)
        self._on_heard()

    async def take(self, sender: DaemonId, update: ConfigUpdate) -> None:
        """Takes an update if it is newer than the held document."""
        if update.text:
            taken = await self._take_text(update)
        else:
            taken = self._held.apply(update)
        if isinstance(taken, Failure):
            log_event(
                'config_update_refused',
                sender=sender,
                version=update.version,
                reason=taken.reason,
            )
        elif taken:
            self._on_advanced()

    async def _take_text(self, update: ConfigUpdate) -> bool | Failure:
        if update.version <= self._held.version:
            return False
        # A full text takes some 25 ms to parse, too long for the event loop.
        parsed = await asyncio.to_thread(
            parse_snapshot,
            update.text,
            update.version,
            self._held.policies,
            self._held.snapshot,
        )
        return self._held.take(parsed)

    async def _receive_update(
        self,
        sender: DaemonId,
        update: ConfigUpdate,
    ) -> ConfigAck:
        await self.take(sender, update)
        self.hear(sender, update.version)
        return ConfigAck(self._held.version)

    async def _receive_probe(
        self,
        sender: DaemonId,
        probe: ConfigProbe,
    ) -> ConfigAck:
        self.hear(sender, probe.version)
        return ConfigAck(self._held.version)

    async def _receive_fetch(
        self,
        _sender: DaemonId,
        fetch: ConfigFetch,
    ) -> ConfigUpdate:
        return self._held.update_from(fetch.version)

    async def _receive_everywhere(
        self,
        _sender: DaemonId,
        everywhere: ConfigEverywhere,
    ) -> None:
        self._progress.record_everywhere(everywhere.version, everywhere.at_ms)


__all__ = ('UpdateReceiver',)
