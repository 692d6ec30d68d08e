"""CPU time of the codec for messages and journal records.

Control traffic may use 1.7% of a core. The codec may use a tenth of that for
heartbeats, with four heartbeats sent and received each second.
"""

import time
from typing import Any, Final

from msgpack import packb, unpackb

from benchmarks.harness import BENCHMARKS, Figure, at_most
from radishlift.core.ids import (
    Attempt,
    DaemonId,
    Incarnation,
    RequestId,
    ServiceName,
    TaskId,
    WorkerId,
)
from radishlift.journal.records import decode_record, encode_record
from radishlift.membership.heartbeats import Heartbeat
from radishlift.placement.jobs import Resources
from radishlift.placement.records import TaskPlaced
from radishlift.requests.api import ServiceRequest
from radishlift.requests.forwarding import ForwardRequest
from radishlift.requests.loads import ServiceLoad, ServiceLoads
from radishlift.wire.messages import decode_message, encode_message

REPEATS: Final = 5
ROUNDS: Final = 3000
US_PER_NS: Final = 1e-3
CONTROL_US_PER_S: Final = 17_000
HEARTBEATS_PER_S: Final = 4
CONTROL_PART: Final = 0.1

SUMMARY: Final = {
    'partition:load': 0.75,
    'cpu': 12_000,
    'mb': 8_000,
    'acc': 0,
    'all_cpu': 96_000,
    'all_mb': 64_000,
    'all_acc': 0,
}
MESSAGES: Final[dict[str, Any]] = {
    'heartbeat': Heartbeat(
        Incarnation('6f1d2c3b4a59'),
        77,
        {'partitions': SUMMARY},
        {DaemonId(f'entry-{number:02d}'): 3 for number in range(27)},
    ),
    'service_loads': ServiceLoads(
        {
            ServiceName(f'service-{number}'): ServiceLoad(3, 0)
            for number in range(4)
        },
    ),
    'forward_request': ForwardRequest(
        ServiceRequest(
            ServiceName('rugdesk'),
            RequestId('r-1'),
            b'x' * 500,
            (('content-type', 'application/json'),),
        ),
    ),
}
PLACED: Final = TaskPlaced(
    TaskId('job-1/0'),
    Attempt(1),
    WorkerId('10.0.0.1:7000'),
    Incarnation('w1'),
    Resources(1000, 512, 0),
    1_700_000_000_000,
)


def _message_round(message: Any) -> None:
    name, fields = encode_message(message)
    decode_message(name, unpackb(packb(fields)))


def _record_round(record: Any) -> None:
    decode_record(unpackb(packb(encode_record(record))))


def _measure(run_round: Any, subject: Any) -> float:
    fastest_us = float('inf')
    for _ in range(REPEATS):
        started_ns = time.process_time_ns()
        for _ in range(ROUNDS):
            run_round(subject)
        spent_ns = time.process_time_ns() - started_ns
        fastest_us = min(fastest_us, spent_ns * US_PER_NS / ROUNDS)
    return fastest_us


@BENCHMARKS.register('codec')
def run() -> list[Figure]:
    """Measures the fastest of several repeats of encoding and decoding."""
    limit_us = CONTROL_US_PER_S * CONTROL_PART / HEARTBEATS_PER_S
    figures = []
    for name, message in MESSAGES.items():
        bound = at_most(limit_us) if name == 'heartbeat' else None
        spent_us = _measure(_message_round, message)
        figures.append(Figure(f'codec.{name}_us', spent_us, bound))
    spent_us = _measure(_record_round, PLACED)
    figures.append(Figure('codec.task_placed_us', spent_us))
    return figures
