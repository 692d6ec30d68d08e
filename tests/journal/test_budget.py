import pytest

from radishlift.core.clock import ManualClock
from radishlift.core.ids import PartitionId
from radishlift.journal.budget import FlushScheduler
from radishlift.journal.settings import JournalSettings

NAMES = [PartitionId(f'p{number}') for number in range(10)]


@pytest.fixture
def clock():
    return ManualClock(1000)


@pytest.fixture
def scheduler(clock):
    scheduler = FlushScheduler(clock, JournalSettings())
    for name in NAMES:
        scheduler.add(name)
    return scheduler


def run(scheduler, clock, duration_ms: int, urgent=()) -> list[PartitionId]:
    flushed = []
    for _ in range(duration_ms):
        clock.advance(1)
        for name in NAMES:
            scheduler.request(name, is_urgent=name in urgent)
        flushed.extend(iter(scheduler.next_due, None))
    return flushed


def test_rows_keep_within_the_budget(scheduler, clock):
    """Guards against a daemon that exceeds its part of the write rate."""
    flushed = run(scheduler, clock, 10_000, urgent=set(NAMES[:5]))
    assert 385 <= len(flushed) <= 402


def test_partitions_share_the_budget_equally(scheduler, clock):
    """Guards against a partition that is never flushed."""
    flushed = run(scheduler, clock, 10_000)
    counts = [flushed.count(name) for name in NAMES]
    assert max(counts) - min(counts) <= 1
    assert scheduler.interval_ms == 250


def test_urgent_work_is_flushed_first(scheduler, clock):
    """Guards against urgent work that waits for the flush interval."""
    scheduler.request(NAMES[0])
    clock.advance(5)
    scheduler.request(NAMES[7], is_urgent=True)
    assert scheduler.next_due() == NAMES[7]
    assert scheduler.next_due() is None


def test_urgent_work_does_not_starve_other_partitions(scheduler, clock):
    """Guards against normal work that waits without bound."""
    flushed = run(scheduler, clock, 5000, urgent=set(NAMES[:9]))
    assert flushed.count(NAMES[9]) >= 4


def test_deletions_use_only_unused_rows(scheduler, clock):
    """Guards against deletions that delay the flush of records."""
    assert scheduler.spare_rows() == 0
    clock.advance(10_000)
    assert scheduler.spare_rows() == 8
    scheduler.spend_spare(8)
    scheduler.request(NAMES[0])
    assert scheduler.next_due() == NAMES[0]
    assert scheduler.spare_rows() == 0


def test_snapshots_continue_while_flushes_use_up_the_budget(scheduler, clock):
    """Guards against a journal that grows for as long as work arrives."""
    flushed, spared = 0, 0
    for _ in range(100):
        flushed += len(run(scheduler, clock, 100))
        spared += scheduler.spare_rows()
        scheduler.spend_spare(scheduler.spare_rows())
    assert spared >= 9
    assert flushed + spared <= 402
    for name in NAMES[3:]:
        scheduler.remove(name)
    run(scheduler, clock, 1000)
    scheduler.request(NAMES[0])
    assert scheduler.spare_rows() >= 1


def test_delay_is_the_time_to_the_next_due_flush(scheduler, clock):
    """Guards against a loop that polls or sleeps longer than necessary."""
    scheduler.request(NAMES[0])
    clock.advance(scheduler.delay_ms() - 1)
    assert scheduler.next_due() is None
    clock.advance(1)
    assert scheduler.next_due() == NAMES[0]
