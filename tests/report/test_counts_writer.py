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
    """An object store that counts writes and can be down."""

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
    """Starts a daemon's counts as after a restart."""
    table = make_table(clock, text)
    daemon_id = DaemonId('d1')
    keeper = CountsWriter(table, objects, clock, daemon_id, ReportSettings())
    return table, keeper


def totals(table):
    return [
        [count.total for count in one.windows]
        for one in table.snapshot().objectives
        if any(count.total for count in one.windows)
    ]


async def test_counts_outlive_a_restart_and_still_leave_their_windows():
    """Guards against error budgets that a restart fills up again."""
    objects, clock = Objects(), ManualClock(HOUR_MS)
    table, keeper = start(objects, clock)
    observe(table, [1, 2, 3])
    clock.advance(30_000)
    await keeper.save()
    clock.advance(400_000)
    table, keeper = start(objects, clock)
    await keeper.save()
    observe(table, [4])
    assert totals(table) == [[1, 4, 4, 4]]
    covered_ms = {one.covered_ms for one in table.snapshot().objectives}
    assert 430_000 in covered_ms
    clock.advance(2 * HOUR_MS)
    assert totals(table) == [[0, 0, 4, 4]]


async def test_unread_counts_are_not_overwritten():
    """Guards against counts that are lost by a start in an outage."""
    objects, clock = Objects(), ManualClock(HOUR_MS)
    table, keeper = start(objects, clock)
    observe(table, [1])
    await keeper.save()
    objects.is_down = True
    table, keeper = start(objects, clock)
    observe(table, [2])
    await keeper.save()
    objects.is_down = False
    await keeper.save()
    assert totals(table) == [[2, 2, 2, 2]]


async def test_unchanged_counts_are_not_written_and_bad_ones_ignored():
    """Guards against traffic at rest, and a daemon that a bad object stops."""
    objects, clock = Objects(), ManualClock(HOUR_MS)
    objects.stored[NAME] = b'bad'
    table, keeper = start(objects, clock)
    observe(table, [1])
    for _ in range(3):
        await keeper.save()
    assert objects.puts_count == 1
    assert totals(table) == [[1, 1, 1, 1]]
    assert keeper.interval_ms == ReportSettings().save_interval_ms
