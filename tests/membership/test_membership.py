import pytest

from radishlift.core.clock import ManualClock
from radishlift.core.ids import Address, DaemonId
from radishlift.membership.membership import parse_seed_peers
from radishlift.membership.settings import MembershipSettings
from radishlift.services.api import Host, HostRole, HostState
from radishlift.wire.hello import read_hello
from tests.membership.fleet import Daemon, member, put_row, until
from tests.standins.tables import Fault, MemoryTableStore

D1 = DaemonId('d1')
D2 = DaemonId('d2')


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
async def pair(clock, unused_tcp_port_factory):
    store = MemoryTableStore()
    members = [
        member(name, port=unused_tcp_port_factory()) for name in ('d1', 'd2')
    ]
    seeds = {each.daemon_id: each.peer_listen for each in members}
    daemons = [Daemon(each, store, clock, seeds) for each in members]
    for daemon in daemons:
        await daemon.start()
    yield daemons[0], daemons[1], store
    for daemon in daemons:
        await daemon.network.stop()


def host(address: Address) -> Host:
    return Host(address, HostState.live, HostRole.entry, '', 'dn-a', '')


async def test_seeds_exchange_heartbeats_in_an_outage(pair):
    """Guards against a fleet that needs the store to find its members."""
    pair[2].fault = Fault.down
    pair[0].membership.providers.register('load')(lambda: {'queue': 7})
    await pair[0].membership.send_heartbeats()
    await until(lambda: pair[1].membership.summaries_of(D1))
    assert pair[1].membership.summaries_of(D1) == {'load': {'queue': 7}}


async def test_started_daemon_gets_heartbeats_of_all_peers_in_the_next_round(
    clock, unused_tcp_port_factory
):
    """Guards against a daemon that suspects peers right after its start."""
    members = [
        member(name, port=unused_tcp_port_factory())
        for name in ('d1', 'd2', 'd3', 'd4')
    ]
    seeds = {each.daemon_id: each.peer_listen for each in members}
    settings = MembershipSettings(targets_count=1)
    fleet = [
        Daemon(each, MemoryTableStore(), clock, seeds, settings)
        for each in members
    ]
    for daemon in fleet:
        await daemon.start()
    await fleet[0].membership.send_heartbeats()
    for started in fleet[1:]:
        await started.membership.send_heartbeats()
    states = fleet[0].membership._monitor._peer_states.values()
    await until(lambda: all(state.counter for state in states))
    await fleet[0].membership.send_heartbeats()
    states_of_d1 = [
        daemon.membership._monitor._peer_states[D1] for daemon in fleet[1:]
    ]
    await until(lambda: all(state.counter == 2 for state in states_of_d1))
    for daemon in fleet:
        await daemon.network.stop()


async def test_refused_connection_is_evidence(pair):
    """Guards against a wait of 10 s after a daemon was killed."""
    for daemon in pair[:2]:
        put_row(pair[2], daemon.member)
    await pair[0].table.scan()
    notified = []
    pair[0].membership.providers.register('load')(lambda: [1])
    pair[0].membership.subscribe(lambda: notified.append(1))
    await pair[0].membership.send_heartbeats()
    await until(lambda: pair[1].membership.summaries_of(D1))
    assert not pair[0].membership.is_dead(D2, pair[1].member.incarnation)
    await pair[1].network.stop()
    await until(
        lambda: pair[0].membership.is_dead(D2, pair[1].member.incarnation)
    )
    assert notified


async def test_missed_heartbeats_are_no_evidence(pair, clock):
    """Guards against a claim of partitions whose owner is only slow."""
    put_row(pair[2], pair[1].member)
    await pair[0].table.scan()
    for _ in range(30):
        await pair[0].membership.send_heartbeats()
        clock.advance(1000)
    assert pair[0].membership.is_suspected(D2)
    assert not pair[0].membership.is_dead(D2, pair[1].member.incarnation)


async def test_refusal_before_a_restart_is_no_evidence_against_the_new_run(
    pair,
):
    """Guards against evidence against a daemon that has just started."""
    put_row(pair[2], pair[1].member)
    await pair[0].table.scan()
    await pair[1].network.stop()
    probe = pair[0].membership.probe(D2)
    restarted = member('d2', '2', 9)
    put_row(pair[2], restarted)
    await probe
    await pair[0].table.scan()
    assert not pair[0].membership.is_dead(D2, restarted.incarnation)
    assert pair[0].membership.is_dead(D2, pair[1].member.incarnation)


async def test_host_that_left_the_list_is_dead_and_no_member(pair):
    """Guards against calls to a host that was removed permanently."""
    put_row(pair[2], pair[1].member)
    await pair[0].table.scan()
    membership = pair[0].membership
    both = [host(pair[0].member.listen), host(pair[1].member.listen)]
    membership.observe_hosts(both)
    membership.observe_hosts([])
    assert len(membership.members()) == 2
    membership.observe_hosts(both[:1])
    assert membership.is_dead(D2, pair[1].member.incarnation)
    await pair[0].table.scan()
    assert [each.daemon_id for each in membership.members()] == [D1]


async def test_member_outside_of_the_group_is_suspected_by_its_row(pair, clock):
    """Guards against forwarding to an unresponsive daemon of another group."""
    membership = pair[0].membership
    for number in range(60):
        put_row(pair[2], member(f'x{number}'))
    for _ in range(8):
        await pair[0].table.scan()
        clock.advance(1000)
    others = {each.daemon_id for each in membership.members()}
    others -= {D1, *membership._monitor.peers}
    assert len(others) >= 32
    suspected = {
        daemon_id for daemon_id in others if membership.is_suspected(daemon_id)
    }
    assert suspected == others - {D2}


def test_seed_peers_are_parsed():
    assert parse_seed_peers(['d1=127.0.0.1:7']) == {D1: '127.0.0.1:7'}


async def test_rejecting_peer_is_probed_with_a_pause(pair, clock, monkeypatch):
    """Guards against hundreds of connections a second to that peer."""
    pair[1].network.set_peers({})
    accepted = []

    async def count(reader):
        accepted.append(reader)
        return await read_hello(reader)

    monkeypatch.setattr('radishlift.wire.network.read_hello', count)
    ended = []
    pair[0].network.stream_closed.subscribe(ended.append)
    await pair[0].membership.send_heartbeats()
    # The stream of the heartbeat and that of one probe.
    await until(lambda: len(ended) == 2)
    await until(lambda: not pair[0].membership._probes)
    assert len(accepted) == 2
    clock.advance(MembershipSettings().heartbeat_interval_ms)
    await pair[0].membership.send_heartbeats()
    await until(lambda: len(ended) == 4)
    assert len(accepted) == 4
