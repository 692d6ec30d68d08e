from dataclasses import replace

from radishlift.core.clock import ManualClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DataCentreId, RackId, ServiceName
from radishlift.daemon.hosts import HostFeed
from radishlift.platform.api import Host, HostRole, HostState
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


class Source:
    """A host list that a test sets."""

    def __init__(self) -> None:
        self.hosts = LISTED
        self.reads_count = 0

    async def fetch(self):
        self.reads_count += 1
        return self.hosts


async def test_empty_list_is_no_evidence_that_hosts_are_gone():
    """Guards against tasks that run twice after an empty host list."""
    source = Source()
    told = []
    feed = HostFeed(source, SETTINGS, ManualClock(1))
    feed.subscribe(told.append)
    await feed.refresh()
    source.hosts = ()
    outcome = await feed.refresh()
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.store_unavailable
    assert told == [LISTED]


async def test_readers_share_one_poll():
    """Guards against a list that each part of a daemon reads for itself."""
    source, clock = Source(), ManualClock(1)
    feed = HostFeed(source, SETTINGS, clock)
    for _ in range(3):
        assert await feed.fetch() == LISTED
    assert source.reads_count == 1
    clock.advance(501)
    await feed.fetch()
    assert source.reads_count == 2


async def test_peers_tell_of_leaving_hosts_during_a_cut():
    """Guards against work for a host that left while the list is unread."""
    source, clock, told = Source(), ManualClock(1), []
    feed = HostFeed(source, SETTINGS, clock)
    feed.subscribe(told.append)
    await feed.refresh()
    leaving = replace(LISTED[0], state=HostState.leaving)
    # The daemon's own list is right while it can be read.
    feed.note_leaving((leaving.address,), clock.monotonic_ms())
    assert told == [LISTED]
    source.hosts = Failure(ErrorKind.store_unavailable, 'cut')
    clock.advance(1001)
    await feed.refresh()
    feed.note_leaving((leaving.address,), clock.monotonic_ms())
    feed.note_leaving((), clock.monotonic_ms())
    assert told == [LISTED, (leaving,)]
    assert feed.leaving() == (leaving.address,)
    assert await feed.fetch() == (leaving,)
    # What peers said before a pause of this process may be outdated.
    asked_at_ms = clock.monotonic_ms()
    clock.advance(1001)
    feed.note_leaving((leaving.address,), asked_at_ms)
    assert isinstance(await feed.fetch(), Failure)
    source.hosts = LISTED
    assert await feed.refresh() == LISTED
    assert told[-1] == LISTED
    assert await feed.fetch() == LISTED
