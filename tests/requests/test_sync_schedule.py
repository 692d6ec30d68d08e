from radishlift.core.clock import ManualClock
from radishlift.requests.settings import RequestSettings
from radishlift.requests.sync_schedule import SyncSchedule

SETTINGS = RequestSettings(sync_interval_ms=500, idle_sync_interval_ms=2_000)


def waits_ms(pacer, clock, situation, *, is_changed):
    """Counts the time until the next sync is due, then notes it."""
    waited_ms = 0
    while not pacer.is_due(situation):
        clock.advance(100)
        waited_ms += 100
    pacer.record_sync(situation, is_changed=is_changed)
    return waited_ms


def test_interval_grows_only_without_changes():
    """Guards against polling at full rate while nothing happens."""
    clock = ManualClock(1)
    pacer = SyncSchedule(SETTINGS, clock)
    idle = [waits_ms(pacer, clock, 'a', is_changed=False) for _ in range(5)]
    assert idle == [0, 500, 1000, 2000, 2000]
    assert waits_ms(pacer, clock, 'b', is_changed=False) == 0
    assert waits_ms(pacer, clock, 'b', is_changed=True) == 500
    assert waits_ms(pacer, clock, 'b', is_changed=False) == 500
