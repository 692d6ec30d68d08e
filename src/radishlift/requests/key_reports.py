"""Reports to the homes of keys, repeated until they are journaled."""

import asyncio
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.logs import log_event
from radishlift.partitions.api import PartitionDirectory
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.calls import Call
from radishlift.requests.home_messages import KeyReport, KeyReportTaken
from radishlift.requests.idempotency import RequestAnswered, RequestNotSent
from radishlift.requests.kept_answers import keep_answer
from radishlift.requests.settings import RequestSettings
from radishlift.wire.network import PeerNetwork

_MAX_PENDING: Final = 2_000
_FIRST_PAUSE_S: Final = 0.25
_MAX_PAUSE_S: Final = 4.0


class KeyReports:
    """Reports in the background, for as long as the home keeps the key.

    A limit by attempts gave up after 15 s, so that answers given shortly
    before a longer outage of the table service were lost to repeats. A report
    that is given up leaves its key in flight: repeats then get "outcome
    unknown", which stays true.
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

    def follow(self, call: Call, outcome: ServiceAnswer | Failure) -> None:
        """Reports what the run of a granted call answered, also if late.

        A run whose answer never comes is not reported.
        """
        if _is_final(outcome):
            self._start_answer(call, outcome)
        elif call.late is not None:
            call.late.add_done_callback(
                lambda late: self._report_late(call, late),
            )

    def stop(self) -> None:
        """Gives all reports up."""
        for task in self._pending:
            task.cancel()

    def _report_late(self, call: Call, late: 'asyncio.Future[Any]') -> None:
        answer = late.result().answer
        if _is_final(answer):
            self._start_answer(call, answer)

    def _start_answer(
        self,
        call: Call,
        outcome: ServiceAnswer | Failure,
    ) -> None:
        max_bytes = self._settings.kept_answer_bytes
        kept = keep_answer(call.home_key, call.nonce, outcome, max_bytes)
        self.start(kept)

    async def _report(self, reported: RequestAnswered | RequestNotSent) -> None:
        pause_s = _FIRST_PAUSE_S
        try:
            async with asyncio.timeout(self._settings.keep_keys_ms / 1000):
                while not isinstance(
                    await self._send(reported),
                    KeyReportTaken,
                ):
                    await asyncio.sleep(pause_s)
                    pause_s = min(2 * pause_s, _MAX_PAUSE_S)
        except TimeoutError:
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


def _is_final(outcome: ServiceAnswer | Failure) -> bool:
    if isinstance(outcome, Failure):
        return outcome.answer.outcome is Outcome.ran
    return True


__all__ = ('KeyReports',)
