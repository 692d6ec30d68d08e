import asyncio

import pytest

from radishlift.config.messages import ConfigAck, ConfigUpdate
from radishlift.config.parsing import render_document
from radishlift.core.ids import ConfigVersion
from tests.config.documents import TEXT
from tests.config.fleet import TestFleet, text_with_weight
from tests.standins.tables import Fault


@pytest.fixture
async def fleet(unused_tcp_port_factory):
    fleet = TestFleet(unused_tcp_port_factory)
    for name in 'abcd':
        await fleet.add(name)
    await fleet.daemons[0].change(TEXT, 0)
    await fleet.wait_until(lambda: all(fleet.everywhere(1)))
    yield fleet
    await asyncio.gather(*(daemon.stop() for daemon in fleet.daemons))


async def test_a_change_is_pushed_and_confirmed_on_every_daemon(fleet):
    """Guards against changes that need polls, or are never confirmed."""
    await fleet.daemons[1].change(text_with_weight(3), 1)
    await fleet.wait_until(lambda: all(fleet.everywhere(2)))
    assert fleet.all_have(2)
    texts = {
        render_document(daemon.distributor.current())
        for daemon in fleet.daemons
    }
    assert len(texts) == 1
    status = fleet.daemons[1].distributor.status()
    assert {daemon.version for daemon in status.daemons} == {2}
    assert max(daemon.age_ms for daemon in status.daemons) < 20_000


async def test_a_daemon_without_the_store_gets_changes(fleet):
    """Guards against distribution that needs the store in each daemon."""
    fleet.daemons[2].rows.fault = Fault.down
    await fleet.daemons[0].change(text_with_weight(3), 1)
    await fleet.wait_until(lambda: fleet.all_have(2))
    refused = await fleet.daemons[2].change(text_with_weight(4), 2)
    assert refused.answer.outcome.value == 'not_run'
    assert fleet.daemons[2].version == 2


async def test_polls_repair_lost_pushes(fleet):
    """Guards against a lost change when its acceptor fails before pushing.

    Daemon d reaches neither the store nor the acceptor. It must receive the
    version from a daemon that polled the head row.
    """
    fleet.isolate(fleet.daemons[0])
    fleet.daemons[3].rows.fault = Fault.down
    await fleet.daemons[0].change(text_with_weight(3), 1)
    assert [daemon.version for daemon in fleet.daemons] == [2, 1, 1, 1]
    await fleet.poll_until(lambda: fleet.all_have(2))
    assert not any(fleet.everywhere(2))


async def test_another_daemon_confirms_for_a_dead_acceptor(fleet):
    """Guards against a version that is never confirmed on all daemons.

    The daemon that accepted it fails before the other daemons report.
    """
    acceptor = fleet.daemons[0]
    fleet.isolate(acceptor)
    await acceptor.change(text_with_weight(3), 1)
    await fleet.remove(acceptor)
    await fleet.poll_until(lambda: fleet.all_have(2))
    assert not any(fleet.everywhere(2))
    fleet.directory.dead.add(acceptor.daemon_id)
    await fleet.poll_until(lambda: all(fleet.everywhere(2)))


async def test_a_frozen_daemon_applies_changes_on_resuming(fleet):
    """Guards against confirming a version that a paused daemon lacks."""
    frozen = fleet.daemons[3]
    frozen.network.running.clear()
    for weight in (3, 4, 5):
        await fleet.daemons[0].change(text_with_weight(weight), weight - 2)
    await fleet.poll_until(
        lambda: [daemon.version for daemon in fleet.daemons] == [4, 4, 4, 1]
    )
    status = await fleet.daemons[0].distributor.refresh_status()
    assert status.daemons[3].version is None
    assert not any(fleet.everywhere(2))
    frozen.network.running.set()
    await fleet.poll_until(lambda: all(fleet.everywhere(4)))
    assert frozen.version == 4


async def test_a_daemon_starts_from_peers_during_an_outage(fleet):
    """Guards against a start that needs the store, or makes up a version."""
    late = await fleet.add('late')
    late.rows.fault = Fault.down
    document = await late.distributor.start()
    assert document.version == 1
    alone = await fleet.add('alone')
    alone.rows.fault = Fault.down
    fleet.isolate(alone)
    assert await alone.distributor.start() is None
    assert alone.distributor.current() is None


async def test_a_restarted_daemon_does_not_lower_its_version(fleet):
    """Guards against a restart from an outdated read of the head row."""
    restarted = fleet.daemons[3]
    await fleet.remove(restarted)
    restarted = await fleet.add('d')
    restarted.rows.freeze_reads()
    await fleet.daemons[0].change(text_with_weight(3), 1)
    fleet.isolate(restarted)
    assert (await restarted.distributor.start()).version == 2


async def test_outdated_reads_do_not_lower_the_version(fleet):
    """Guards against polls that read from a lagging replica."""
    for daemon in fleet.daemons:
        daemon.rows.freeze_reads()
    await fleet.daemons[0].change(text_with_weight(3), 1)
    await fleet.wait_until(lambda: fleet.all_have(2))
    await fleet.poll()
    assert fleet.all_have(2)


async def test_concurrent_changes_on_all_daemons_are_merged(fleet):
    """Guards against daemons whose documents stay different."""
    teams = [
        f'{TEXT}[team:t{number}]\ndepartment = rug-depot\n'
        for number in range(4)
    ]
    await asyncio.gather(
        *(
            daemon.change(text, 1)
            for daemon, text in zip(fleet.daemons, teams, strict=True)
        )
    )
    await fleet.poll_until(lambda: all(fleet.everywhere(5)))
    for daemon in fleet.daemons:
        assert len(daemon.distributor.current().teams) == 5


async def test_a_stored_change_with_unknown_outcome_is_found_by_polls(fleet):
    """Guards against a stored version that no daemon distributes."""
    daemon = fleet.daemons[0]
    daemon.rows.fault = Fault.lose_answers
    unknown = asyncio.create_task(daemon.change(text_with_weight(3), 1))
    await fleet.poll_until(lambda: fleet.all_have(2))
    daemon.rows.fault = Fault.none
    assert (await unknown).version == 2


@pytest.mark.parametrize(
    'update',
    [
        ConfigUpdate(ConfigVersion(1), ConfigVersion(0), {}, '[department:x]'),
        ConfigUpdate(
            ConfigVersion(1), ConfigVersion(0), {'team:wash-floor': None}
        ),
        ConfigUpdate(
            ConfigVersion(7), ConfigVersion(5), {'team:wash-floor': None}
        ),
        ConfigUpdate(ConfigVersion(7), ConfigVersion(1), {'colour:x': {}}),
        ConfigUpdate(ConfigVersion(7), ConfigVersion(1), {'team:x': {}}),
        ConfigUpdate(
            ConfigVersion(7), ConfigVersion(1), {'department:rug-depot': None}
        ),
        ConfigUpdate(ConfigVersion(7), ConfigVersion(1), {}, 'nonsense'),
    ],
)
async def test_old_gapped_or_invalid_updates_change_nothing(fleet, update):
    """Guards against effects of repeated, reordered or invalid messages."""
    sender, receiver = fleet.daemons[:2]
    before = receiver.distributor.current()
    reply = await sender.network.call(receiver.daemon_id, update, 5000)
    assert reply == ConfigAck(ConfigVersion(1))
    assert receiver.distributor.current() is before
