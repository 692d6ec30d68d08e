"""System that records what was learned, at intervals and in bounded size."""

from typing import Final

from radishlift.placement.learned import UsageLearned
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.working import Working

RECORD_INTERVAL_MS: Final = 60_000
"""A takeover loses at most what was learned in this time."""
USAGES_COUNT: Final = 64
"""Names in a record, 100 bytes each; the others follow in the next one."""


@SYSTEMS.register('learning')
def record_learned(working: Working, time: TickTime) -> bool:
    """Emits the estimates and the health that changed."""
    usage = working.usage
    if not usage.record_at_ms:
        usage.record_at_ms = time.now_ms + RECORD_INTERVAL_MS
    if time.now_ms < usage.record_at_ms:
        return True
    usage.record_at_ms = time.now_ms + RECORD_INTERVAL_MS
    changed = usage.estimates.take_changed(USAGES_COUNT)
    if changed:
        working.emit(UsageLearned(changed))
    health = working.health.export(working.tables.workers)
    if health != working.state.learned.health:
        working.emit(health)
    return True


__all__ = ('RECORD_INTERVAL_MS', 'record_learned')
