"""The owner's side of keyed requests: journals intents and answers."""

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

# A waiter looks again after this time, because the partition may have moved
# to another owner, which tells nothing to the waiters here.
_LOOK_AGAIN_MS: Final = 250

IntentReply = IntentGrant | FirstAnswer | Failure


class HomeServer:
    """Grants each key at most once and keeps its answer."""

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
        self._granting: set[str] = set()
        self._changes: defaultdict[str, set[asyncio.Event]]
        self._changes = defaultdict(set)
        network.register(IntentRequest, self.grant)
        network.register(KeyReport, self.report)

    async def grant(
        self,
        sender: DaemonId,
        asked: IntentRequest,
    ) -> IntentReply:
        """Grants a new key, or returns the first answer of a known one."""
        until_ms = self._clock.monotonic_ms() + asked.wait_ms
        while True:
            partition = self._partitions.get(asked.partition_id)
            if partition is None:
                return _not_owner(asked.partition_id)
            entry = partition.state(IdempotencyTable).get(asked.key)
            if entry is None and asked.key not in self._granting:
                return await self._journal_intent(partition, sender, asked)
            known = _known_outcome(entry, asked)
            if known is not None:
                return known
            left_ms = until_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                reason = 'the first request with this key has no answer yet'
                return Failure(ErrorKind.target_outcome_unknown, reason)
            await self._wait_for_change(asked.key, left_ms)

    async def report(
        self,
        _sender: DaemonId,
        report: KeyReport,
    ) -> KeyReportTaken | Failure:
        """Journals an answer, or that nothing was sent."""
        partition = self._partitions.get(report.partition_id)
        if partition is None:
            return _not_owner(report.partition_id)
        reported = report.answered or report.not_sent
        if reported is None:
            return Failure(ErrorKind.invalid_input, 'empty report')
        table = partition.state(IdempotencyTable)
        if not _is_open(table.get(reported.key), reported.nonce):
            # Repeated, or about an intent that was never journaled.
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
        asked: IntentRequest,
    ) -> IntentGrant | Failure:
        table = partition.state(IdempotencyTable)
        now_ms = self._clock.wall_ms()
        before_ms = now_ms - self._settings.keep_keys_ms
        records: list[object] = []
        if table.has_older(before_ms):
            records.append(RequestsForgotten(before_ms))
        elif len(table) >= self._settings.kept_keys_count:
            reason = f'{len(table)} keys are kept'
            return Failure(ErrorKind.overloaded, reason)
        records.append(
            RequestIntent(
                asked.key,
                asked.digest,
                sender,
                asked.nonce,
                now_ms,
            )
        )
        # `commit` may apply the intent late; meanwhile no other may start.
        self._granting.add(asked.key)
        try:
            failure = await partition.commit(
                records,
                min(self._settings.home_call_ms, _grant_ms(asked)),
            )
        finally:
            self._granting.discard(asked.key)
            self._signal(asked.key)
        if failure is not None:
            return failure
        return IntentGrant(asked.key, asked.nonce, sender)

    async def _wait_for_change(self, key: str, left_ms: int) -> None:
        event = asyncio.Event()
        self._changes[key].add(event)
        wait_ms = min(left_ms, _LOOK_AGAIN_MS)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await event.wait()
        except TimeoutError:
            return
        finally:
            self._changes[key].discard(event)
            if not self._changes[key]:
                self._changes.pop(key)

    def _signal(self, key: str) -> None:
        for event in self._changes.get(key, ()):
            event.set()


def _grant_ms(asked: IntentRequest) -> int:
    # Leaves time to tell the caller before its deadline that an intent which
    # could not be journaled was taken back.
    return asked.wait_ms * 3 // 4


def _known_outcome(
    entry: KeyEntry | None,
    asked: IntentRequest,
) -> FirstAnswer | Failure | None:
    if entry is None:
        return None
    if entry.intent.digest != asked.digest:
        reason = 'the key was used with another body'
        return Failure(ErrorKind.conflict, reason)
    if entry.answered is None:
        return None
    return FirstAnswer(asked.digest, entry.answered)


def _is_open(entry: KeyEntry | None, nonce: str) -> bool:
    if entry is None or entry.answered is not None:
        return False
    return entry.intent.nonce == nonce


def _not_owner(partition_id: str) -> Failure:
    reason = f'{partition_id} is not owned here'
    return Failure(ErrorKind.not_owner, reason)


__all__ = ('HomeServer',)
