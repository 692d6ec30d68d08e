"""A daemon of the next version: it writes fields that this version lacks.

`python -m tests.system.next_version --settings FILE`. Each map of a message,
record or row that it writes has one more field. At its format level it also
sends a new message and journals a new record.
"""

import asyncio
import sys
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from importlib import import_module
from typing import Any, ClassVar, Final

from radishlift.core import kinds, levels
from radishlift.core.errors import Failure
from radishlift.daemon import control, lifecycle, main
from radishlift.journal import inserts, rows
from radishlift.journal.records import record
from radishlift.partitions.loads import LoadTable
from radishlift.wire.messages import message

NEXT_LEVEL: Final = levels.FORMAT_LEVEL + 1
INTERVAL_S: Final = 0.2
CALL_TIMEOUT_MS: Final = 1000
ADDED: Final = {'added_by_next': {'reason': 'next version'}}
DUMPING_MODULES: Final = (
    'config.rows',
    'journal.snapshot_writer',
    'membership.daemon_rows',
    'ownership.owner_rows',
    'partitions.hand_off_state',
    'partitions.owner_history',
    'placement.gang_snapshots',
    'placement.learned_statistics',
    'placement.snapshots',
    'quotas.ledger',
    'requests.idempotency',
    'requests.slot_rows',
)


@message('next_ping', NEXT_LEVEL)
@dataclass(frozen=True, slots=True)
class NextPing:
    number: int


@record('next_note', NEXT_LEVEL)
@dataclass(frozen=True, slots=True)
class NextNote:
    number: int


class NextNotes:
    """A state type that this version lacks."""

    record_types: ClassVar[tuple[type, ...]] = (NextNote,)

    def __init__(self) -> None:
        self.last_number = 0

    def apply(self, note: NextNote) -> None:
        self.last_number = note.number

    def dump(self) -> Any:
        return self.last_number

    def load(self, plain: Any) -> None:
        self.last_number = plain


def dump_with_added_field(typed: Any) -> Any:
    """Dumps plain data with one more field in each dataclass."""
    if is_dataclass(typed):
        plain = {
            member.name: dump_with_added_field(getattr(typed, member.name))
            for member in fields(typed)
        }
        return plain | ADDED
    if isinstance(typed, Enum):
        return typed.value
    if isinstance(typed, dict):
        return {
            dump_with_added_field(key): dump_with_added_field(typed[key])
            for key in typed
        }
    if isinstance(typed, list | tuple):
        return [dump_with_added_field(member) for member in typed]
    return typed


def add_fields_to_output() -> None:
    """Adds fields to the messages, records and rows that daemons write."""
    kinds.dump_plain = dump_with_added_field
    for name in DUMPING_MODULES:
        import_module(f'radishlift.{name}').dump_plain = dump_with_added_field
    plain_row = rows.plain_row
    inserts.plain_row = lambda row: plain_row(row) | ADDED
    summary = LoadTable.summary

    def summary_with_more(table: LoadTable) -> dict[str, float]:
        loads = summary(table)
        return loads | {'added': 1.0} if loads else loads

    LoadTable.summary = summary_with_more


async def use_next_level(daemon: lifecycle.Daemon) -> None:
    """Pings all peers and journals notes while the cell's level allows."""
    network = daemon.context.network
    cell_level = daemon.control.cell_level

    async def answer(_sender: str, ping: NextPing) -> NextPing:
        return ping

    network.register(NextPing, answer)
    number = 0
    while True:
        await asyncio.sleep(INTERVAL_S)
        number += 1
        if cell_level.allows(NextPing):
            for peer in network.peers:
                ping = NextPing(number)
                reply = await network.call(peer, ping, CALL_TIMEOUT_MS)
                refused = isinstance(reply, Failure)
                text = f'refused {reply.reason}' if refused else 'answered'
                print(f'next_ping {text}', file=sys.stderr, flush=True)
        if cell_level.allows(NextNote):
            for runner in daemon.control.partitions.owned():
                opened = runner.partition
                if opened is not None:
                    opened.log.apply([NextNote(number)])
                    opened.request_flush(())
                    daemon.control.parts.activity.set()


def run_next() -> int:
    """Runs the daemon with the additions of the next version."""
    levels.FORMAT_LEVEL = NEXT_LEVEL
    add_fields_to_output()
    build = control.ControlPlane.__init__

    def build_with_notes(
        self: Any, context: Any, factories: Any, stop: Any
    ) -> None:
        build(self, context, (*factories, NextNotes), stop)

    control.ControlPlane.__init__ = build_with_notes
    start = lifecycle.Daemon._start

    async def start_and_use(daemon: lifecycle.Daemon) -> None:
        await start(daemon)
        daemon._run_loop(use_next_level(daemon))

    lifecycle.Daemon._start = start_and_use
    return main.main()


if __name__ == '__main__':
    sys.exit(run_next())
