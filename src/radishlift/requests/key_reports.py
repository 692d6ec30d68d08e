"""Reports to the homes of keys, repeated until they are journaled."""

import asyncio
from typing import Final

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.partitions.api import PartitionDirectory
from radishlift.requests.home_messages import KeyReport, KeyReportTaken
from radishlift.requests.idempotency import RequestAnswered, RequestNotSent
from radishlift.requests.settings import RequestSettings
from radishlift.wire.network import PeerNetwork

_MAX_PENDING: Final = 2_000
_PAUSE_S: Final = 0.25


class KeyReports:
    """Reports in the background.

    A report that is given up leaves its key in flight: repeats then get
    "outcome unknown", which stays true.
    """

    def __init__(
        self,
        network: PeerNetwork,
        directory: PartitionDirectory,
        settings: RequestSettings,
    ) -> None:
        self._network = network
        self._directory = directory
        self._settings = settings
        self._pending: set[asyncio.Task[None]] = set()

    @property
    def pending_count(self) -> int:
        """Counts the reports that are not journaled yet."""
        return len(self._pending)

    def start(self, reported: RequestAnswered | RequestNotSent) -> None:
        """Starts to report."""
        if self.pending_count >= _MAX_PENDING:
            log_event('key_report_dropped', key=reported.key)
            return
        task = asyncio.create_task(self._report(reported))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    def stop(self) -> None:
        """Gives all reports up."""
        for task in self._pending:
            task.cancel()

    async def _report(self, reported: RequestAnswered | RequestNotSent) -> None:
        for _ in range(self._settings.report_attempts_count):
            reply = await self._send(reported)
            if isinstance(reply, KeyReportTaken):
                return
            await asyncio.sleep(_PAUSE_S)
        log_event('key_report_given_up', key=reported.key)

    async def _send(
        self,
        reported: RequestAnswered | RequestNotSent,
    ) -> KeyReportTaken | Failure:
        partition_id = self._directory.home_of(reported.key)
        if partition_id is None:
            return Failure(ErrorKind.no_owner, 'no home')
        owner = self._directory.owner_of(partition_id)
        if owner is None:
            return Failure(ErrorKind.no_owner, f'{partition_id} has no owner')
        report = (
            KeyReport(partition_id, answered=reported)
            if isinstance(reported, RequestAnswered)
            else KeyReport(partition_id, not_sent=reported)
        )
        reply: KeyReportTaken | Failure = await self._network.call(
            owner,
            report,
            2 * self._settings.home_call_ms,
        )
        return reply


__all__ = ('KeyReports',)
