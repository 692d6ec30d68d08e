"""Dependencies and settings of a leader."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from radishlift.cell.ports import CellStore, TargetCalls
from radishlift.cell.queues import QueueConfig
from radishlift.cell.settings import CellSettings
from radishlift.cell.target_entries import EntryDecoder
from radishlift.core.clock import Clock
from radishlift.core.ids import DaemonId
from radishlift.steps.settings import StepSettings
from radishlift.wire.network import PeerNetwork


@dataclass(frozen=True, slots=True)
class LeaderDependencies:
    """Dependencies and settings of a leader.

    `get_heartbeat` returns the latest heartbeat, at first the previous
    leader's.
    """

    store: CellStore
    calls: TargetCalls
    network: PeerNetwork
    list_daemons: Callable[[], list[DaemonId]]
    get_config: Callable[[], QueueConfig | None]
    decode_target: EntryDecoder
    settings: CellSettings
    step_settings: StepSettings
    clock: Clock
    max_lease_ms: int
    target_heartbeat_ms: int = 0
    max_row_bytes: int = 0
    get_heartbeat: Callable[[], Mapping[str, Any] | None] = dict


__all__ = ('LeaderDependencies',)
