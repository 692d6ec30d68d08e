"""Journaled state of idempotency keys.

A key is in flight from its `RequestIntent` until its answer is journaled. An
intent whose request was provably not sent is taken back; a later repeat then
gets an intent of its own. Every record but the intent names the nonce of the
intent that it is about, so that a late one can't touch a later intent.
"""

from dataclasses import dataclass
from typing import Any, ClassVar

from radishlift.core.codec import dump_plain, read_plain
from radishlift.core.errors import Failure
from radishlift.core.ids import DaemonId
from radishlift.journal.records import record


@record('request_intent')
@dataclass(frozen=True, slots=True)
class RequestIntent:
    """A daemon may dispatch the request of a key, once.

    `key` is qualified by the service; `digest` is that of the body.
    """

    key: str
    digest: str
    daemon_id: DaemonId
    nonce: str
    intent_at_ms: int


@record('request_answered')
@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """The first answer to a key, or the failure of its only run.

    `body_base64` is empty when `is_kept` tells that the answer was too long.
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
    """The daemon of an intent has not dispatched it and never will."""

    key: str
    nonce: str


@record('requests_forgotten')
@dataclass(frozen=True, slots=True)
class RequestsForgotten:
    """Keys whose intent is older than this time are dropped."""

    before_ms: int


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """A key: its intent, and its answer once there is one."""

    intent: RequestIntent
    answered: RequestAnswered | None = None


class IdempotencyTable:
    """The keys of one partition; changes only by records."""

    record_types: ClassVar[tuple[type, ...]] = (
        RequestIntent,
        RequestAnswered,
        RequestNotSent,
        RequestsForgotten,
    )
    undo_types: ClassVar[tuple[type, ...]] = (RequestIntent,)

    def __init__(self) -> None:
        # In the order of the intents, so that the oldest come first.
        self._entries: dict[str, KeyEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> KeyEntry | None:
        """Returns a key that is in flight or answered."""
        return self._entries.get(key)

    @property
    def oldest_ms(self) -> int | None:
        """Returns the time of the oldest intent."""
        entry = next(iter(self._entries.values()), None)
        return None if entry is None else entry.intent.intent_at_ms

    def apply(self, applied: Any) -> None:
        """Applies one record."""
        if isinstance(applied, RequestIntent):
            self._entries.setdefault(applied.key, KeyEntry(applied))
        elif isinstance(applied, RequestAnswered):
            self._answer(applied)
        elif isinstance(applied, RequestNotSent):
            self._take_back(applied)
        elif isinstance(applied, RequestsForgotten):
            self._forget(applied)

    def undo(self, intent: RequestIntent) -> None:
        """Takes back an intent, unless a later record removed it."""
        if self._in_flight(intent.key, intent.nonce) is not None:
            self._entries.pop(intent.key)

    def dump(self) -> Any:
        """Returns the keys as plain data, the oldest first."""
        return [dump_plain(entry) for entry in self._entries.values()]

    def load(self, plain: Any) -> None:
        """Replaces the keys by those of a snapshot."""
        entries = read_plain(plain, list[KeyEntry])
        if isinstance(entries, Failure):
            raise ValueError(entries.reason)
        self._entries = {entry.intent.key: entry for entry in entries}

    def _answer(self, answered: RequestAnswered) -> None:
        entry = self._in_flight(answered.key, answered.nonce)
        if entry is not None:
            self._entries[answered.key] = KeyEntry(entry.intent, answered)

    def _take_back(self, not_sent: RequestNotSent) -> None:
        if self._in_flight(not_sent.key, not_sent.nonce) is not None:
            self._entries.pop(not_sent.key)

    def _in_flight(self, key: str, nonce: str) -> KeyEntry | None:
        entry = self._entries.get(key)
        if entry is None or entry.answered is not None:
            return None
        return entry if entry.intent.nonce == nonce else None

    def _forget(self, forgotten: RequestsForgotten) -> None:
        old = [
            key
            for key, entry in self._entries.items()
            if entry.intent.intent_at_ms < forgotten.before_ms
        ]
        for key in old:
            self._entries.pop(key)


__all__ = (
    'IdempotencyTable',
    'KeyEntry',
    'RequestAnswered',
    'RequestIntent',
    'RequestNotSent',
    'RequestsForgotten',
)
