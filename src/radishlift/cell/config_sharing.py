"""Sends the configuration to daemons that can't read the store."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Final

from radishlift.cell.messages import ConfigAsk, ConfigTold
from radishlift.cell.settings import CellSettings
from radishlift.cell.table_follower import TableFollower
from radishlift.cell.tables import CONFIG
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId
from radishlift.core.logs import log_event
from radishlift.services.api import Row
from radishlift.wire.network import PeerNetwork

_CALL_TIMEOUT_MS: Final = 400


class ConfigSharer:
    """Keeps the latest configuration row and requests it from peers.

    Peers are queried only while this daemon can't read the store.
    `last_contact_ms` is the time of the latest answer of a peer, and
    `on_answer` gets the id of each peer that answers.
    """

    def __init__(
        self,
        network: PeerNetwork,
        follower: TableFollower,
        settings: CellSettings,
        clock: Clock,
    ) -> None:
        self._network = network
        self._follower = follower
        self._settings = settings
        self._clock = clock
        self.last_contact_ms = 0
        self.on_answer: Callable[[DaemonId], None] = _ignore_peer
        self._current_row: Row | None = None
        network.register(ConfigAsk, self._serve)

    def update(self, rows: tuple[Row, ...]) -> None:
        """Stores the configuration row in effect if it is newer."""
        for row in rows:
            if (
                self._current_row is None
                or row.version > self._current_row.version
            ):
                self._current_row = row

    async def run(self, on_rows: Callable[[tuple[Row, ...]], None]) -> None:
        """Queries peers while the store can't be read."""
        while True:
            await asyncio.sleep(self._settings.share_config_ms / 1000)
            peers = self._network.peers
            if not self._follower.is_store_lost or not peers:
                continue
            peer = random.choice(peers)
            reply = await self._request(peer)
            if not isinstance(reply, ConfigTold):
                continue
            self.on_answer(peer)
            self.last_contact_ms = self._clock.monotonic_ms()
            if reply.text:
                log_event('config_from_peer', row_version=reply.row_version)
                row = Row(
                    CONFIG,
                    'config',
                    reply.row_version,
                    json.loads(reply.text),
                )
                on_rows((row,))

    async def _request(self, peer: DaemonId) -> ConfigTold | Failure | None:
        known_version = (
            0 if self._current_row is None else self._current_row.version
        )
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_MS / 1000):
                reply: ConfigTold | Failure = await self._network.call(
                    peer,
                    ConfigAsk(known_version),
                    _CALL_TIMEOUT_MS,
                )
        except TimeoutError:
            return None
        return reply

    async def _serve(self, _: DaemonId, request: ConfigAsk) -> ConfigTold:
        row = self._current_row
        if row is None or row.version <= request.row_version:
            return ConfigTold(request.row_version, '')
        return ConfigTold(row.version, json.dumps(row.value))


def _ignore_peer(_: DaemonId) -> None:
    """Ignores that a peer answered."""


__all__ = ('ConfigSharer',)
