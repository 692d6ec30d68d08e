"""Owner side of keyed requests: journals intents and answers."""

import asyncio
from collections import defaultdict
from typing import Final

from radishlift.core.clock import Clock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId
from radishlift.partitions.api import OwnedPartition, OwnedPartitions
from radishlift.requests.home_messages import (
    FirstAnswer,
    IntentGrant,
    IntentRequest,
    KeyReport,
    KeyReportTaken,
)
from radishlift.requests.idempotency import (
    IdempotencyTable,
    KeyEntry,
    RequestIntent,
    RequestsForgotten,
)
from radishlift.requests.settings import RequestSettings
from radishlift.wire.network import PeerNetwork

# Waiters check the partition at this interval: it may move to another owner,
# which sends no notice to the waiters of this daemon.
_RECHECK_MS: Final = 250

IntentReply = IntentGrant | FirstAnswer | Failure


class KeyHomeServer:
    """Grants each key at most once and journals its answer."""

    def __init__(
        self,
        network: PeerNetwork,
        partitions: OwnedPartitions,
        clock: Clock,
        settings: RequestSettings,
    ) -> None:
        self._partitions = partitions
        self._clock = clock
        self._settings = settings
        self._pending_grants: set[str] = set()
        self._change_events: defaultdict[str, set[asyncio.Event]]
        self._change_events = defaultdict(set)
        network.register(IntentRequest, self.grant)
        network.register(KeyReport, self.journal_report)

    async def grant(
        self,
        sender: DaemonId,
        request: IntentRequest,
    ) -> IntentReply:
        """Grants a new key, or returns the first answer of a known key."""
        until_ms = self._clock.monotonic_ms() + request.wait_ms
        while True:
            partition = self._partitions.get(request.partition_id)
            if partition is None:
                return _not_owner(request.partition_id)
            entry = partition.state(IdempotencyTable).get(request.key)
            if entry is None and request.key not in self._pending_grants:
                return await self._journal_intent(partition, sender, request)
            known = _known_outcome(entry, request)
            if known is not None:
                return known
            remaining_ms = until_ms - self._clock.monotonic_ms()
            if remaining_ms <= 0:
                reason = 'the first request with this key has no answer yet'
                return Failure(ErrorKind.target_outcome_unknown, reason)
            await self._wait_for_change(request.key, remaining_ms)

    async def journal_report(
        self,
        _sender: DaemonId,
        report: KeyReport,
    ) -> KeyReportTaken | Failure:
        """Journals an answer, or that the request was not sent."""
        partition = self._partitions.get(report.partition_id)
        if partition is None:
            return _not_owner(report.partition_id)
        reported = report.answered or report.not_sent
        if reported is None:
            return Failure(
                ErrorKind.invalid_input,
                'the report is empty',
            )
        table = partition.state(IdempotencyTable)
        if not _is_in_flight(table.get(reported.key), reported.nonce):
            # A repeated report, or one of an intent that was never journaled.
            return KeyReportTaken(reported.nonce)
        failure = await partition.commit(
            [reported],
            self._settings.home_call_ms,
        )
        self._signal(reported.key)
        return KeyReportTaken(reported.nonce) if failure is None else failure

    async def _journal_intent(
        self,
        partition: OwnedPartition,
        sender: DaemonId,
        request: IntentRequest,
    ) -> IntentGrant | Failure:
        table = partition.state(IdempotencyTable)
        now_ms = self._clock.wall_ms()
        before_ms = now_ms - self._settings.keep_keys_ms
        records: list[object] = []
        if table.has_older(before_ms):
            records.append(RequestsForgotten(before_ms))
        elif len(table) >= self._settings.kept_keys_count:
            reason = f'the table is full: it has {len(table)} keys'
            return Failure(ErrorKind.overloaded, reason)
        records.append(
            RequestIntent(
                request.key,
                request.digest,
                sender,
                request.nonce,
                now_ms,
            )
        )
        # No other grant may start until `commit` has applied the intent.
        self._pending_grants.add(request.key)
        try:
            failure = await partition.commit(
                records,
                min(self._settings.home_call_ms, _commit_timeout_ms(request)),
            )
        finally:
            self._pending_grants.discard(request.key)
            self._signal(request.key)
        if failure is not None:
            return failure
        return IntentGrant(request.key, request.nonce, sender)

    async def _wait_for_change(self, key: str, remaining_ms: int) -> None:
        event = asyncio.Event()
        self._change_events[key].add(event)
        wait_ms = min(remaining_ms, _RECHECK_MS)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await event.wait()
        except TimeoutError:
            return
        finally:
            self._change_events[key].discard(event)
            if not self._change_events[key]:
                self._change_events.pop(key)

    def _signal(self, key: str) -> None:
        for event in self._change_events.get(key, ()):
            event.set()


def _commit_timeout_ms(request: IntentRequest) -> int:
    # Leaves time to answer the caller before its deadline when the intent could
    # not be journaled and was rolled back.
    return request.wait_ms * 3 // 4


def _known_outcome(
    entry: KeyEntry | None,
    request: IntentRequest,
) -> FirstAnswer | Failure | None:
    if entry is None:
        return None
    if entry.intent.digest != request.digest:
        reason = 'the key was used with another body'
        return Failure(ErrorKind.conflict, reason)
    if entry.answered is None:
        return None
    return FirstAnswer(request.digest, entry.answered)


def _is_in_flight(entry: KeyEntry | None, nonce: str) -> bool:
    if entry is None or entry.answered is not None:
        return False
    return entry.intent.nonce == nonce


def _not_owner(partition_id: str) -> Failure:
    reason = f'{partition_id} is not owned here'
    return Failure(ErrorKind.not_owner, reason)


__all__ = ('KeyHomeServer',)
