"""Serves share requests to homes owned by this daemon and handles hints."""

import asyncio
from typing import Final

from radishlift.config.api import ConfigView
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion, DaemonId, PartitionId
from radishlift.partitions.homes import OwnerLookup
from radishlift.partitions.partitions import Partitions
from radishlift.partitions.parts import DaemonParts
from radishlift.quotas.home import HomeAnswer
from radishlift.quotas.messages import (
    ShareHint,
    SharesSynced,
    SyncShares,
)

_REPLY_MARGIN_MS: Final = 100


class ShareServer:
    """Registers and implements the handlers of share messages."""

    def __init__(
        self,
        parts: DaemonParts,
        partitions: Partitions,
        lookup: OwnerLookup,
        config: ConfigView,
    ) -> None:
        self._parts = parts
        self._partitions = partitions
        self._lookup = lookup
        self._config = config
        self._journaled_versions: dict[
            PartitionId, tuple[int, ConfigVersion]
        ] = {}
        self._hint_tasks: set[asyncio.Task[None]] = set()
        parts.network.register(SyncShares, self._handle_sync)
        parts.network.register(ShareHint, self._handle_hint)

    def journal_limits(self) -> None:
        """Journals at owned homes which limits a new configuration has.

        When a limit is removed and set again, the use of all holders has to be
        counted again.
        """
        document = self._config.current()
        if document is None:
            return
        for runner in self._partitions.owned():
            version = (runner.epoch, document.version)
            partition = runner.partition
            if (
                partition is None
                or self._journaled_versions.get(runner.partition_id) == version
            ):
                continue
            if partition.log.journal.refusal() is None:
                self._journaled_versions[runner.partition_id] = version
                for change in partition.quota_shares.home.apply_document(
                    document
                ):
                    partition.log.append(change)
                partition.request_flush(())

    async def _handle_sync(
        self,
        _sender: DaemonId,
        request: SyncShares,
    ) -> SharesSynced | Failure:
        runner = self._partitions.get(request.home)
        partition = None if runner is None else runner.partition
        document = self._config.current()
        if runner is None or partition is None or document is None:
            return Failure(
                ErrorKind.not_owner,
                f'this daemon does not own home {request.home}',
            )
        refusal = partition.log.journal.refusal()
        if refusal is not None:
            return refusal
        answer = partition.quota_shares.home.answer(
            request,
            document,
            self._lookup.partitions(),
            self._parts.clock.monotonic_ms(),
        )
        for change in answer.records:
            failure = partition.log.append(change)
            if failure is not None:
                return failure
        # The wait of an earlier answer may have timed out. Shares that this
        # answer repeats may then not be durable yet, so it always commits.
        timeout_ms = self._parts.settings.quotas.call_timeout_ms
        failure = await runner.commit((), timeout_ms - _REPLY_MARGIN_MS)
        if failure is not None:
            return failure
        self._send_hints(answer)
        return SharesSynced(request.serial, tuple(answer.shares))

    def _send_hints(self, answer: HomeAnswer) -> None:
        for hint in answer.hints:
            task = asyncio.create_task(self._send_hint(hint))
            self._hint_tasks.add(task)
            task.add_done_callback(self._hint_tasks.discard)

    async def _send_hint(self, hint: ShareHint) -> None:
        owner = self._lookup.owner_of(hint.holder)
        if owner == self._parts.daemon_id:
            await self._handle_hint(owner, hint)
        elif owner is not None:
            await self._parts.network.send(owner, hint)

    async def _handle_hint(self, _sender: DaemonId, hint: ShareHint) -> None:
        runner = self._partitions.get(hint.holder)
        partition = None if runner is None else runner.partition
        if partition is not None:
            partition.quota_shares.apply_hint(
                hint, self._parts.clock.monotonic_ms()
            )


__all__ = ('ShareServer',)
