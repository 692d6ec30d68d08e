"""The daemon: serves callers, supports the leader and may become leader."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from radishlift.access.gate import KeyGate
from radishlift.access.settings import AccessSettings
from radishlift.cell.advice_dispatch import AdviceProxy
from radishlift.cell.config_sharing import ConfigSharer
from radishlift.cell.job_service import JobService
from radishlift.cell.leader_dependencies import LeaderDependencies
from radishlift.cell.leader_term import LeaderTerm
from radishlift.cell.leadership import CellView, Leadership
from radishlift.cell.ports import AdviceCalls, CellStore, TargetCalls
from radishlift.cell.queues import QueueConfig
from radishlift.cell.settings import CellSettings
from radishlift.cell.store_access import StoreAccess
from radishlift.cell.table_follower import FollowedTable, TableFollower
from radishlift.cell.tables import CELL, CONFIG
from radishlift.cell.target_entries import EntryDecoder
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
class DaemonDependencies:
    """Dependencies and settings of a daemon.

    `leader_rank` orders the daemons of a cell by the capacity of their hosts;
    the highest leads first. `target_heartbeat_ms` is the interval at which
    targets write their entries, and `max_row_bytes` the limit of a row of the
    store; 0 if they are unknown.
    """

    daemon_id: DaemonId
    leader_rank: int
    peer_address: Address
    store: CellStore
    targets: TargetCalls
    advice: AdviceCalls
    decode_config: ConfigDecoder
    decode_target: EntryDecoder
    settings: CellSettings
    step_settings: StepSettings
    clock: Clock
    max_lease_ms: int
    target_heartbeat_ms: int = 0
    max_row_bytes: int = 0
    access: AccessSettings = AccessSettings()


class CellDaemon:
    """Runs the loops of a daemon, and the leader term while it leads.

    `failed` is set when one of the loops has ended with an exception.
    """

    def __init__(self, dependencies: DaemonDependencies) -> None:
        self._dependencies = dependencies
        self._view = CellView(dependencies.clock)
        self._network = PeerNetwork(dependencies.daemon_id)
        self._access = StoreAccess(
            dependencies.store,
            self._network,
            dependencies.settings,
            dependencies.clock,
        )
        self._advice_proxy = AdviceProxy(self._network, dependencies.advice)
        self._cell_follower = self._create_follower(CELL)
        self._cell_follower.on_regained = self._view.exclude_outage
        self._config_follower = self._create_follower(CONFIG)
        self._config_sharer = ConfigSharer(
            self._network,
            self._config_follower,
            dependencies.settings,
            dependencies.clock,
        )
        self.freshness = self._config_sharer.freshness
        self._config_follower.on_read = self.freshness.confirm
        self._config_sharer.on_answer = self._access.readmit
        self.job_service = JobService(
            self._access.rows,
            dependencies.clock,
            self._heartbeat_fields,
            dependencies.max_row_bytes,
            KeyGate(self.freshness, dependencies.access),
        )
        self.job_service.get_outage_ms = lambda: self._access.watch.outage_ms
        self._leadership = Leadership(
            dependencies.daemon_id,
            self._access.store,
            self._view,
            dependencies.settings,
            dependencies.clock,
        )
        self._cell_follower.choose_rest_ms = self._leadership.choose_rest_ms
        self._leader_dependencies = LeaderDependencies(
            self._access.store,
            dependencies.targets,
            self._network,
            lambda: [dependencies.daemon_id, *self._network.peers],
            lambda: self.job_service.config,
            dependencies.decode_target,
            dependencies.settings,
            dependencies.step_settings,
            dependencies.clock,
            dependencies.max_lease_ms,
            dependencies.target_heartbeat_ms,
            dependencies.max_row_bytes,
            lambda: self._view.heartbeat,
        )
        self._term: LeaderTerm | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._leader_loop: asyncio.Task[None] | None = None
        self.failed = asyncio.Event()
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Returns whether the daemon can serve callers."""
        if self._is_stopping or self.job_service.config is None:
            return False
        return self.job_service.can_admit and not self._is_cut_off()

    async def start(self) -> None:
        """Starts the network and all loops."""
        await self._network.start(self._dependencies.peer_address)
        for work in (
            self._access.watch.run(),
            self._register(),
            self._cell_follower.run(
                self._on_cell_snapshot, self._on_cell_changes
            ),
            self._config_follower.run(self._on_config, self._on_config),
            self._config_sharer.run(self._on_config),
            self._access.suspension.run(),
        ):
            self._start_loop(work)
        self._leader_loop = self._start_loop(self._lead())

    async def step_down(self) -> None:
        """Ends the leader term so that another daemon can lead at once."""
        self._is_stopping = True
        log_event('drain_started')
        if self._leader_loop is not None:
            self._leader_loop.cancel()
            await asyncio.wait((self._leader_loop,))
        if self._term is not None:
            await self._leadership.release(self._term.claim)

    async def stop(self) -> None:
        """Stops all loops and the network."""
        for task in self._tasks:
            task.cancel()
        await self._network.stop()

    def _start_loop(
        self, work: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        task.add_done_callback(self._check_loop_end)
        self._tasks.append(task)
        return task

    def _check_loop_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # A daemon can't work correctly without one of its loops.
        log_event('loop_failed', error=repr(task.exception()))
        self.failed.set()

    def _create_follower(self, table: str) -> TableFollower:
        dependencies = self._dependencies
        followed = FollowedTable(
            table, wait_ms=dependencies.settings.short_wait_ms
        )
        return TableFollower(
            self._access.store,
            followed,
            dependencies.settings,
            dependencies.clock,
        )

    def _is_cut_off(self) -> bool:
        """Returns whether neither the store nor a peer answered recently."""
        follower = self._cell_follower
        if not follower.is_store_lost:
            return False
        last_contact_ms = max(
            follower.last_contact_ms or 0, self._config_sharer.last_contact_ms
        )
        age_ms = self._dependencies.clock.monotonic_ms() - last_contact_ms
        return age_ms > self._dependencies.settings.cut_off_ms

    def _heartbeat_fields(self) -> dict[str, object]:
        if self._term is not None:
            return self._term.scheduler.jobs.heartbeat_fields()
        fields: dict[str, object] = self._view.heartbeat
        return fields

    async def _register(self) -> None:
        while True:
            failure = await self._leadership.register(
                self._dependencies.peer_address,
                self._dependencies.leader_rank,
            )
            if failure is None:
                return
            log_event('registration_failed', reason=failure.reason)
            await asyncio.sleep(_REGISTER_RETRY_MS / 1000)

    async def _lead(self) -> None:
        while True:
            claim = await self._leadership.wait_for_claim(self._cell_follower)
            self._term = LeaderTerm(claim, self._leader_dependencies)
            await self._term.run()
            is_abandoned = self._term.is_abandoned
            self._term = None
            if is_abandoned:
                await self._leadership.abandon(claim)
            self._leadership.follow()

    def _on_cell_snapshot(self, rows: tuple[Row, ...]) -> None:
        self._view.replace(rows)
        self._update_peers()

    def _on_cell_changes(self, rows: tuple[Row, ...]) -> None:
        self._view.update(rows)
        self._update_peers()

    def _update_peers(self) -> None:
        daemons = self._view.daemons()
        if set(daemons) - {self._dependencies.daemon_id} != set(
            self._network.peers
        ):
            log_event('peers_known', count=len(daemons))
        self._network.set_peers(daemons)
        # Peers announce their level only on streams that they open.
        for daemon_id, level in self._view.format_levels().items():
            self._network.levels.set_level(daemon_id, level)

    def _on_config(self, rows: tuple[Row, ...]) -> None:
        config = self._dependencies.decode_config(rows)
        if config is None:
            return
        if isinstance(config, Failure):
            log_event('config_refused', reason=config.reason)
            return
        current = self.job_service.config
        if current is not None and config.version <= current.version:
            return
        self.job_service.config = config
        self._config_sharer.update(rows)
        log_event('config_in_force', version=config.version)
        if self._term is not None:
            self._term.apply_config(config)


__all__ = ('CellDaemon', 'DaemonDependencies')
