"""Puts the newest configuration in force in this daemon and its peers."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from radishlift.config.changes import (
    Change,
    ChangeAccepted,
    ChangeResult,
)
from radishlift.config.document import ConfigDocument
from radishlift.config.exchange import PeerExchange
from radishlift.config.fleet import Fleet
from radishlift.config.local_config import LocalConfig
from radishlift.config.messages import ConfigEverywhere
from radishlift.config.poller import HeadPoller
from radishlift.config.progress import ConfigStatus, RolloutProgress
from radishlift.config.receiver import UpdateReceiver
from radishlift.config.settings import ConfigSettings
from radishlift.config.snapshot import Snapshot
from radishlift.config.store import ConfigStore
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion, DaemonId
from radishlift.core.logs import log_event
from radishlift.membership.api import MemberDirectory
from radishlift.services.api import TableStore
from radishlift.wire.network import PeerNetwork

# Each daemon probes this many random peers per poll, so that a daemon without
# access to the store receives new versions. The cost per daemon does not grow
# with the fleet.
_GOSSIP_PEERS_COUNT: Final = 2
# After this many polls every daemon probes the peers that lack the version,
# since the daemon that accepted it may have failed.
_MAX_STALLED_POLLS_COUNT: Final = 3

Listener = Callable[[ConfigDocument], None]


class ConfigDistributor:
    """Distributes the configuration; implements `ConfigView`.

    `store` provides the stored versions and their history.

    The version never decreases. New versions come from updates by peers and,
    in case these are lost, from polling the head row.
    """

    def __init__(
        self,
        table: TableStore,
        config_store: ConfigStore,
        network: PeerNetwork,
        directory: MemberDirectory,
        settings: ConfigSettings,
        clock: Clock,
    ) -> None:
        self.store = config_store
        self._settings = settings
        self._clock = clock
        self._fleet = Fleet(directory, network.daemon_id)
        self._local = LocalConfig(config_store.policies)
        self._progress = RolloutProgress(clock)
        receiver = UpdateReceiver(
            self._local,
            self._progress,
            self._on_new_version,
            self._update_everywhere_version,
        )
        receiver.register(network)
        self._exchange = PeerExchange(
            network,
            self._local,
            self._progress,
            settings,
            receiver,
        )
        self._poller = HeadPoller(
            table,
            self._local,
            settings.push_grace_ms,
            self._on_new_version,
        )
        self._listeners: list[Listener] = []
        self._accepted_version = ConfigVersion(0)
        self._stalled_polls_count = 0
        self._random = random.Random(network.daemon_id)

    def current(self) -> ConfigDocument | None:
        """Returns the document in force; None if none is known."""
        return self._local.document

    def subscribe(self, listener: Listener) -> None:
        """Registers a listener, called with each document put in force."""
        self._listeners.append(listener)

    def status(self) -> ConfigStatus:
        """Returns the last reported versions of all daemons."""
        return self._progress.status(self._local.version, self._fleet.members())

    async def refresh_status(self) -> ConfigStatus:
        """Requests the versions of all daemons, then returns the status."""
        await asyncio.gather(
            *(self._exchange.compare(peer) for peer in self._fleet.peers()),
        )
        self._update_everywhere_version()
        return self.status()

    async def change(self, change: Change) -> ChangeResult:
        """Stores a change, puts it in force here and pushes it to peers."""
        self.store.cache_snapshot(self._local.snapshot)
        return self._distribute(await self.store.change(change))

    async def rollback(
        self,
        target: ConfigVersion,
        base: ConfigVersion,
        who: str,
        why: str,
    ) -> ChangeResult:
        """Stores an earlier text as a new version and distributes it."""
        self.store.cache_snapshot(self._local.snapshot)
        return self._distribute(
            await self.store.rollback(target, base, who, why),
        )

    async def snapshot_at(self, version: ConfigVersion) -> Snapshot | Failure:
        """Returns a version; reads the store unless it is the one in force."""
        if version == self._local.version:
            return self._local.snapshot
        return await self.store.snapshot(version)

    async def start(self) -> ConfigDocument | None:
        """Loads the newest version from the store and the peers.

        The head is read with a confirmed read, which is never outdated. A
        version that was in force on all daemons before a restart is in the
        head row and known to the peers.
        """
        await asyncio.gather(
            self._poller.read(is_confirmed=True),
            *(self._exchange.compare(peer) for peer in self._fleet.peers()),
        )
        return self.current()

    async def run(self) -> None:
        """Polls the head and peers until cancelled."""
        interval_s = self._settings.poll_interval_ms / 1000
        # A random initial delay avoids simultaneous reads by all daemons.
        await asyncio.sleep(self._random.random() * interval_s)
        while True:
            await self.poll()
            await asyncio.sleep(interval_s)

    async def poll(self) -> None:
        """Probes peers and reads the head row, in case pushes were lost."""
        members = self._fleet.members()
        self._progress.keep_only(members)
        for peer in self._peers_to_probe():
            self._exchange.probe(peer)
        await self._poller.read(is_confirmed=False)
        self._update_everywhere_version()

    async def stop(self) -> None:
        """Stops the exchanges with peers."""
        await self._exchange.stop()

    def _distribute(self, outcome: ChangeResult) -> ChangeResult:
        if not isinstance(outcome, ChangeAccepted):
            return outcome
        if self._local.replace_if_newer(outcome.snapshot) is True:
            self._accepted_version = outcome.version
            self._on_new_version()
        for peer in self._fleet.peers():
            self._exchange.push(peer)
        return outcome

    def _on_new_version(self) -> None:
        document = self._local.document
        if document is None:
            return
        self._progress.record_version(self._fleet.daemon_id, document.version)
        log_event('config_in_force', version=document.version)
        for listener in self._listeners:
            listener(document)

    def _peers_to_probe(self) -> set[DaemonId]:
        peers = self._fleet.peers()
        count = min(_GOSSIP_PEERS_COUNT, len(peers))
        probed = set(self._random.sample(peers, count))
        version = self._local.version
        if self._progress.everywhere_version >= version:
            self._stalled_polls_count = 0
            return probed
        self._stalled_polls_count += 1
        is_stalled = self._stalled_polls_count > _MAX_STALLED_POLLS_COUNT
        if is_stalled or self._accepted_version == version:
            probed.update(
                peer
                for peer in peers
                if (self._progress.version_of(peer) or 0) < version
            )
        return probed

    def _update_everywhere_version(self) -> None:
        members = self._fleet.members()
        if self._fleet.daemon_id not in members:
            return
        lowest = self._progress.lowest_version(members)
        now_ms = self._clock.wall_ms()
        if self._progress.record_everywhere(lowest, now_ms):
            announcement = ConfigEverywhere(lowest, now_ms)
            self._exchange.announce(self._fleet.peers(), announcement)


__all__ = ('ConfigDistributor',)
