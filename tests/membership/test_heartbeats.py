from random import Random

import pytest

from radishlift.core.clock import ManualClock
from radishlift.core.ids import DaemonId, Incarnation
from radishlift.membership.groups import heartbeat_group
from radishlift.membership.heartbeats import Heartbeat, HeartbeatMonitor
from radishlift.membership.settings import MembershipSettings
from radishlift.membership.summaries import SummaryCollector

D2 = DaemonId('d2')


def heartbeat(counter: int, incarnation: str = '1', **summaries) -> Heartbeat:
    return Heartbeat(Incarnation(incarnation), counter, summaries)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def monitor(clock):
    monitor = HeartbeatMonitor(clock, MembershipSettings())
    monitor.set_peers([D2])
    return monitor


def pass_time(monitor, clock, duration_ms: int) -> None:
    for _ in range(duration_ms // 1000):
        clock.advance(1000)
        monitor.check()


def test_unresponsive_peer_is_suspected_until_its_next_heartbeat(
    monitor, clock
):
    """Guards against forwarding to a paused peer."""
    pass_time(monitor, clock, 3000)
    assert not monitor.is_suspected(D2)
    pass_time(monitor, clock, 1000)
    assert monitor.is_suspected(D2)
    monitor.receive(D2, heartbeat(1))
    assert not monitor.is_suspected(D2)


def test_own_pause_suspects_nobody(monitor, clock):
    """Guards against a resumed process that suspects the whole fleet."""
    clock.advance(60_000)
    assert monitor.check() == ()


def test_late_heartbeat_does_not_restore_old_summaries(monitor):
    """Guards against outdated load summaries that replace newer ones."""
    assert monitor.receive(D2, heartbeat(2, load=[2]))
    assert not monitor.receive(D2, heartbeat(1, load=[1]))
    assert monitor.summaries_of(D2) == {'load': [2]}
    assert monitor.receive(D2, heartbeat(1, '2', other=[3]))
    assert monitor.summaries_of(D2) == {'other': [3]}


@pytest.mark.parametrize('count', [5, 7, 14, 28])
def test_heartbeats_in_turn_detect_an_unresponsive_daemon_in_time(count, clock):
    """Guards against slow or false suspicion when few peers get heartbeats."""
    random = Random(7)
    names = [DaemonId(f'd{number}') for number in range(count)]
    fleet = {
        name: HeartbeatMonitor(clock, MembershipSettings()) for name in names
    }
    for index, name in enumerate(names):
        fleet[name].set_peers(names[index + 1 :] + names[:index])
    silent = names[0]
    limit_ms = 3 * fleet[silent].interval_ms
    suspected_ms = {}
    for second in range(120):
        clock.advance(1000)
        senders = names if second < 60 else names[1:]
        for sender in senders:
            beat = Heartbeat(
                Incarnation('1'), second + 1, {}, fleet[sender].contact_ages()
            )
            for target in fleet[sender].targets(second):
                if random.randrange(50):
                    fleet[target].receive(sender, beat)
        for name in senders:
            for peer in fleet[name].check():
                assert peer == silent
                assert second >= 60
                suspected_ms.setdefault(name, 1000 * (second - 59))
    assert len(suspected_ms) == count - 1
    assert max(suspected_ms.values()) <= limit_ms + 1000


def test_contacts_reported_by_others_are_not_forwarded(clock):
    """Guards against an unresponsive daemon that forwarded ages keep alive."""
    monitor = HeartbeatMonitor(clock, MembershipSettings())
    names = [DaemonId(f'd{number}') for number in range(2, 8)]
    monitor.set_peers(names)
    clock.advance(1000)
    heard = {DaemonId('d3'): 4}
    monitor.receive(D2, Heartbeat(Incarnation('1'), 1, {}, heard))
    assert monitor.contact_ages() == {D2: 0}


@pytest.mark.parametrize(('count', 'groups'), [(1, 1), (28, 1), (29, 2)])
def test_groups_are_bounded_and_the_same_for_all(count, groups):
    """Guards against heartbeats that grow with the fleet."""
    fleet = [DaemonId(f'd{number}') for number in range(count)]
    found = {heartbeat_group(daemon_id, fleet, 28) for daemon_id in fleet}
    assert len(found) == groups
    assert max(map(len, found)) - min(map(len, found)) <= 1
    assert sum(map(len, found)) == count


def test_summaries_take_turns_within_the_size():
    """Guards against heartbeats whose size grows with the providers."""
    collector = SummaryCollector(46)
    for name in ('a', 'b', 'c'):
        collector.providers.register(name)(lambda: [1.5, 2.5])
    collector.providers.register('huge')(lambda: list(range(99)))
    rounds = [tuple(collector.collect()) for _ in range(3)]
    assert rounds == [('a', 'b'), ('c', 'a'), ('b', 'c')]
