from radishlift.core.clock import ManualClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId
from radishlift.report.counts_writer import CountsWriter
from radishlift.report.settings import ReportSettings
from tests.config.documents import TEXT
from tests.report.test_metrics import make_table, observe

HOUR_MS = 3_600_000
NAME = 'counts/d1'


class Objects:
    """A fake object store that counts writes and can be unavailable."""

    def __init__(self) -> None:
        self.stored = {}
        self.puts_count = 0
        self.is_down = False

    async def get(self, name):
        if self.is_down:
            return Failure(ErrorKind.store_unavailable, 'down')
        if name not in self.stored:
            return Failure(ErrorKind.not_found, name)
        return self.stored[name]

    async def put(self, name, content):
        if self.is_down:
            return Failure(ErrorKind.store_unavailable, 'down')
        self.puts_count += 1
        self.stored[name] = content
        return None


def start(objects, clock, text=TEXT):
    """Creates a table and a writer, as a daemon does after a restart."""
    table = make_table(clock, text)
    daemon_id = DaemonId('d1')
    writer = CountsWriter(table, objects, clock, daemon_id, ReportSettings())
    return table, writer


def totals(table):
    return [
        [count.total for count in objective.windows]
        for objective in table.snapshot().objectives
        if any(count.total for count in objective.windows)
    ]


async def test_counts_outlive_a_restart_and_still_expire():
    """Guards against error budgets that a restart resets."""
    objects, clock = Objects(), ManualClock(HOUR_MS)
    table, writer = start(objects, clock)
    observe(table, [1, 2, 3])
    clock.advance(30_000)
    await writer.save()
    clock.advance(400_000)
    table, writer = start(objects, clock)
    await writer.save()
    observe(table, [4])
    assert totals(table) == [[1, 4, 4, 4]]
    covered_ms = {
        objective.covered_ms for objective in table.snapshot().objectives
    }
    assert 430_000 in covered_ms
    clock.advance(2 * HOUR_MS)
    assert totals(table) == [[0, 0, 4, 4]]


async def test_unread_counts_are_not_overwritten():
    """Guards against counts lost if a daemon starts during an outage."""
    objects, clock = Objects(), ManualClock(HOUR_MS)
    table, writer = start(objects, clock)
    observe(table, [1])
    await writer.save()
    objects.is_down = True
    table, writer = start(objects, clock)
    observe(table, [2])
    await writer.save()
    objects.is_down = False
    await writer.save()
    assert totals(table) == [[2, 2, 2, 2]]


async def test_unchanged_counts_are_not_written_and_bad_ones_ignored():
    """Guards against writes without changes and a fatal damaged object."""
    objects, clock = Objects(), ManualClock(HOUR_MS)
    objects.stored[NAME] = b'bad'
    table, writer = start(objects, clock)
    observe(table, [1])
    for _ in range(3):
        await writer.save()
    assert objects.puts_count == 1
    assert totals(table) == [[1, 1, 1, 1]]
    assert writer.interval_ms == ReportSettings().save_interval_ms
