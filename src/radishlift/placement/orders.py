"""Orders to workers about running attempts, sent by the dispatcher."""

from dataclasses import dataclass
from enum import Enum, unique

from radishlift.core.ids import Attempt, Incarnation, TaskId, WorkerId


@unique
class OrderKind(Enum):
    """What a worker has to do with an attempt."""

    stop = 'stop'
    throttle = 'throttle'
    checkpoint = 'checkpoint'


@dataclass(frozen=True, slots=True)
class Order:
    """An order about one attempt on one worker."""

    kind: OrderKind
    task_id: TaskId
    attempt: Attempt
    worker_id: WorkerId
    incarnation: Incarnation
    reason: str


__all__ = ('Order', 'OrderKind')
