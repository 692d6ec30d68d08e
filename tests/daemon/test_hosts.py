from dataclasses import replace

from radishlift.core.clock import ManualClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DataCentreId, RackId, ServiceName
from radishlift.daemon.hosts import HostFeed
from radishlift.services.api import Host, HostRole, HostState
from radishlift.services.host_knowledge import SendVerdict
from radishlift.settings.daemon import PlatformSettings

SETTINGS = PlatformSettings('', '', '', host_list_interval_ms=500)
LISTED = (
    Host(
        Address('127.0.0.1:1'),
        HostState.live,
        HostRole.worker,
        RackId('r1'),
        DataCentreId('dc1'),
        ServiceName(''),
    ),
)


ADDRESS = LISTED[0].address
OTHER_ADDRESS = Address('127.0.0.1:2')


class Source:
    """A fake host list; `on_read` runs during each read."""

    def __init__(self) -> None:
        self.hosts = LISTED
        self.reads_count = 0
        self.on_read = do_nothing

    async def fetch(self):
        self.reads_count += 1
        hosts = self.hosts
        await self.on_read()
        return hosts


async def do_nothing():
    pass


async def test_empty_list_is_no_evidence_that_hosts_are_gone():
    """Guards against tasks that run twice after an empty host list.

    An empty list would make all workers look removed.
    """
    source = Source()
    received = []
    feed = HostFeed(source, SETTINGS, ManualClock(1))
    feed.subscribe(received.append)
    await feed.refresh()
    source.hosts = ()
    outcome = await feed.refresh()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.store_unavailable
    assert received == [LISTED]


async def test_readers_share_one_poll():
    """Guards against one read of the host list per component of a daemon."""
    source, clock = Source(), ManualClock(1)
    feed = HostFeed(source, SETTINGS, clock)
    for _ in range(3):
        assert await feed.fetch() == LISTED
    assert source.reads_count == 1
    clock.advance(501)
    await feed.fetch()
    assert source.reads_count == 2


async def test_peer_reports_apply_while_the_list_is_unreadable():
    """Guards against work for a leaving host while the list can't be read."""
    source, clock, received = Source(), ManualClock(1), []
    feed = HostFeed(source, SETTINGS, clock)
    feed.subscribe(received.append)
    await feed.refresh()
    leaving = replace(LISTED[0], state=HostState.leaving)
    # Peer reports are ignored while the own read is current.
    feed.apply_peer_report((leaving.address,), clock.monotonic_ms())
    assert received == [LISTED]
    source.hosts = Failure(ErrorKind.store_unavailable, 'cut')
    clock.advance(1001)
    await feed.refresh()
    feed.apply_peer_report((leaving.address,), clock.monotonic_ms())
    feed.apply_peer_report((), clock.monotonic_ms())
    assert received == [LISTED, (leaving,)]
    assert feed.leaving_addresses() == (leaving.address,)
    assert await feed.fetch() == (leaving,)
    # A peer report from before a pause of this process may be outdated.
    sent_at_ms = clock.monotonic_ms()
    clock.advance(1701)
    feed.apply_peer_report((leaving.address,), sent_at_ms)
    assert isinstance(await feed.fetch(), Failure)
    assert feed.knowledge.check(OTHER_ADDRESS) is SendVerdict.outdated
    source.hosts = LISTED
    assert await feed.refresh() == LISTED
    assert received[-1] == LISTED
    assert await feed.fetch() == LISTED


async def test_age_counts_from_the_send_of_a_read():
    """Guards against a slow answer that is treated as recent."""
    source, clock = Source(), ManualClock(1)
    feed = HostFeed(source, SETTINGS, clock)

    async def delay_answer():
        clock.advance(1200)

    source.on_read = delay_answer
    # The second answer is the same object, as after an HTTP 304.
    for _ in range(2):
        await feed.refresh()
        assert feed.knowledge.age_ms == 1200
    clock.advance(500)
    assert feed.knowledge.check(ADDRESS) is SendVerdict.allowed
    clock.advance(1)
    assert feed.knowledge.check(ADDRESS) is SendVerdict.outdated


async def test_late_answer_to_an_earlier_read_changes_nothing():
    """Guards against overlapping reads that restore an older list."""
    source, clock = Source(), ManualClock(1)
    received = []
    feed = HostFeed(source, SETTINGS, clock)
    feed.subscribe(received.append)
    leaving = (replace(LISTED[0], state=HostState.leaving),)

    async def read_again():
        clock.advance(10)
        source.on_read = do_nothing
        source.hosts = leaving
        await feed.refresh()

    source.on_read = read_again
    assert await feed.refresh() == leaving
    assert received == [leaving]
    assert feed.knowledge.check(ADDRESS) is SendVerdict.leaving


async def test_slow_read_keeps_later_peer_reports():
    """Guards against an answer that hides a host marked leaving during it."""
    source, clock = Source(), ManualClock(1)
    feed = HostFeed(source, SETTINGS, clock)
    await feed.refresh()
    added = (*LISTED, replace(LISTED[0], address=OTHER_ADDRESS))

    async def receive_peer_report():
        clock.advance(100)
        feed.apply_peer_report((ADDRESS,), clock.monotonic_ms())

    source.hosts = added
    source.on_read = receive_peer_report
    await feed.refresh()
    assert feed.leaving_addresses() == (ADDRESS,)
    assert feed.knowledge.check(OTHER_ADDRESS) is SendVerdict.allowed
    source.on_read = do_nothing
    clock.advance(100)
    assert await feed.refresh() == added


async def test_older_peer_report_is_ignored():
    """Guards against two daemons that keep refreshing each other's old data."""
    source, clock = Source(), ManualClock(1)
    feed = HostFeed(source, SETTINGS, clock)
    await feed.refresh()
    clock.advance(1500)
    feed.apply_peer_report((ADDRESS,), clock.monotonic_ms() - 1500)
    assert feed.leaving_addresses() == ()
    assert feed.knowledge.age_ms == 1500
    feed.apply_peer_report((ADDRESS,), clock.monotonic_ms() - 1400)
    assert feed.knowledge.age_ms == 1400
    clock.advance(301)
    assert feed.knowledge.check(OTHER_ADDRESS) is SendVerdict.outdated
    assert feed.knowledge.outdated_count == 1


async def test_work_resumes_once_the_list_is_read_again():
    """Guards against requests that keep waiting after an outage."""
    source, clock = Source(), ManualClock(1)
    calls = []
    feed = HostFeed(source, SETTINGS, clock)
    feed.knowledge.subscribe(lambda: calls.append(clock.monotonic_ms()))
    await feed.refresh()
    clock.advance(1701)
    feed.knowledge.log_if_outdated()
    feed.knowledge.log_if_outdated()
    assert not calls
    assert feed.knowledge.outdated_count == 1
    await feed.refresh()
    await feed.refresh()
    assert calls == [1702]


async def test_peer_report_is_no_read_of_the_list():
    """Guards against a missing host of an old list that counts as removed."""
    source, clock = Source(), ManualClock(1)
    feed = HostFeed(source, SETTINGS, clock)
    assert feed.knowledge.listed_at_ms is None
    await feed.refresh()
    clock.advance(1500)
    feed.apply_peer_report((), clock.monotonic_ms())
    assert feed.knowledge.age_ms == 0
    assert feed.knowledge.listed_at_ms == 1
    await feed.refresh()
    assert feed.knowledge.listed_at_ms == clock.monotonic_ms()


async def test_listeners_see_the_time_of_the_list_that_they_get():
    """Guards against a gone worker that is kept until the next change."""
    source, clock = Source(), ManualClock(1)
    feed = HostFeed(source, SETTINGS, clock)
    seen = []
    feed.subscribe(lambda _: seen.append(feed.knowledge.listed_at_ms))
    await feed.refresh()
    clock.advance(60_000)
    source.hosts = (*LISTED, replace(LISTED[0], address=OTHER_ADDRESS))
    await feed.refresh()
    assert seen[-1] == 60_001
