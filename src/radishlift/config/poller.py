"""Reads the head row to find versions that were not pushed to this daemon."""

import asyncio
from collections.abc import Callable

from radishlift.config.local_config import LocalConfig
from radishlift.config.rows import (
    confirm_head,
    read_current_version,
    read_head,
)
from radishlift.config.snapshot import parse_snapshot
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion
from radishlift.core.logs import log_event
from radishlift.services.api import TableStore


class HeadPoller:
    """Loads the document of the head row if it is newer than the local one."""

    def __init__(
        self,
        table: TableStore,
        local: LocalConfig,
        grace_ms: int,
        on_new_version: Callable[[], None],
    ) -> None:
        self._table = table
        self._local = local
        self._grace_ms = grace_ms
        self._on_new_version = on_new_version

    async def read(self, *, is_confirmed: bool) -> None:
        """Reads the head row once and loads its document if it is newer.

        A confirmed read is never outdated.

            A confirmed read costs the table service one write operation.
        """
        head = await read_head(self._table)
        if is_confirmed and not isinstance(head, Failure):
            head = await confirm_head(self._table, head)
        if isinstance(head, Failure):
            log_event('config_head_unread', reason=head.reason)
        elif head.version > self._local.version:
            if not is_confirmed:
                # A change that was just accepted is being pushed by a peer;
                # the push is far smaller than the row.
                await asyncio.sleep(self._grace_ms / 1000)
            await self._read_document(head.version)

    async def _read_document(self, version: ConfigVersion) -> None:
        if version <= self._local.version:
            return
        row = await read_current_version(self._table, version)
        if isinstance(row, Failure):
            log_event('config_unread', version=version, reason=row.reason)
            return
        # A push may have arrived during the read.
        if version <= self._local.version:
            return
        parsed = await asyncio.to_thread(
            parse_snapshot,
            row.text,
            version,
            self._local.policies,
            self._local.snapshot,
        )
        outcome = self._local.replace_if_newer(parsed)
        if isinstance(outcome, Failure):
            log_event('config_refused', version=version, reason=outcome.reason)
        elif outcome:
            self._on_new_version()


__all__ = ('HeadPoller',)
