"""Figures of keyed requests, and of an outage of the table service."""

import time
from statistics import median
from typing import Any, Final

from benchmarks.harness import Figure, at_least, at_most
from benchmarks.request_fleet import RequestFleet
from benchmarks.request_load import (
    answered,
    begin_offer,
    offer,
    offered,
    p99,
)
from radishlift.load.traffic import TRAFFIC, RequestKind
from tests.standins.request_checks import keys_that_ran_twice

# The length of the stated target.
OUTAGE_S: Final = 60
_BEFORE_S: Final = 3
_AFTER_S: Final = 3
_SETTLE_S: Final = 5
_PHASE_S: Final = 8
_LOAD: Final = 0.5
# Keyed requests besides idempotent ones at half of the capacity in the outage.
_OUTAGE_KEYED_LOAD: Final = 0.1
_PROBE_INTERVAL_S: Final = 0.2


def keyed_ratio(department: str) -> float:
    """Returns the part of keyed requests in the traffic of a department."""
    return sum(
        each.weight
        for each in TRAFFIC[department].requests
        if each.kind is RequestKind.keyed
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
    """Measures keyed requests in their part of the mix at half capacity.

    The latency is that of keyed probes, which take no time at an executor,
    above direct calls made just before.
    """
    direct = fleet.ask_first(do='idle', count=100)['direct']
    rows_before = fleet.journal_rows()
    replies = offer(
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
    count = answered(keyed) + answered(probes)
    twice = keys_that_ran_twice(fleet.record())
    prefix = f'requests_{name}_keyed'
    return [
        Figure(f'{prefix}_mix_ratio', fleet.mix.keyed_ratio),
        Figure(f'{prefix}_answered_ratio', answered(keyed) / offered(keyed)),
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
    """Measures an outage of the platform in the middle of a load.

    Idempotent requests are offered at half of the capacity, and keyed ones at
    a tenth, so that all run in time before and after the outage. Those
    refused as "not run" must not be in the executors' own records, and keys
    that were answered shortly before the outage must give the same answer
    after it.
    """
    seconds = _BEFORE_S + OUTAGE_S + _AFTER_S
    load = _LOAD + _OUTAGE_KEYED_LOAD
    ratio = _OUTAGE_KEYED_LOAD / load
    begin_offer(fleet, load, seconds, idempotent=True, keyed_ratio=ratio)
    time.sleep(_BEFORE_S)
    fleet.set_platform('down')
    time.sleep(OUTAGE_S)
    fleet.set_platform('none')
    replies = fleet.collect()
    time.sleep(_SETTLE_S)
    keyed = [reply['keyed'] for reply in replies]
    executions = fleet.record()
    ran = {each.key for each in executions if each.key}
    refused = [key for reply in keyed for key in reply['not_run_keys']]
    unknown = sum(reply['outcomes'].get('unknown', 0) for reply in keyed)
    repeats = fleet.ask(do='repeat')
    same = sum(reply.get('same', 0) for reply in repeats)
    asked = sum(sum(reply.values()) for reply in repeats)
    prefix = f'requests_{OUTAGE_S}s_outage'
    return [
        Figure(
            f'{prefix}_idempotent_availability_ratio',
            answered(replies) / offered(replies),
            at_least(1),
        ),
        Figure(f'{prefix}_idempotent_count', offered(replies)),
        Figure(f'{prefix}_keyed_count', offered(keyed)),
        Figure(f'{prefix}_keyed_answered_count', answered(keyed)),
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
        Figure(f'{prefix}_keyed_answers_kept_ratio', same / asked, at_least(1)),
    ]


__all__ = (
    'OUTAGE_S',
    'keyed_idle_figures',
    'keyed_load_figures',
    'keyed_ratio',
    'outage_figures',
)
