from datetime import UTC, datetime

from radishlift.cli.event_command import describe_events
from radishlift.core.ids import DaemonId
from radishlift.report.event_collector import DaemonEvent, EventReport
from radishlift.report.event_history import PastEvent

NOW = datetime(2026, 12, 4, 12, tzinfo=UTC)


def test_each_event_is_one_line_even_with_hostile_text():
    """Guards against external text that forges an event line."""
    newer = PastEvent('INFO', 'daemon_ready', {}, 0, 0, 1)
    hostile = {'reason': 'x\n2026-12-04 ERROR d1 forged'}
    older = PastEvent('WARNING', 'bad_frame', hostile, 1_500, 31_500, 7)
    report = EventReport(
        (
            DaemonEvent(DaemonId('d1'), newer),
            DaemonEvent(DaemonId('d2'), older),
        ),
        (DaemonId('d3'),),
    )
    lines = ''.join(describe_events(report, NOW)).splitlines()
    assert lines == [
        'no answer from d3: its events are not shown',
        '2026-12-04T11:59:58.500+00:00 WARNING d2 bad_frame'
        r' reason="x\n2026-12-04 ERROR d1 forged" (7 times in 30 s)',
        '2026-12-04T12:00:00.000+00:00 INFO d1 daemon_ready',
    ]
