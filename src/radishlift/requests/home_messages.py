"""Messages between entry daemons and the owners of keys' homes."""

from dataclasses import dataclass

from radishlift.core.ids import DaemonId, PartitionId
from radishlift.requests.idempotency import RequestAnswered, RequestNotSent
from radishlift.wire.messages import message


@message('intent_request')
@dataclass(frozen=True, slots=True)
class IntentRequest:
    """Asks for the right to dispatch a key, or for its first answer.

    The owner waits up to `wait_ms` for the answer to a key in flight.
    """

    partition_id: PartitionId
    key: str
    digest: str
    nonce: str
    wait_ms: int


@message('intent_grant')
@dataclass(frozen=True, slots=True)
class IntentGrant:
    """The journaled right of one daemon to dispatch a key once."""

    key: str
    nonce: str
    daemon_id: DaemonId


@message('first_answer')
@dataclass(frozen=True, slots=True)
class FirstAnswer:
    """What the only run of a key answered."""

    digest: str
    answered: RequestAnswered


@message('key_report')
@dataclass(frozen=True, slots=True)
class KeyReport:
    """Reports how a granted dispatch ended; one of both is set."""

    partition_id: PartitionId
    answered: RequestAnswered | None = None
    not_sent: RequestNotSent | None = None


@message('key_report_taken')
@dataclass(frozen=True, slots=True)
class KeyReportTaken:
    """The report is journaled."""

    nonce: str


__all__ = (
    'FirstAnswer',
    'IntentGrant',
    'IntentRequest',
    'KeyReport',
    'KeyReportTaken',
)
