"""Exchanges configuration versions with individual peers."""

import asyncio
from collections.abc import Iterable
from typing import Any

from radishlift.config.local_config import LocalConfig
from radishlift.config.messages import (
    ConfigAck,
    ConfigEverywhere,
    ConfigFetch,
    ConfigProbe,
    ConfigUpdate,
)
from radishlift.config.progress import RolloutProgress
from radishlift.config.receiver import UpdateReceiver
from radishlift.config.settings import ConfigSettings
from radishlift.core.ids import ConfigVersion, DaemonId
from radishlift.wire.network import PeerNetwork


class PeerExchange:
    """Brings this daemon and a peer to the higher of their two versions.

    At most one exchange runs per peer. Changes made meanwhile are sent
    together, and a peer that does not answer is sent only a small probe per
    poll instead of a queue of updates.
    """

    def __init__(
        self,
        network: PeerNetwork,
        local: LocalConfig,
        progress: RolloutProgress,
        settings: ConfigSettings,
        receiver: UpdateReceiver,
    ) -> None:
        self._network = network
        self._local = local
        self._progress = progress
        self._timeout_ms = settings.peer_timeout_ms
        self._receiver = receiver
        self._exchanges: dict[DaemonId, asyncio.Task[None]] = {}
        self._announcements: set[asyncio.Task[Any]] = set()

    def push(self, peer: DaemonId) -> None:
        """Starts sending the local version unless the peer has it."""
        self._start(peer, self._progress.version_of(peer))

    def probe(self, peer: DaemonId) -> None:
        """Starts comparing versions with a peer."""
        self._start(peer, None)

    async def compare(self, peer: DaemonId) -> None:
        """Compares versions with a peer and waits until that has ended."""
        await asyncio.wait((self._start(peer, None),))

    def announce(
        self,
        peers: Iterable[DaemonId],
        announcement: ConfigEverywhere,
    ) -> None:
        """Announces the version in force on all daemons, without retries."""
        for peer in peers:
            task = asyncio.create_task(self._network.send(peer, announcement))
            self._announcements.add(task)
            task.add_done_callback(self._announcements.discard)

    async def stop(self) -> None:
        """Cancels running exchanges."""
        tasks = (*self._exchanges.values(), *self._announcements)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start(
        self,
        peer: DaemonId,
        peer_version: ConfigVersion | None,
    ) -> asyncio.Task[None]:
        if peer not in self._exchanges:
            task = asyncio.create_task(
                self._exchange_versions(peer, peer_version)
            )
            self._exchanges[peer] = task
        return self._exchanges[peer]

    async def _exchange_versions(
        self, peer: DaemonId, peer_version: ConfigVersion | None
    ) -> None:
        # There is no await between the last comparison and the removal of the
        # entry, so a version accepted after it starts a new exchange.
        try:
            while peer_version != self._local.version:
                if (
                    peer_version is not None
                    and peer_version > self._local.version
                ):
                    await self._fetch(peer)
                    return
                acknowledged = await self._send_version(peer, peer_version)
                if acknowledged is None or acknowledged == peer_version:
                    return
                peer_version = acknowledged
        finally:
            self._exchanges.pop(peer, None)

    async def _send_version(
        self,
        peer: DaemonId,
        peer_version: ConfigVersion | None,
    ) -> ConfigVersion | None:
        if peer_version is None:
            message: object = ConfigProbe(self._local.version)
        else:
            message = self._local.update_from(peer_version)
        reply = await self._network.call(peer, message, self._timeout_ms)
        if isinstance(reply, ConfigAck):
            self._receiver.record_peer_version(peer, reply.version)
            return reply.version
        self._progress.mark_unresponsive(peer)
        return None

    async def _fetch(self, peer: DaemonId) -> None:
        request = ConfigFetch(self._local.version)
        reply = await self._network.call(peer, request, self._timeout_ms)
        if isinstance(reply, ConfigUpdate):
            await self._receiver.apply_update(peer, reply)


__all__ = ('PeerExchange',)
