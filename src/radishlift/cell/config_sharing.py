"""Passes the configuration on to daemons that the store turns away."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Final

from radishlift.cell.feeds import TableFollower
from radishlift.cell.messages import ConfigAsk, ConfigTold
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import CONFIG
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId
from radishlift.core.logs import log_event
from radishlift.services.api import Row
from radishlift.wire.network import PeerNetwork

_CALL_MS: Final = 400


class ConfigSharer:
    """Holds the newest row of the configuration and asks peers for it.

    Peers are asked only while this daemon can't read the store;
    `heard_at_ms` is when one answered last.
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
        self.heard_at_ms = 0
        self._held: Row | None = None
        network.register(ConfigAsk, self._serve)

    def hold(self, rows: tuple[Row, ...]) -> None:
        """Keeps the row that is in force here."""
        for row in rows:
            if self._held is None or row.version > self._held.version:
                self._held = row

    async def run(self, on_rows: Callable[[tuple[Row, ...]], None]) -> None:
        """Asks peers while the store can't be read."""
        while True:
            await asyncio.sleep(self._settings.share_config_ms / 1000)
            peers = self._network.peers
            if not self._follower.is_lost or not peers:
                continue
            told = await self._ask(random.choice(peers))
            if not isinstance(told, ConfigTold):
                continue
            self.heard_at_ms = self._clock.monotonic_ms()
            if told.text:
                log_event('config_from_peer', row_version=told.row_version)
                row = Row(
                    CONFIG,
                    'config',
                    told.row_version,
                    json.loads(told.text),
                )
                on_rows((row,))

    async def _ask(self, peer: DaemonId) -> ConfigTold | Failure | None:
        known = 0 if self._held is None else self._held.version
        try:
            async with asyncio.timeout(_CALL_MS / 1000):
                told: ConfigTold | Failure = await self._network.call(
                    peer,
                    ConfigAsk(known),
                    _CALL_MS,
                )
        except TimeoutError:
            return None
        return told

    async def _serve(self, _: DaemonId, ask: ConfigAsk) -> ConfigTold:
        held = self._held
        if held is None or held.version <= ask.row_version:
            return ConfigTold(ask.row_version, '')
        return ConfigTold(held.version, json.dumps(held.value))


__all__ = ('ConfigSharer',)
