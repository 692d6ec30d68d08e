from radishlift.core.clock import ManualClock
from radishlift.core.events import EVENT_LEVELS
from radishlift.core.ids import Address, DaemonId, DataCentreId
from radishlift.membership.api import Member
from radishlift.report.event_collector import EventCollector
from radishlift.report.event_history import EventHistory, EventsFetch
from radishlift.report.settings import ReportSettings
from radishlift.wire.network import PeerNetwork

NAMES = tuple(DaemonId(name) for name in ('a', 'b', 'silent'))
UNUSED_ADDRESS = Address('127.0.0.1:1')


class Members:
    def members(self):
        return tuple(
            Member(
                name, '1', UNUSED_ADDRESS, UNUSED_ADDRESS, DataCentreId('dc1')
            )
            for name in NAMES
        )

    def is_dead(self, _daemon_id, _incarnation):
        return False


def make_daemon(name, now_ms):
    """Makes a daemon; the clocks of two daemons differ."""
    clock = ManualClock(now_ms)
    settings = ReportSettings(peer_timeout_ms=2_000)
    history = EventHistory(clock, settings)
    network = PeerNetwork(name)
    collector = EventCollector(history, network, Members(), settings)
    return clock, history, network, collector


async def test_events_are_ordered_by_age_and_missing_daemons_listed(
    unused_tcp_port_factory,
):
    """Guards against events ordered by the clocks of two hosts."""
    clock_a, history_a, network_a, collector = make_daemon(NAMES[0], 9_000_000)
    clock_b, history_b, network_b, _ = make_daemon(NAMES[1], 5_000)
    addresses = {
        name: Address(f'127.0.0.1:{unused_tcp_port_factory()}')
        for name in NAMES[:2]
    }
    for network in (network_a, network_b):
        network.set_peers(addresses)
        await network.start(addresses[network.daemon_id])
    try:
        history_b.add('daemon_dead', EVENT_LEVELS['daemon_dead'], {})
        clock_b.advance(300)
        history_a.add('partition_lost', EVENT_LEVELS['partition_lost'], {})
        clock_a.advance(100)
        report = await collector.collect(EventsFetch(60_000))
    finally:
        await network_a.stop()
        await network_b.stop()
    shown = [(event.daemon_id, event.past.event) for event in report.events]
    assert shown == [('a', 'partition_lost'), ('b', 'daemon_dead')]
    assert report.missing == ('silent',)
