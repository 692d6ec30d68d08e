import pytest

from radishlift.core.clock import ManualClock
from radishlift.report.event_history import EventHistory, EventsFetch
from radishlift.report.settings import ReportSettings

HOUR_MS = 3_600_000


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def history(clock):
    return EventHistory(clock, ReportSettings(kept_events_count=10))


def names(history, **query) -> list[str]:
    found = history.find(EventsFetch(HOUR_MS, **query))
    return [past.event for past in found]


def test_frequent_event_does_not_evict_others(history):
    """Guards against frequent events that evict the cause of an incident."""
    history.add('daemon_dead', 'WARNING', {'daemon': 'd2'})
    for number in range(100):
        history.add('worker_gone', 'INFO', {'worker': number})
    assert len(history) == 10
    assert names(history)[-1] == 'daemon_dead'
    newest = history.find(EventsFetch(HOUR_MS))[0]
    assert newest.fields == {'worker': '99'}


def test_equal_events_are_counted(history, clock):
    """Guards against a list that shows each retry of a call separately."""
    for _ in range(5):
        history.add('partition_lost', 'WARNING', {'partition': 'p1'})
        history.add('partition_lost', 'WARNING', {'partition': 'p2'})
        clock.advance(1000)
    first, second = history.find(EventsFetch(HOUR_MS))
    assert (first.events_count, second.events_count) == (5, 5)
    assert (first.age_ms, first.first_age_ms) == (1000, 5000)
    clock.advance(60_000)
    history.add('partition_lost', 'WARNING', {'partition': 'p1'})
    assert len(history) == 3


def test_queries_filter_by_age_level_name_and_number(history, clock):
    """Guards against answers with events that the query excludes."""
    history.add('daemon_dead', 'WARNING', {})
    clock.advance(HOUR_MS + 1)
    history.add('config_in_force', 'INFO', {})
    history.add('host_list_unread', 'DEBUG', {})
    clock.advance(1)
    history.add('loop_failed', 'ERROR', {})
    assert names(history) == ['loop_failed', 'config_in_force']
    assert names(history, level='WARNING') == ['loop_failed']
    assert names(history, event='config_in_force') == ['config_in_force']
    assert names(history, limit_count=1) == ['loop_failed']


def test_fields_are_bounded(history):
    """Guards against a reply above the frame size limit."""
    fields = {f'field{number}': 'x' * 10_000 for number in range(50)}
    history.add('bad_frame', 'WARNING', fields)
    past = history.find(EventsFetch(HOUR_MS))[0]
    assert len(past.fields) == 12
    assert {len(text) for text in past.fields.values()} == {200}
