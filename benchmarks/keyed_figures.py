"""Figures of keyed requests and of an outage of the platform."""

import time
from statistics import median
from typing import Any, Final

from benchmarks.harness import Figure, at_least, at_most
from benchmarks.request_fleet import RequestFleet
from benchmarks.request_load import (
    answered_count,
    offer_load,
    offered_count,
    p99,
    start_load,
)
from radishlift.load.traffic import TRAFFIC, RequestKind
from tests.standins.request_checks import keys_that_ran_twice

# The length of an outage in the stated target.
OUTAGE_S: Final = 60
_BEFORE_OUTAGE_S: Final = 3
_AFTER_OUTAGE_S: Final = 3
_SETTLE_S: Final = 5
_PHASE_S: Final = 8
_LOAD: Final = 0.5
# Load of keyed requests in the outage, in addition to that of idempotent
# requests.
_OUTAGE_KEYED_LOAD: Final = 0.1
_PROBE_INTERVAL_S: Final = 0.2


def keyed_ratio(department: str) -> float:
    """Returns the part of keyed requests in the traffic of a department."""
    return sum(
        traffic.weight
        for traffic in TRAFFIC[department].requests
        if traffic.kind is RequestKind.keyed
    )


def keyed_idle_figures(reply: dict[str, Any], name: str) -> list[Figure]:
    """Compares keyed requests with direct calls, one at a time."""
    added = median(reply['keyed']) - median(reply['direct'])
    tail = p99(reply['keyed']) - p99(reply['direct'])
    return [
        Figure(f'requests_{name}_keyed_idle_added_p50_ms', added),
        Figure(f'requests_{name}_keyed_idle_added_p99_ms', tail),
    ]


def keyed_load_figures(fleet: RequestFleet, name: str) -> list[Figure]:
    """Measures keyed requests at half of the capacity.

    Their part of the load is that in the mix. The latency is that of keyed
    probes, which take no time at an executor, minus that of direct calls made
    just before.
    """
    direct = fleet.command_first(do='idle', count=100)['direct']
    rows_before = fleet.journal_rows()
    replies = offer_load(
        fleet,
        _LOAD,
        _PHASE_S,
        keyed_ratio=fleet.mix.keyed_ratio,
        probe_interval_s=_PROBE_INTERVAL_S,
    )
    time.sleep(_SETTLE_S)
    rows = fleet.journal_rows() - rows_before
    keyed = [reply['keyed'] for reply in replies]
    probes = [reply['probes'] for reply in replies]
    latencies = [ms for probe in probes for ms in probe['latencies']]
    count = answered_count(keyed) + answered_count(probes)
    twice = keys_that_ran_twice(fleet.read_executions())
    prefix = f'requests_{name}_keyed'
    return [
        Figure(f'{prefix}_mix_ratio', fleet.mix.keyed_ratio),
        Figure(
            f'{prefix}_answered_ratio',
            answered_count(keyed) / offered_count(keyed),
        ),
        Figure(f'{prefix}_per_s', count / _PHASE_S),
        Figure(
            f'{prefix}_load_added_p50_ms', median(latencies) - median(direct)
        ),
        Figure(f'{prefix}_load_added_p99_ms', p99(latencies) - p99(direct)),
        Figure(f'{prefix}_journal_rows_per_request', rows / count),
        Figure(f'{prefix}_journal_rows_per_s', rows / _PHASE_S, at_most(300)),
        Figure(f'{prefix}_double_runs_count', len(twice), at_most(0)),
    ]


def outage_figures(fleet: RequestFleet) -> list[Figure]:
    """Measures an outage of the platform during a load.

    Idempotent requests are offered at half of the capacity and keyed requests
    at a tenth, so that all run in time before and after the outage. Requests
    refused as "not run" must not be among the executions that the executors
    recorded. Keys that were answered shortly before the outage must give the
    same answer after it.
    """
    seconds = _BEFORE_OUTAGE_S + OUTAGE_S + _AFTER_OUTAGE_S
    load = _LOAD + _OUTAGE_KEYED_LOAD
    ratio = _OUTAGE_KEYED_LOAD / load
    start_load(fleet, load, seconds, idempotent=True, keyed_ratio=ratio)
    time.sleep(_BEFORE_OUTAGE_S)
    fleet.set_platform('down')
    time.sleep(OUTAGE_S)
    fleet.set_platform('none')
    replies = fleet.read_replies()
    time.sleep(_SETTLE_S)
    keyed = [reply['keyed'] for reply in replies]
    executions = fleet.read_executions()
    ran = {execution.key for execution in executions if execution.key}
    refused = [key for reply in keyed for key in reply['not_run_keys']]
    unknown = sum(reply['outcomes'].get('unknown', 0) for reply in keyed)
    repeats = fleet.command_all(do='repeat')
    same = sum(reply.get('same', 0) for reply in repeats)
    repeats_count = sum(sum(reply.values()) for reply in repeats)
    prefix = f'requests_{OUTAGE_S}s_outage'
    return [
        Figure(
            f'{prefix}_idempotent_availability_ratio',
            answered_count(replies) / offered_count(replies),
            at_least(1),
        ),
        Figure(f'{prefix}_idempotent_count', offered_count(replies)),
        Figure(f'{prefix}_keyed_count', offered_count(keyed)),
        Figure(f'{prefix}_keyed_answered_count', answered_count(keyed)),
        Figure(f'{prefix}_keyed_not_run_count', len(refused)),
        Figure(f'{prefix}_keyed_unknown_count', unknown, at_most(0)),
        Figure(
            f'{prefix}_keyed_false_not_run_count',
            sum(key in ran for key in refused),
            at_most(0),
        ),
        Figure(
            f'{prefix}_keyed_double_runs_count',
            len(keys_that_ran_twice(executions)),
            at_most(0),
        ),
        Figure(
            f'{prefix}_keyed_answers_kept_ratio',
            same / repeats_count,
            at_least(1),
        ),
    ]


__all__ = (
    'OUTAGE_S',
    'keyed_idle_figures',
    'keyed_load_figures',
    'keyed_ratio',
    'outage_figures',
)
