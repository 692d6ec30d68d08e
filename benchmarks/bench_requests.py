"""Requests through 7 routers to 24 executors with 8 slots each.

The load is open loop. Capacity is computed from the slots and the mean run
time of the mix.
"""

import time
from statistics import median
from typing import Any, Final

from benchmarks.harness import (
    BENCHMARKS,
    Bound,
    Figure,
    at_least,
    at_most,
)
from benchmarks.keyed_figures import (
    keyed_idle_figures,
    keyed_load_figures,
    keyed_ratio,
    outage_figures,
)
from benchmarks.request_fleet import (
    EXECUTORS_COUNT,
    NODES_COUNT,
    SLOTS_COUNT,
    Mix,
    RequestFleet,
)
from benchmarks.request_load import (
    answered_count,
    offer_load,
    offered_count,
    p99,
)
from tests.standins.request_checks import Execution, peaks

LOAD_S: Final = 5
WARM_UP_S: Final = 4
IDLE_COUNT: Final = 300
SKEW_RATIO: Final = 4
CONNECTIONS_COUNT: Final = 60
LOADS: Final = (0.5, 1, 2, 3)

RUGDESK: Final = Mix(
    'rugdesk',
    22_000,
    {'booking': 0.7, 'clinic': 0.2, 'route': 0.1},
    {'booking': 300, 'clinic': 200, 'route': 500},
    ('clinic',),
    keyed_ratio('rug_depot'),
)
KIT_DESK: Final = Mix(
    'kit-desk',
    22_100,
    {'price': 0.7, 'recount': 0.2, 'order': 0.1},
    {'price': 150, 'recount': 300, 'order': 400},
    ('price',),
    keyed_ratio('school_kits'),
)


def hops_per_request(replies: list[dict[str, Any]]) -> float:
    return sum(reply['forwards'] for reply in replies) / offered_count(replies)


def utilisation(
    executions: list[Execution], from_ms: float, to_ms: float
) -> float:
    """Returns the used part of all slots in a window of time."""
    used_ms: float = 0
    for execution in executions:
        end_ms = (
            to_ms if execution.end_ms is None else min(execution.end_ms, to_ms)
        )
        used_ms += max(0, end_ms - max(execution.start_ms, from_ms))
    return used_ms / (EXECUTORS_COUNT * SLOTS_COUNT * (to_ms - from_ms))


def now_ms() -> float:
    return time.monotonic() * 1000


def idle_figures(fleet: RequestFleet, name: str) -> list[Figure]:
    """Measures the latency added to direct calls, one request at a time."""
    reply = fleet.command_first(do='idle', count=IDLE_COUNT)
    added = median(reply['routed']) - median(reply['direct'])
    tail = p99(reply['routed']) - p99(reply['direct'])
    return [
        Figure(f'requests_{name}_direct_p50_ms', median(reply['direct'])),
        Figure(f'requests_{name}_added_p50_ms', added),
        Figure(f'requests_{name}_added_p99_ms', tail),
        Figure(
            f'requests_{name}_idle_hops_per_request',
            # Each turn sends one request without a key and one with a key.
            reply['forwards'] / (2 * IDLE_COUNT),
        ),
        *keyed_idle_figures(reply, name),
    ]


def goodput_figures(
    fleet: RequestFleet, name: str, bound: Bound | None = None
) -> list[Figure]:
    """Measures answered requests per second at several loads."""
    figures = []
    rates = {}
    offer_load(fleet, 1, WARM_UP_S)
    for load in LOADS:
        from_ms = now_ms()
        replies = offer_load(fleet, load, LOAD_S)
        rates[load] = answered_count(replies) / LOAD_S
        window = (from_ms + 1000, from_ms + LOAD_S * 1000)
        used = utilisation(fleet.read_executions(), *window)
        prefix = f'requests_{name}_{load:g}x'
        figures += [
            Figure(f'{prefix}_goodput_per_s', rates[load]),
            Figure(f'{prefix}_slot_utilisation_ratio', used),
            Figure(f'{prefix}_hops_per_request', hops_per_request(replies)),
        ]
        if load == LOADS[-1]:
            figures += class_figures(replies, prefix)
    saturated = [rates[load] for load in LOADS if load >= 1]
    lowest_ratio = min(saturated) / rates[1]
    figures.append(
        Figure(
            f'requests_{name}_lowest_goodput_of_1x_ratio',
            lowest_ratio,
            bound,
        )
    )
    return figures


def class_figures(replies: list[dict[str, Any]], prefix: str) -> list[Figure]:
    """Measures the answered requests of each class at the highest load."""
    latencies: dict[str, list[float]] = {}
    for reply in replies:
        for name, class_latencies in reply['by_class'].items():
            latencies.setdefault(name, []).extend(class_latencies)
    rates = [
        Figure(f'{prefix}_{name}_answered_per_s', len(class_latencies) / LOAD_S)
        for name, class_latencies in sorted(latencies.items())
    ]
    return rates + [
        Figure(f'{prefix}_{name}_latency_p99_ms', p99(class_latencies))
        for name, class_latencies in sorted(latencies.items())
        if len(class_latencies) > 1
    ]


def skew_figures(fleet: RequestFleet) -> list[Figure]:
    """Measures the use of slots while a few nodes get most requests."""
    writes_before = fleet.write_count()
    offer_load(fleet, 1.5, WARM_UP_S, SKEW_RATIO)
    from_ms = now_ms()
    replies = offer_load(fleet, 1.5, LOAD_S, SKEW_RATIO)
    window = (from_ms + 1000, from_ms + LOAD_S * 1000)
    used = utilisation(fleet.read_executions(), *window)
    writes = fleet.write_count() - writes_before
    return [
        Figure('requests_skewed_slot_utilisation_ratio', used, at_least(0.95)),
        Figure('requests_skewed_hops_per_request', hops_per_request(replies)),
        Figure(
            'requests_skewed_slot_writes_per_s',
            writes / (WARM_UP_S + LOAD_S),
        ),
    ]


def peak_figures(fleet: RequestFleet, name: str) -> list[Figure]:
    """Returns the most requests and connections at one executor."""
    highest = max(peaks(fleet.read_executions()).values())
    prefix = f'requests_{name}_peak'
    return [
        Figure(f'{prefix}_per_executor_count', highest, at_most(SLOTS_COUNT)),
        Figure(
            f'{prefix}_connections_per_executor_count',
            fleet.peak_connections(),
            at_most(CONNECTIONS_COUNT),
        ),
    ]


@BENCHMARKS.register('requests')
def bench_requests() -> list[Figure]:
    figures = []
    for mix in (RUGDESK, KIT_DESK):
        with RequestFleet(mix) as fleet:
            figures += idle_figures(fleet, mix.service)
            figures += goodput_figures(fleet, mix.service, at_least(0.95))
            figures += keyed_load_figures(fleet, mix.service)
            if mix is RUGDESK:
                figures += skew_figures(fleet)
                figures += outage_figures(fleet)
            figures += peak_figures(fleet, mix.service)
    return figures


@BENCHMARKS.register('requests_baselines')
def bench_baselines() -> list[Figure]:
    with RequestFleet(RUGDESK) as fleet:
        hop_ratio = (NODES_COUNT - 1) / NODES_COUNT
        fleet.command_all(do='one_owner', hop_ratio=hop_ratio)
        figures = idle_figures(fleet, 'one_owner')
    with RequestFleet(RUGDESK) as fleet:
        fleet.command_all(do='baseline')
        figures += goodput_figures(fleet, 'unshed')
    return figures
