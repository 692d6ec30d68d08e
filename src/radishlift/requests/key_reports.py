"""Reports of keyed requests, repeated until their homes journal them."""

import asyncio
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.logs import log_event
from radishlift.partitions.api import PartitionDirectory
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.calls import Call
from radishlift.requests.home_messages import KeyReport, KeyReportTaken
from radishlift.requests.idempotency import RequestAnswered, RequestNotSent
from radishlift.requests.kept_answers import encode_outcome
from radishlift.requests.settings import RequestSettings
from radishlift.wire.network import PeerNetwork

_MAX_PENDING_REPORTS: Final = 2_000
_INITIAL_BACKOFF_S: Final = 0.25
_MAX_BACKOFF_S: Final = 4.0


class KeyReporter:
    """Sends reports in the background, for as long as the home keeps the key.

    A limit by the number of attempts ended after 15 s, so that repeats lost
    answers given shortly before a longer outage of the table service. The key
    of a report that is given up stays in flight; its repeats then get "outcome
    unknown", which is true.
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
        """Returns the number of reports that are not journaled yet."""
        return len(self._pending)

    def start(self, record: RequestAnswered | RequestNotSent) -> None:
        """Starts to send a report; drops it if too many are pending."""
        if self.pending_count >= _MAX_PENDING_REPORTS:
            log_event('key_report_dropped', key=record.key)
            return
        task = asyncio.create_task(self._send_until_journaled(record))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    def report_outcome(
        self, call: Call, outcome: ServiceAnswer | Failure
    ) -> None:
        """Reports the outcome of a granted call now or when it arrives late.

        A run whose answer never arrives is not reported.
        """
        if _is_final(outcome):
            self._start_outcome(call, outcome)
        elif call.late_exchange is not None:
            call.late_exchange.add_done_callback(
                lambda late: self._on_late_exchange(call, late),
            )

    def stop(self) -> None:
        """Cancels all pending reports."""
        for task in self._pending:
            task.cancel()

    def _on_late_exchange(
        self, call: Call, late_exchange: 'asyncio.Future[Any]'
    ) -> None:
        answer = late_exchange.result().answer
        if _is_final(answer):
            self._start_outcome(call, answer)

    def _start_outcome(
        self,
        call: Call,
        outcome: ServiceAnswer | Failure,
    ) -> None:
        max_bytes = self._settings.kept_answer_bytes
        answered = encode_outcome(call.home_key, call.nonce, outcome, max_bytes)
        self.start(answered)

    async def _send_until_journaled(
        self, record: RequestAnswered | RequestNotSent
    ) -> None:
        backoff_s = _INITIAL_BACKOFF_S
        try:
            async with asyncio.timeout(self._settings.keep_keys_ms / 1000):
                while not isinstance(
                    await self._send(record),
                    KeyReportTaken,
                ):
                    await asyncio.sleep(backoff_s)
                    backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
        except TimeoutError:
            log_event('key_report_given_up', key=record.key)

    async def _send(
        self,
        record: RequestAnswered | RequestNotSent,
    ) -> KeyReportTaken | Failure:
        partition_id = self._directory.home_of(record.key)
        if partition_id is None:
            return Failure(
                ErrorKind.no_owner, 'the home of the key is not known yet'
            )
        owner = self._directory.owner_of(partition_id)
        if owner is None:
            return Failure(ErrorKind.no_owner, f'{partition_id} has no owner')
        report = (
            KeyReport(partition_id, answered=record)
            if isinstance(record, RequestAnswered)
            else KeyReport(partition_id, not_sent=record)
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


__all__ = ('KeyReporter',)
