from radishlift.core.clock import ManualClock
from radishlift.requests.settings import RequestSettings
from radishlift.requests.sync_schedule import SyncSchedule

SETTINGS = RequestSettings(sync_interval_ms=500, idle_sync_interval_ms=2_000)


def wait_for_sync_ms(schedule, clock, inputs, *, is_changed):
    """Advances the clock until a sync is due and records the sync."""
    waited_ms = 0
    while not schedule.is_due(inputs):
        clock.advance(100)
        waited_ms += 100
    schedule.record_sync(inputs, is_changed=is_changed)
    return waited_ms


def test_interval_grows_only_without_changes():
    """Syncs must become rare while nothing changes."""
    clock = ManualClock(1)
    schedule = SyncSchedule(SETTINGS, clock)
    idle = [
        wait_for_sync_ms(schedule, clock, 'a', is_changed=False)
        for _ in range(5)
    ]
    assert idle == [0, 500, 1000, 2000, 2000]
    assert wait_for_sync_ms(schedule, clock, 'b', is_changed=False) == 0
    assert wait_for_sync_ms(schedule, clock, 'b', is_changed=True) == 500
    assert wait_for_sync_ms(schedule, clock, 'b', is_changed=False) == 500
