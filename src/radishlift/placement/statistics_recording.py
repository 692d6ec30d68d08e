"""Phase that journals learned statistics at intervals, in bounded size."""

from typing import Final

from radishlift.placement.engine_context import EngineContext
from radishlift.placement.learned_statistics import UsageLearned
from radishlift.placement.phases import PHASES, PhaseBudget

RECORD_INTERVAL_MS: Final = 60_000
"""A takeover loses at most the changes of this interval."""
USAGES_PER_RECORD_COUNT: Final = 64
"""Maximum estimates in a record, 100 bytes each; the others follow in the
next record."""


@PHASES.register('learning')
def record_statistics(context: EngineContext, budget: PhaseBudget) -> bool:
    """Journals the estimates and the health that changed."""
    usage = context.usage
    if not usage.next_record_ms:
        usage.next_record_ms = budget.now_ms + RECORD_INTERVAL_MS
    if budget.now_ms < usage.next_record_ms:
        return True
    usage.next_record_ms = budget.now_ms + RECORD_INTERVAL_MS
    changed = usage.estimates.pop_changed(USAGES_PER_RECORD_COUNT)
    if changed:
        context.emit(UsageLearned(changed))
    health = context.health.export(context.tables.workers)
    if health != context.state.statistics.health:
        context.emit(health)
    return True


__all__ = ('RECORD_INTERVAL_MS', 'record_statistics')
