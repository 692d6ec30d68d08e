"""Reasons in journal records; code compares some of them."""

from typing import Final

FAILED: Final = 'failed'
"""The attempt failed by itself and counts against the task's attempts."""

FAILED_ON_SUSPECT: Final = 'failed on a worker that fails its tasks'
"""The attempt failed because of its worker and does not count."""

WORKER_LOST: Final = 'worker gone'
WORKER_RESTARTED: Final = 'worker restarted'
STOPPED: Final = 'stopped'
LEASE_EXPIRED: Final = 'lease lapsed or start refused'
FINISHED: Final = 'finished'
CANCELLED: Final = 'cancelled by the caller'
RACK_MOVED: Final = 'rack moves to another partition'

__all__ = (
    'CANCELLED',
    'FAILED',
    'FAILED_ON_SUSPECT',
    'FINISHED',
    'LEASE_EXPIRED',
    'RACK_MOVED',
    'STOPPED',
    'WORKER_LOST',
    'WORKER_RESTARTED',
)
