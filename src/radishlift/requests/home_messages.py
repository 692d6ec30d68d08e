"""Messages between entry daemons and the homes of idempotency keys.

The home of a key is the partition whose journal stores its outcome; the
messages go to the owner of that partition.
"""

from dataclasses import dataclass

from radishlift.core.ids import DaemonId, PartitionId
from radishlift.requests.idempotency import RequestAnswered, RequestNotSent
from radishlift.wire.messages import message


@message('intent_request')
@dataclass(frozen=True, slots=True)
class IntentRequest:
    """Requests a grant to dispatch the request with a key, or its answer.

    If the request is in flight, the owner waits up to `wait_ms` for the answer.
    """

    partition_id: PartitionId
    key: str
    digest: str
    nonce: str
    wait_ms: int


@message('intent_grant')
@dataclass(frozen=True, slots=True)
class IntentGrant:
    """Allows one daemon to dispatch the request once; it is journaled."""

    key: str
    nonce: str
    daemon_id: DaemonId


@message('first_answer')
@dataclass(frozen=True, slots=True)
class FirstAnswer:
    """The recorded outcome of the request with a key."""

    digest: str
    answered: RequestAnswered


@message('key_report')
@dataclass(frozen=True, slots=True)
class KeyReport:
    """Reports how a granted dispatch ended.

    Either `answered` or `not_sent` is set.
    """

    partition_id: PartitionId
    answered: RequestAnswered | None = None
    not_sent: RequestNotSent | None = None


@message('key_report_taken')
@dataclass(frozen=True, slots=True)
class KeyReportTaken:
    """Confirms that a report is journaled."""

    nonce: str


__all__ = (
    'FirstAnswer',
    'IntentGrant',
    'IntentRequest',
    'KeyReport',
    'KeyReportTaken',
)
