"""Entry side of keyed requests: gets grants and runs the requests."""

import asyncio
from collections.abc import Awaitable, Callable
from hashlib import sha256
from secrets import token_hex
from typing import Any, Final

from radishlift.core.errors import ErrorKind, Failure, Outcome
from radishlift.core.ids import DaemonId
from radishlift.partitions.api import PartitionDirectory
from radishlift.requests.api import ServiceAnswer
from radishlift.requests.calls import Call
from radishlift.requests.home_messages import (
    FirstAnswer,
    IntentGrant,
    IntentRequest,
)
from radishlift.requests.idempotency import RequestNotSent
from radishlift.requests.kept_answers import decode_outcome
from radishlift.requests.key_reports import KeyReporter
from radishlift.requests.settings import RequestSettings
from radishlift.wire.network import PeerNetwork

_RETRY_PAUSE_S: Final = 0.1
# The home may have a new owner, or the first request is still in flight;
# nothing was journaled for this intent request.
_RETRYABLE: Final = frozenset(
    (
        ErrorKind.not_owner,
        ErrorKind.no_owner,
        ErrorKind.peer_unavailable,
        ErrorKind.target_outcome_unknown,
    )
)
# The intent may be journaled although no grant arrived.
_UNCONFIRMED_GRANT: Final = frozenset(
    (
        ErrorKind.peer_outcome_unknown,
        ErrorKind.store_outcome_unknown,
        ErrorKind.bad_frame,
        ErrorKind.internal,
    )
)

RequestOutcome = ServiceAnswer | Failure
Route = Callable[[Call], Awaitable[RequestOutcome]]


class KeyedRequests:
    """Runs keyed requests: gets a journaled grant, then dispatches once.

    A grant is used at most once: each intent request has its own nonce, which
    is removed before the dispatch and whenever the reply is not known.
    """

    def __init__(
        self,
        network: PeerNetwork,
        directory: PartitionDirectory,
        key_reporter: KeyReporter,
        settings: RequestSettings,
        route: Route,
    ) -> None:
        self._network = network
        self._directory = directory
        self._key_reporter = key_reporter
        self._settings = settings
        self._route = route
        self._pending_nonces: set[str] = set()

    async def run(self, call: Call) -> RequestOutcome:
        """Returns the outcome of a keyed request.

        A repeat gets the outcome of the first run.
        """
        key = call.home_key
        failure = Failure(ErrorKind.deadline_passed, 'the deadline has passed')
        while call.remaining_ms > 0:
            nonce = token_hex(8)
            reply = await self._request_intent(call, key, nonce)
            if isinstance(reply, IntentGrant):
                if self._accept_grant(reply, key, nonce):
                    return await self._run_granted(call, key, nonce)
                reply = Failure(
                    ErrorKind.bad_frame, 'the grant is for another request'
                )
            if isinstance(reply, FirstAnswer):
                return _outcome_of_first_run(reply, call)
            self._pending_nonces.discard(nonce)
            if reply.kind in _UNCONFIRMED_GRANT:
                self._key_reporter.start(RequestNotSent(key, nonce))
                reply = _unconfirmed_failure(reply)
            elif reply.kind not in _RETRYABLE:
                return reply
            failure = reply
            await asyncio.sleep(_RETRY_PAUSE_S)
        return failure

    async def _request_intent(self, call: Call, key: str, nonce: str) -> Any:
        partition_id = self._directory.home_of(key)
        if partition_id is None:
            reason = 'the homes of keys are not known yet'
            return Failure(ErrorKind.no_owner, reason)
        owner = self._directory.owner_of(partition_id)
        if owner is None:
            return Failure(ErrorKind.no_owner, f'{partition_id} has no owner')
        self._pending_nonces.add(nonce)
        # The waits are short, so that the request is repeated at the new owner
        # when the owner of the home is paused or stops.
        wait_ms = max(0, min(call.remaining_ms, self._settings.home_call_ms))
        request = IntentRequest(
            partition_id,
            key,
            _body_digest(call),
            nonce,
            wait_ms,
        )
        timeout_ms = min(
            call.remaining_ms, wait_ms + self._settings.home_call_ms
        )
        return await self._network.call(owner, request, max(1, timeout_ms))

    def _accept_grant(self, grant: IntentGrant, key: str, nonce: str) -> bool:
        if nonce not in self._pending_nonces:
            return False
        self._pending_nonces.discard(nonce)
        expected = IntentGrant(key, nonce, self._own_id)
        return grant == expected

    @property
    def _own_id(self) -> DaemonId:
        return self._network.daemon_id

    async def _run_granted(
        self, call: Call, key: str, nonce: str
    ) -> RequestOutcome:
        call.nonce = nonce
        outcome = await self._route(call)
        if _is_not_run(outcome):
            self._key_reporter.start(RequestNotSent(key, nonce))
        else:
            self._key_reporter.report_outcome(call, outcome)
        return outcome


def _body_digest(call: Call) -> str:
    return sha256(call.request.body).hexdigest()


def _is_not_run(outcome: RequestOutcome) -> bool:
    if not isinstance(outcome, Failure):
        return False
    return outcome.answer.outcome is Outcome.not_run


def _outcome_of_first_run(first: FirstAnswer, call: Call) -> RequestOutcome:
    if first.digest != _body_digest(call):
        return Failure(
            ErrorKind.peer_outcome_unknown,
            'the first answer belongs to another body',
        )
    return decode_outcome(first.answered)


def _unconfirmed_failure(failure: Failure) -> Failure:
    if failure.kind is ErrorKind.store_outcome_unknown:
        # The owner had no intent of the key, and this daemon will not send it.
        reason = f'the intent is not confirmed: {failure.reason}'
        return Failure(ErrorKind.store_unavailable, reason)
    # An earlier request with this key may have run.
    reason = f'the home of the key did not answer: {failure.reason}'
    return Failure(ErrorKind.peer_outcome_unknown, reason)


__all__ = ('KeyedRequests',)
