"""Journaled state of idempotency keys.

A key is in flight from its `RequestIntent` until its answer is journaled. An
intent is removed when its request is confirmed not sent; a later repeat then
gets a new intent. `RequestAnswered` and `RequestNotSent` carry the nonce of
their intent, so that a late record does not affect a later intent of the key.
"""

from dataclasses import dataclass
from typing import Any, ClassVar, Final

from msgpack import packb, unpackb

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId
from radishlift.journal.parts import PartedDump
from radishlift.journal.records import record
from radishlift.requests.key_segments import KeySegments

_INTENT_FIELDS: Final = 4


@record('request_intent')
@dataclass(frozen=True, slots=True)
class RequestIntent:
    """Allows a daemon to dispatch the request of a key once.

    `key` is qualified by the service; `digest` is the SHA-256 of the body.
    """

    key: str
    digest: str
    daemon_id: DaemonId
    nonce: str
    intent_at_ms: int


@record('request_answered')
@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """The answer of the only run of a key, or the failure of that run.

    `is_kept` is false and `body_base64` empty if the answer was too long.
    `failure_kind` is empty for an answer.
    """

    key: str
    nonce: str
    status: int
    content_type: str
    body_base64: str
    is_kept: bool = True
    failure_kind: str = ''
    reason: str = ''


@record('request_not_sent')
@dataclass(frozen=True, slots=True)
class RequestNotSent:
    """The daemon of an intent did not dispatch it and never will."""

    key: str
    nonce: str


@record('requests_forgotten')
@dataclass(frozen=True, slots=True)
class RequestsForgotten:
    """Removes the keys whose intent is older than a time.

    An answered key is removed with its whole segment.
    """

    before_ms: int


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """A key with its intent, and its answer once there is one."""

    intent: RequestIntent
    answered: RequestAnswered | None = None


class IdempotencyTable:
    """The idempotency keys of one partition.

    Keys in flight are stored in the order of their intents, the oldest first;
    answered keys are stored in segments.
    """

    record_types: ClassVar[tuple[type, ...]] = (
        RequestIntent,
        RequestAnswered,
        RequestNotSent,
        RequestsForgotten,
    )
    undo_types: ClassVar[tuple[type, ...]] = (RequestIntent,)

    def __init__(self) -> None:
        self._in_flight: dict[str, RequestIntent] = {}
        self._segments = KeySegments()

    def __len__(self) -> int:
        return len(self._in_flight) + len(self._segments)

    def get(self, key: str) -> KeyEntry | None:
        """Returns the entry of a key; None if it has no intent."""
        intent = self._in_flight.get(key)
        if intent is not None:
            return KeyEntry(intent)
        packed = self._segments.get(key)
        return None if packed is None else _unpack_entry(key, packed)

    def has_older(self, before_ms: int) -> bool:
        """Returns whether `RequestsForgotten` of a time would remove keys."""
        intent = next(iter(self._in_flight.values()), None)
        if intent is not None and intent.intent_at_ms < before_ms:
            return True
        return self._segments.has_older(before_ms)

    def apply(self, applied: Any) -> None:
        """Applies one record."""
        if isinstance(applied, RequestIntent):
            self._in_flight.setdefault(applied.key, applied)
            self._segments.advance(applied.intent_at_ms)
        elif isinstance(applied, RequestAnswered):
            self._apply_answer(applied)
        elif isinstance(applied, RequestNotSent):
            self._remove_intent(applied.key, applied.nonce)
        elif isinstance(applied, RequestsForgotten):
            self._forget(applied)

    def undo(self, intent: RequestIntent) -> None:
        """Removes an intent, unless a later record has removed it."""
        self._remove_intent(intent.key, intent.nonce)

    def dump(self) -> PartedDump:
        """Returns the keys that may change, with sealed segments as parts."""
        plain = {
            'in_flight': [
                dump_plain(intent) for intent in self._in_flight.values()
            ],
            **self._segments.dump_open(),
        }
        return PartedDump(plain, self._segments.sealed_parts())

    def load(self, dumped: Any) -> None:
        """Replaces the keys by those of a snapshot.

        Snapshots of earlier versions, without segments, hold a list.
        """
        is_parted = isinstance(dumped, PartedDump)
        plain = dumped.plain if is_parted else dumped
        self._segments = KeySegments()
        if isinstance(plain, list):
            self._load_entries(plain)
            return
        self._load_in_flight(plain['in_flight'])
        self._segments.load(plain, dumped.parts if is_parted else ())

    def _load_entries(self, plain: list[Any]) -> None:
        entries = read_plain(plain, list[KeyEntry])
        if isinstance(entries, Failure):
            raise ValueError(entries.reason)
        self._in_flight = {}
        for entry in entries:
            self.apply(entry.intent)
            if entry.answered is not None:
                self.apply(entry.answered)

    def _load_in_flight(self, plain: list[Any]) -> None:
        intents = read_plain(plain, list[RequestIntent])
        if isinstance(intents, Failure):
            raise ValueError(intents.reason)
        self._in_flight = {intent.key: intent for intent in intents}

    def _apply_answer(self, answered: RequestAnswered) -> None:
        intent = self._remove_intent(answered.key, answered.nonce)
        if intent is not None:
            self._segments.add(answered.key, _pack_entry(intent, answered))

    def _remove_intent(self, key: str, nonce: str) -> RequestIntent | None:
        intent = self._in_flight.get(key)
        if intent is None or intent.nonce != nonce:
            return None
        return self._in_flight.pop(key)

    def _forget(self, forgotten: RequestsForgotten) -> None:
        self._segments.drop_older(forgotten.before_ms)
        while self._in_flight:
            key, oldest = next(iter(self._in_flight.items()))
            if oldest.intent_at_ms >= forgotten.before_ms:
                return
            self._in_flight.pop(key)


def _pack_entry(intent: RequestIntent, answered: RequestAnswered) -> bytes:
    packed: bytes = packb(
        (
            intent.digest,
            intent.daemon_id,
            intent.nonce,
            intent.intent_at_ms,
            answered.status,
            answered.content_type,
            answered.body_base64,
            answered.is_kept,
            answered.failure_kind,
            answered.reason,
        )
    )
    return packed


def _unpack_entry(key: str, packed: bytes) -> KeyEntry:
    fields: list[Any] = unpackb(packed)
    digest, daemon_id, nonce, intent_at_ms = fields[:_INTENT_FIELDS]
    intent = RequestIntent(key, digest, daemon_id, nonce, intent_at_ms)
    answer = RequestAnswered(key, nonce, *fields[_INTENT_FIELDS:])
    return KeyEntry(intent, answer)


__all__ = (
    'IdempotencyTable',
    'KeyEntry',
    'RequestAnswered',
    'RequestIntent',
    'RequestNotSent',
    'RequestsForgotten',
)
