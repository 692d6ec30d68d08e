"""The daemon: serves callers, helps the leader, and leads if it must."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from radishlift.cell.advising import AdviceHelper
from radishlift.cell.config_sharing import ConfigSharer
from radishlift.cell.entry_rows import RelayedRows, StoreRows
from radishlift.cell.feeds import Followed, TableFollower
from radishlift.cell.intake import Intake
from radishlift.cell.leadership import CellView, Leadership
from radishlift.cell.leading import EntryDecoder, LeaderParts, Term
from radishlift.cell.ports import AdviceCalls, CellStore, TargetCalls
from radishlift.cell.queues import QueueConfig
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import CELL, CONFIG
from radishlift.core.clock import Clock
from radishlift.core.errors import Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.core.logs import log_event
from radishlift.services.api import Row
from radishlift.steps.settings import StepSettings
from radishlift.wire.network import PeerNetwork

ConfigDecoder = Callable[[tuple[Row, ...]], QueueConfig | Failure | None]

_REGISTER_RETRY_MS = 200


@dataclass(frozen=True, slots=True)
class DaemonParts:
    """What a daemon is built of.

    `strength` orders the daemons of a cell by what their hosts can do.
    """

    daemon_id: DaemonId
    strength: int
    peer_address: Address
    store: CellStore
    targets: TargetCalls
    advice: AdviceCalls
    decode_config: ConfigDecoder
    decode_target: EntryDecoder
    settings: CellSettings
    steps: StepSettings
    clock: Clock
    max_lease_ms: int


class CellDaemon:
    """Runs what every daemon runs, and the term of a leader.

    `failed` is set when one of its loops has ended by a fault.
    """

    def __init__(self, parts: DaemonParts) -> None:
        self._parts = parts
        self._view = CellView(parts.clock)
        self._network = PeerNetwork(parts.daemon_id)
        self._helper = AdviceHelper(self._network, parts.advice)
        self._cell_follower = self._follower(CELL)
        self._config_follower = self._follower(CONFIG)
        self._sharer = ConfigSharer(
            self._network,
            self._config_follower,
            parts.settings,
            parts.clock,
        )
        self.intake = Intake(
            RelayedRows(
                StoreRows(parts.store),
                self._network,
                lambda: self._cell_follower.is_lost,
                parts.clock,
            ),
            parts.clock,
            self._pulse,
        )
        self._leadership = Leadership(
            parts.daemon_id,
            parts.store,
            self._view,
            parts.settings,
            parts.clock,
        )
        self._leader_parts = LeaderParts(
            parts.store,
            parts.targets,
            self._network,
            lambda: [parts.daemon_id, *self._network.peers],
            lambda: self.intake.config,
            parts.decode_target,
            parts.settings,
            parts.steps,
            parts.clock,
            parts.max_lease_ms,
        )
        self._term: Term | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._leading: asyncio.Task[None] | None = None
        self.failed = asyncio.Event()
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Tells whether callers should be sent here."""
        if self._is_stopping or self.intake.config is None:
            return False
        return not self._is_cut_off()

    async def start(self) -> None:
        """Begins to follow the store, and to lead when it is due."""
        await self._network.start(self._parts.peer_address)
        for work in (
            self._register(),
            self._cell_follower.run(self._on_cell_list, self._on_cell),
            self._config_follower.run(self._on_config, self._on_config),
            self._sharer.run(self._on_config),
        ):
            self._run(work)
        self._leading = self._run(self._lead())

    async def step_down(self) -> None:
        """Ends a term so that another daemon can lead at once."""
        self._is_stopping = True
        log_event('drain_started')
        if self._leading is not None:
            self._leading.cancel()
            await asyncio.wait((self._leading,))
        if self._term is not None:
            await self._leadership.release(self._term.claim)

    async def stop(self) -> None:
        """Ends all work."""
        for task in self._tasks:
            task.cancel()
        await self._network.stop()

    def _run(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)
        return task

    def _note_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # A daemon without one of its loops would do half of its work.
        log_event('loop_failed', error=repr(task.exception()))
        self.failed.set()

    def _follower(self, table: str) -> TableFollower:
        parts = self._parts
        followed = Followed(table, wait_ms=parts.settings.short_wait_ms)
        return TableFollower(parts.store, followed, parts.settings, parts.clock)

    def _is_cut_off(self) -> bool:
        """Tells whether neither the store nor a peer has answered of late."""
        follower = self._cell_follower
        if not follower.is_lost:
            return False
        heard_at_ms = max(follower.heard_at_ms or 0, self._sharer.heard_at_ms)
        silent_ms = self._parts.clock.monotonic_ms() - heard_at_ms
        return silent_ms > self._parts.settings.cut_off_ms

    def _pulse(self) -> dict[str, object]:
        if self._term is not None:
            return self._term.scheduler.jobs.pulse()
        pulse: dict[str, object] = self._view.pulse
        return pulse

    async def _register(self) -> None:
        while True:
            failure = await self._leadership.register(
                self._parts.peer_address,
                self._parts.strength,
            )
            if failure is None:
                return
            log_event('registration_failed', reason=failure.reason)
            await asyncio.sleep(_REGISTER_RETRY_MS / 1000)

    async def _lead(self) -> None:
        while True:
            claim = await self._leadership.wait_for_claim(self._cell_follower)
            self._term = Term(claim, self._leader_parts)
            await self._term.run()
            self._term = None
            self._leadership.follow()

    def _on_cell_list(self, rows: tuple[Row, ...]) -> None:
        self._view.replace(rows)
        self._note_peers()

    def _on_cell(self, rows: tuple[Row, ...]) -> None:
        self._view.update(rows)
        self._note_peers()

    def _note_peers(self) -> None:
        daemons = self._view.daemons()
        if set(daemons) - {self._parts.daemon_id} != set(self._network.peers):
            log_event('peers_known', count=len(daemons))
        self._network.set_peers(daemons)
        # Peers that open no stream to this daemon announce none here.
        for daemon_id, level in self._view.format_levels().items():
            self._network.levels.note(daemon_id, level)

    def _on_config(self, rows: tuple[Row, ...]) -> None:
        config = self._parts.decode_config(rows)
        if config is None:
            return
        if isinstance(config, Failure):
            log_event('config_refused', reason=config.reason)
            return
        current = self.intake.config
        if current is not None and config.version <= current.version:
            return
        self.intake.config = config
        self._sharer.hold(rows)
        log_event('config_in_force', version=config.version)
        if self._term is not None:
            self._term.follow_config(config)


__all__ = ('CellDaemon', 'DaemonParts')
