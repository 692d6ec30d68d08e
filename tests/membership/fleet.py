"""Daemons with their memberships, connected over loopback."""

import asyncio
from collections.abc import Callable

from radishlift.core.clock import ManualClock
from radishlift.core.codec import dump_plain
from radishlift.core.ids import Address, DaemonId, DataCentreId, Incarnation
from radishlift.membership.api import Member
from radishlift.membership.daemon_rows import (
    DAEMONS_TABLE,
    DaemonRow,
    DaemonState,
)
from radishlift.membership.daemon_table import DaemonTable
from radishlift.membership.membership import Membership
from radishlift.membership.settings import MembershipSettings
from radishlift.services.api import Transaction, Write
from radishlift.wire.network import PeerNetwork
from tests.standins.tables import MemoryTableStore


def member(name: str, incarnation: str = '1', port: int = 7000) -> Member:
    return Member(
        DaemonId(name),
        Incarnation(incarnation),
        Address(f'10.0.0.{name[-1]}:80'),
        Address(f'127.0.0.1:{port}'),
        DataCentreId('dn-a'),
    )


def daemon_row(described: Member, counter: int = 1) -> DaemonRow:
    return DaemonRow(
        described.incarnation,
        described.listen,
        described.peer_listen,
        described.data_centre,
        counter,
        DaemonState.serving,
    )


def put_row(
    store: MemoryTableStore, described: Member, counter: int = 1
) -> None:
    """Writes the row as the daemon itself does."""
    row = dump_plain(daemon_row(described, counter))
    write = Write(DAEMONS_TABLE, described.daemon_id, row)
    store.tables.commit(Transaction((), (write,)))


class Daemon:
    """A daemon with its network and membership."""

    def __init__(
        self,
        described: Member,
        store: MemoryTableStore,
        clock: ManualClock,
        seeds: dict[DaemonId, Address],
        settings: MembershipSettings | None = None,
    ) -> None:
        self.member = described
        self.network = PeerNetwork(described.daemon_id)
        self.table = DaemonTable(store, clock)
        self.membership = Membership(
            described,
            self.network,
            self.table,
            clock,
            settings or MembershipSettings(),
            seeds,
        )

    async def start(self) -> None:
        await self.network.start(self.member.peer_listen)


async def until(condition: Callable[[], object]) -> None:
    """Lets other tasks run until a condition holds."""
    for _ in range(1_000_000):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError('the condition never held')


__all__ = ('Daemon', 'daemon_row', 'member', 'put_row', 'until')
