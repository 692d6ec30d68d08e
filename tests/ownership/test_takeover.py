import asyncio

from radishlift.core.errors import ErrorKind
from radishlift.journal.partition_journal import PartitionJournal
from radishlift.journal.recovery import recover
from radishlift.journal.settings import JournalSettings
from tests.journal.states import NumberList, NumberRecord
from tests.membership.fleet import until
from tests.ownership.fleet import Daemon, Fleet
from tests.ownership.test_manager import P0
from tests.standins.tables import MemoryObjectStore


class HeldCommits:
    """Delays the commits of a paused process until it resumes."""

    def __init__(self, daemon: Daemon) -> None:
        self.resumed = asyncio.Event()
        self.waiting = 0
        self._commit = daemon.store.commit
        daemon.store.commit = self.commit

    async def commit(self, transaction):
        self.waiting += 1
        await self.resumed.wait()
        return await self._commit(transaction)


async def open_journal(daemon: Daemon) -> tuple[PartitionJournal, NumberList]:
    state = NumberList()
    objects = MemoryObjectStore()
    recovered = await recover(daemon.store, objects, P0, [state])
    journal = PartitionJournal(
        daemon.store, daemon.claims[P0], recovered, JournalSettings()
    )
    return journal, state


async def test_owner_paused_past_its_lease_can_not_commit():
    """Guards against a record that the new owner has not read."""
    fleet = Fleet(1, 'd1')
    await fleet.run(2000)
    paused = fleet.daemons[0]
    journal, _ = await open_journal(paused)
    journal.append(NumberRecord(1))
    await journal.flush()
    journal.append(NumberRecord(2))
    held = HeldCommits(paused)
    flush = asyncio.create_task(journal.flush())
    await until(lambda: held.waiting)
    new_owner = fleet.add('d2')
    await fleet.run(13_000, new_owner)
    new_journal, state = await open_journal(new_owner)
    assert state.numbers == [1]
    held.resumed.set()
    assert (await flush).kind is ErrorKind.not_owner
    assert (await journal.wait_durable(2, 0)).kind is ErrorKind.not_owner
    await paused.run_once()
    assert not paused.claims
    new_journal.append(NumberRecord(3))
    await new_journal.flush()
    _, final = await open_journal(new_owner)
    assert final.numbers == [1, 3]


async def test_owner_keeps_running_through_an_outage_and_commits_after_it():
    """Guards against acknowledged work that an outage loses."""
    fleet = Fleet(1, 'd1', 'd2')
    await fleet.run(3000)
    owner = next(daemon for daemon in fleet.daemons if daemon.claims)
    journal, _ = await open_journal(owner)
    held = HeldCommits(owner)
    journal.append(NumberRecord(1))
    flush = asyncio.create_task(journal.flush())
    await until(lambda: held.waiting)
    fleet.clock.advance(60_000)
    held.resumed.set()
    await flush
    await fleet.run(20_000)
    assert journal.durable_position == 1
    assert journal.claim == owner.claims[P0]
