"""Sends the configuration to daemons that can't read the store."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Final

from radishlift.access.freshness import ConfigFreshness
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
# A link of 5 Mbit/s needs 1.7 s for the longest message, and may be shared.
_LONGEST_CALL_MS: Final = 5000
_CONFIG_KEY: Final = 'config'


class ConfigSharer:
    """Keeps the latest configuration row and requests it from peers.

    Peers are queried only while this daemon can't read the store.
    `last_contact_ms` is the time of the latest answer of a peer, and
    `on_answer` gets the id of each peer that answers. A peer may itself be
    behind, so its answer counts only for the time for which it vouches.
    `freshness` tells how recent the configuration is.
    """

    def __init__(
        self,
        network: PeerNetwork,
        follower: TableFollower,
        settings: CellSettings,
        clock: Clock,
        freshness: ConfigFreshness | None = None,
    ) -> None:
        self._network = network
        self.freshness = freshness or ConfigFreshness(clock)
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
            is_config = row.key == _CONFIG_KEY and row.value is not None
            if is_config and row.version > self._row_version:
                self._current_row = row

    async def run(self, on_rows: Callable[[tuple[Row, ...]], None]) -> None:
        """Queries peers while the store can't be read."""
        while True:
            await asyncio.sleep(self._settings.share_config_ms / 1000)
            peers = self._network.peers
            if not self._follower.is_store_lost or not peers:
                continue
            peer = random.choice(peers)
            requested_at_ms = self._clock.monotonic_ms()
            reply = await self._request(peer)
            if not isinstance(reply, ConfigTold):
                continue
            self.on_answer(peer)
            self.last_contact_ms = self._clock.monotonic_ms()
            if reply.text:
                log_event('config_from_peer', row_version=reply.row_version)
                row = Row(
                    CONFIG,
                    _CONFIG_KEY,
                    reply.row_version,
                    json.loads(reply.text),
                )
                on_rows((row,))
            self._confirm(reply, requested_at_ms)

    @property
    def _row_version(self) -> int:
        return 0 if self._current_row is None else self._current_row.version

    def _confirm(self, reply: ConfigTold, requested_at_ms: int) -> None:
        """Adds the time since the request to the age that the peer reports.

        What the peer knew counts for any configuration that is not older.
        """
        if reply.age_ms is None or reply.row_version > self._row_version:
            return
        # Both times are rounded down to milliseconds.
        age_ms = max(0, reply.age_ms) + 1
        self.freshness.confirm(requested_at_ms - age_ms)

    async def _request(self, peer: DaemonId) -> ConfigTold | Failure | None:
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_MS / 1000):
                failure = await self._network.probe(peer)
        except TimeoutError:
            return None
        if failure is not None:
            return failure
        reply: ConfigTold | Failure = await self._network.call(
            peer,
            ConfigAsk(self._row_version),
            _CALL_TIMEOUT_MS,
            _LONGEST_CALL_MS,
        )
        return reply

    async def _serve(self, _: DaemonId, request: ConfigAsk) -> ConfigTold:
        row = self._current_row
        if row is None or row.version <= request.row_version:
            age_ms = None if row is None else self.freshness.age_ms
            return ConfigTold(request.row_version, '', age_ms)
        text = json.dumps(row.value)
        return ConfigTold(row.version, text, self.freshness.age_ms)


def _ignore_peer(_: DaemonId) -> None:
    """Ignores that a peer answered."""


__all__ = ('ConfigSharer',)
