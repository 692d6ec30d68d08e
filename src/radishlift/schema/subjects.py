"""Collects all messages, journal records and rows that daemons exchange."""

from collections.abc import Iterable, Iterator
from importlib import import_module
from pkgutil import walk_packages
from typing import Final

import radishlift
from radishlift.config.rows import ConfigRow, HeadRow
from radishlift.core.kinds import MESSAGES, RECORDS, Kind
from radishlift.journal.rows import JournalRow
from radishlift.journal.snapshot_rows import SnapshotRow
from radishlift.journal.snapshots import SnapshotContent
from radishlift.membership.daemon_rows import DaemonRow
from radishlift.ownership.owner_rows import OwnerRow
from radishlift.report.saved_counts import SavedCounts
from radishlift.requests.idempotency import KeyEntry
from radishlift.requests.slot_rows import SlotRow
from radishlift.schema.describe import Subject
from radishlift.wire.hello import HelloFields

_ROWS: Final = (
    ConfigRow,
    DaemonRow,
    HeadRow,
    HelloFields,
    JournalRow,
    KeyEntry,
    OwnerRow,
    SavedCounts,
    SlotRow,
    SnapshotContent,
    SnapshotRow,
)


def all_subjects() -> Iterator[Subject]:
    """Yields the subjects of the schema.

    Imports all modules of the package, because each module registers its own
    messages and records. Kinds that tests register are left out.
    """
    for module in walk_packages(radishlift.__path__, 'radishlift.'):
        if not module.name.endswith('__main__'):
            import_module(module.name)
    yield from _registered('message', MESSAGES.kinds.values())
    yield from _registered('record', RECORDS.kinds.values())
    for row in _ROWS:
        yield Subject('row', row.__name__, row)


def _registered(section: str, kinds: Iterable[Kind]) -> Iterator[Subject]:
    for kind in kinds:
        if kind.python_type.__module__.startswith('radishlift.'):
            yield Subject(section, kind.name, kind.python_type, kind.level)


__all__ = ('all_subjects',)
