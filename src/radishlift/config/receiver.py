"""Handles configuration messages from peers."""

import asyncio
from collections.abc import Callable

from radishlift.config.local_config import LocalConfig
from radishlift.config.messages import (
    ConfigAck,
    ConfigEverywhere,
    ConfigFetch,
    ConfigProbe,
    ConfigUpdate,
)
from radishlift.config.progress import RolloutProgress
from radishlift.config.snapshot import parse_snapshot
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion, DaemonId
from radishlift.core.logs import log_event
from radishlift.wire.network import PeerNetwork

Callback = Callable[[], None]


class UpdateReceiver:
    """Applies updates to the local document and replies with its version.

    Repeated, reordered and outdated updates have no effect.
    """

    def __init__(
        self,
        local: LocalConfig,
        progress: RolloutProgress,
        on_new_version: Callback,
        on_peer_version: Callback,
    ) -> None:
        self._local = local
        self._progress = progress
        self._on_new_version = on_new_version
        self._on_peer_version = on_peer_version

    def register(self, network: PeerNetwork) -> None:
        """Registers the handlers of all messages."""
        network.register(ConfigUpdate, self._receive_update)
        network.register(ConfigProbe, self._receive_probe)
        network.register(ConfigFetch, self._receive_fetch)
        network.register(ConfigEverywhere, self._receive_everywhere)

    def record_peer_version(
        self, peer: DaemonId, version: ConfigVersion
    ) -> None:
        """Records the version that a peer reports."""
        self._progress.record_version(peer, version)
        self._on_peer_version()

    async def apply_update(
        self, sender: DaemonId, update: ConfigUpdate
    ) -> None:
        """Applies an update if it is newer than the local document."""
        if update.text:
            outcome = await self._apply_text(update)
        else:
            outcome = self._local.apply(update)
        if isinstance(outcome, Failure):
            log_event(
                'config_update_refused',
                sender=sender,
                version=update.version,
                reason=outcome.reason,
            )
        elif outcome:
            self._on_new_version()

    async def _apply_text(self, update: ConfigUpdate) -> bool | Failure:
        if update.version <= self._local.version:
            return False
        # Parsing the largest text takes about 25 ms, which would block the
        # event loop for too long.
        parsed = await asyncio.to_thread(
            parse_snapshot,
            update.text,
            update.version,
            self._local.policies,
            self._local.snapshot,
        )
        return self._local.replace_if_newer(parsed)

    async def _receive_update(
        self,
        sender: DaemonId,
        update: ConfigUpdate,
    ) -> ConfigAck:
        await self.apply_update(sender, update)
        self.record_peer_version(sender, update.version)
        return ConfigAck(self._local.version)

    async def _receive_probe(
        self,
        sender: DaemonId,
        probe: ConfigProbe,
    ) -> ConfigAck:
        self.record_peer_version(sender, probe.version)
        return ConfigAck(self._local.version)

    async def _receive_fetch(
        self,
        _sender: DaemonId,
        fetch: ConfigFetch,
    ) -> ConfigUpdate:
        return self._local.update_from(fetch.version)

    async def _receive_everywhere(
        self,
        _sender: DaemonId,
        everywhere: ConfigEverywhere,
    ) -> None:
        self._progress.record_everywhere(everywhere.version, everywhere.at_ms)


__all__ = ('UpdateReceiver',)
