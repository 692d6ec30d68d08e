"""Time to find the queue and the key of a call in a large configuration.

Issue 42 allows 20 us to look a key up. A configuration of 1,400 queues and 20
workspaces must not occupy a small host, of 0.387 core, for a tenth of a second
when it is decoded.
"""

import time
from collections.abc import Callable
from typing import Any, Final

from benchmarks.harness import BENCHMARKS, Figure, at_most
from radishlift.access.freshness import ConfigFreshness
from radishlift.access.gate import Caller, KeyGate
from radishlift.access.settings import AccessSettings
from radishlift.cell.queues import QueueConfig
from radishlift.core.clock import ManualClock
from radishlift.platform.documents import decode_config

QUEUES_COUNT: Final = 1400
WORKSPACES_COUNT: Final = 20
REPEATS: Final = 5
ROUNDS: Final = 3000
LOOK_UP_US: Final = 20
DECODE_US: Final = 38_700
NS_IN_US: Final = 1000


def _plain_config() -> dict[str, Any]:
    routes = [
        {
            'name': f'queue-{number}',
            'host': 'jobs.example',
            'pathPrefix': f'/queue-{number}/',
            'service': 'workers',
            'priority': 1,
            'attempts': 3,
            'stretch': 2.2,
            'targetDurationMs': 1000,
            'public': False,
        }
        for number in range(QUEUES_COUNT)
    ]
    tenants = [
        {'name': f'w{number}', 'apiKeys': [f'key-{number:020}'], 'weight': 1}
        for number in range(WORKSPACES_COUNT)
    ]
    return {
        'version': 1,
        'routes': routes,
        'tenants': tenants,
        'limits': {'maxBodyBytes': 65_536},
    }


def _measure_us(work: Callable[[], object], rounds: int) -> float:
    fastest_ns = float('inf')
    for _ in range(REPEATS):
        started_ns = time.process_time_ns()
        for _ in range(rounds):
            work()
        spent_ns = time.process_time_ns() - started_ns
        fastest_ns = min(fastest_ns, spent_ns / rounds)
    return fastest_ns / NS_IN_US


@BENCHMARKS.register('access')
def run() -> list[Figure]:
    """Measures decoding, and the look-ups of each call."""
    plain = _plain_config()
    config = decode_config(plain)
    if not isinstance(config, QueueConfig):
        raise TypeError(config.reason)
    clock = ManualClock()
    freshness = ConfigFreshness(clock)
    freshness.confirm(clock.monotonic_ms())
    gate = KeyGate(freshness, AccessSettings(5000, 3000))
    authorizations = (f'Bearer key-{WORKSPACES_COUNT - 1:020}',)
    path = f'/queue-{QUEUES_COUNT - 1}/0123456789abcdef'

    def admit() -> object:
        return gate.admit(authorizations, config.find_workspace)

    if not isinstance(admit(), Caller):
        raise TypeError('the key is not admitted')
    return [
        Figure(
            'access.decode_us',
            _measure_us(lambda: decode_config(plain), 1),
            at_most(DECODE_US),
        ),
        Figure(
            'access.find_queue_us',
            _measure_us(lambda: config.find('jobs.example', path), ROUNDS),
            at_most(LOOK_UP_US),
        ),
        Figure(
            'access.admit_us', _measure_us(admit, ROUNDS), at_most(LOOK_UP_US)
        ),
    ]
