"""The command `radishctl events`."""

from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from typing import ClassVar, Final

from cleo.helpers import option
from cleo.io.inputs.option import Option

from radishlift.cli.daemon_command import (
    DaemonCommand,
    ExitCode,
    parse_number,
)
from radishlift.core.codec import dump_plain
from radishlift.core.errors import Failure
from radishlift.core.logs import format_field
from radishlift.report.event_collector import DaemonEvent, EventReport

EVENTS_PATH: Final = '/v1/events'

_MS_PER_S: Final = 1000


class EventsCommand(DaemonCommand):
    """Shows recent log events of all daemons, the newest last."""

    name = 'events'
    description = 'Show recent events of all daemons, the newest last.'
    own_options: ClassVar[list[Option]] = [
        option('since', None, 'Age in seconds.', flag=False, default='3600'),
        option('level', None, 'Lowest level.', flag=False, default='INFO'),
        option('event', None, 'Name of an event.', flag=False, default=''),
        option('limit', None, 'Number of events.', flag=False, default='100'),
    ]

    def handle(self) -> int:
        """Runs the command."""
        since_s = parse_number(self.option('since'))
        if since_s is None:
            self.print_error('--since must be a whole number of seconds')
            return ExitCode.usage
        report = self.fetch(
            EVENTS_PATH,
            EventReport,
            params={
                'max_age_ms': str(since_s * _MS_PER_S),
                'level': self.option('level'),
                'event': self.option('event'),
                'limit': self.option('limit'),
            },
        )
        if isinstance(report, Failure):
            return self.report_failure(report)
        if self.is_json:
            self.print_json(dump_plain(report))
        else:
            now = datetime.now(UTC)
            self.print_text(''.join(describe_events(report, now)))
        return ExitCode.ok


def describe_events(report: EventReport, now: datetime) -> Iterator[str]:
    """Yields one line for each event, the newest last.

    The time of an event is `now` minus the age that its daemon reports.
    """
    for missing in report.missing:
        yield f'no answer from {missing}: its events are not shown\n'
    for event in reversed(report.events):
        yield f'{_describe_event(event, now)}\n'


def _describe_event(event: DaemonEvent, now: datetime) -> str:
    past = event.past
    at = now - timedelta(milliseconds=past.age_ms)
    words = [
        at.isoformat(timespec='milliseconds'),
        past.level,
        event.daemon_id,
        past.event,
    ]
    words.extend(
        format_field(name, field) for name, field in past.fields.items()
    )
    if past.events_count > 1:
        span_s = (past.first_age_ms - past.age_ms) // _MS_PER_S
        words.append(f'({past.events_count} times in {span_s} s)')
    return ' '.join(words)


__all__ = ('EVENTS_PATH', 'EventsCommand', 'describe_events')
