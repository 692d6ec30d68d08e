"""Dependencies and settings of a scheduler."""

from dataclasses import dataclass

from radishlift.cell.ports import TargetCalls
from radishlift.cell.settings import CellSettings
from radishlift.core.clock import Clock
from radishlift.steps.ids import FencingToken
from radishlift.steps.settings import StepSettings


@dataclass(frozen=True, slots=True)
class SchedulerContext:
    """Dependencies and settings of a scheduler in one epoch."""

    fencing_token: FencingToken
    calls: TargetCalls
    settings: CellSettings
    step_settings: StepSettings
    clock: Clock
    max_lease_ms: int
    target_heartbeat_ms: int


__all__ = ('SchedulerContext',)
