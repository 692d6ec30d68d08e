"""Generates the traffic mix of each department from a seed."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique
from random import Random
from types import MappingProxyType
from typing import Any, Final

from radishlift.core.ids import DepartmentName, ServiceName


@unique
class RequestKind(Enum):
    """Whether a request may run more than once."""

    idempotent = 'idempotent'
    keyed = 'keyed'


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; `weight` is its share of the traffic."""

    name: str
    kind: RequestKind
    weight: float
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs with the declared sizes of each job."""

    name: str
    kind: str
    weight: float
    task_count: int
    cpu_milli: int
    memory_mb: int
    run_time_ms: int
    priority: str


@dataclass(frozen=True, slots=True)
class DepartmentTraffic:
    """The request and job classes that a department sends."""

    department: DepartmentName
    service: ServiceName
    team: str
    requests: tuple[RequestClass, ...]
    jobs: tuple[JobClass, ...]


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request; `at_ms` counts from the start of the run."""

    at_ms: int
    service: ServiceName
    request_class: RequestClass
    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """A job; `at_ms` counts from the start of the run."""

    at_ms: int
    job_id: str
    body: dict[str, Any]


_KEYED: Final = RequestKind.keyed
_IDEMPOTENT: Final = RequestKind.idempotent

TRAFFIC: Final = MappingProxyType(
    {
        'rug_depot': DepartmentTraffic(
            department=DepartmentName('rug_depot'),
            service=ServiceName('rugdesk'),
            team='wash_floor',
            requests=(
                RequestClass('clinic_booking', _KEYED, 0.05, 4_000),
                RequestClass('booking', _KEYED, 0.2, 6_000),
                RequestClass('pickup_confirmation', _KEYED, 0.15, 6_000),
                RequestClass('wash_batch', _KEYED, 0.1, 6_000),
                RequestClass('driver_lookup', _IDEMPOTENT, 0.5, 3_000),
            ),
            jobs=(
                JobClass(
                    'route_plan', 'gang', 0.1, 4, 2_000, 4_000, 1_500, 'high'
                ),
                JobClass(
                    'wash_run', 'batch', 0.7, 3, 1_000, 2_000, 800, 'normal'
                ),
                JobClass(
                    'clinic_run', 'batch', 0.1, 1, 500, 1_000, 400, 'urgent'
                ),
                JobClass(
                    'stocktake', 'batch', 0.1, 6, 500, 1_000, 1_000, 'low'
                ),
            ),
        ),
        'school_kits': DepartmentTraffic(
            department=DepartmentName('school_kits'),
            service=ServiceName('kit-desk'),
            team='order_desk',
            requests=(
                RequestClass('price_check', _IDEMPOTENT, 0.6, 2_000),
                RequestClass('term_order', _KEYED, 0.25, 6_000),
                RequestClass('stock_recount', _KEYED, 0.15, 8_000),
            ),
            jobs=(
                JobClass(
                    'kit_packing', 'batch', 0.6, 4, 700, 1_200, 900, 'normal'
                ),
                JobClass(
                    'price_refresh', 'batch', 0.2, 1, 300, 500, 300, 'urgent'
                ),
                JobClass(
                    'term_close', 'gang', 0.1, 6, 1_000, 2_000, 1_200, 'high'
                ),
                JobClass('archive', 'batch', 0.1, 2, 500, 800, 1_500, 'low'),
            ),
        ),
    }
)


def arrival_times_ms(
    random: Random,
    rate_per_s: float,
    duration_ms: int,
) -> Iterator[int]:
    """Yields the times of Poisson arrivals within the duration."""
    now_ms = float(0)
    while rate_per_s > 0:
        now_ms += random.expovariate(rate_per_s) * 1000
        if now_ms >= duration_ms:
            return
        yield int(now_ms)


def plan_requests(
    traffic: DepartmentTraffic,
    rate_per_s: float,
    duration_ms: int,
    seed: int,
) -> list[PlannedRequest]:
    """Plans the requests of a run; the same seed gives the same plan."""
    random = Random(seed)
    weights = [request_class.weight for request_class in traffic.requests]
    planned: list[PlannedRequest] = []
    for at_ms in arrival_times_ms(random, rate_per_s, duration_ms):
        request_class = random.choices(traffic.requests, weights)[0]
        token = f'{traffic.service}-{seed}-{len(planned)}'
        body = json.dumps({'token': token, 'class': request_class.name})
        planned.append(
            PlannedRequest(
                at_ms,
                traffic.service,
                request_class,
                token,
                body.encode(),
            ),
        )
    return planned


def plan_jobs(
    traffic: DepartmentTraffic,
    rate_per_s: float,
    duration_ms: int,
    seed: int,
) -> list[PlannedJob]:
    """Plans the jobs of a run; the same seed gives the same plan."""
    random = Random(seed + 1)
    weights = [job_class.weight for job_class in traffic.jobs]
    planned: list[PlannedJob] = []
    for at_ms in arrival_times_ms(random, rate_per_s, duration_ms):
        job_class = random.choices(traffic.jobs, weights)[0]
        job_id = f'{traffic.department}-{seed}-{len(planned)}'
        body = _job_body(traffic, job_class, job_id)
        planned.append(PlannedJob(at_ms, job_id, body))
    return planned


def _job_body(
    traffic: DepartmentTraffic,
    job_class: JobClass,
    job_id: str,
) -> dict[str, Any]:
    return {
        'job_id': job_id,
        'department': traffic.department,
        'team': traffic.team,
        'name': job_class.name,
        'kind': job_class.kind,
        'task_count': job_class.task_count,
        'demand': {
            'cpu_milli': job_class.cpu_milli,
            'memory_mb': job_class.memory_mb,
            'accelerators_count': 0,
        },
        'run_time_ms': job_class.run_time_ms,
        'priority': job_class.priority,
        'max_attempts': 3,
    }


__all__ = (
    'TRAFFIC',
    'DepartmentTraffic',
    'JobClass',
    'PlannedJob',
    'PlannedRequest',
    'RequestClass',
    'RequestKind',
    'arrival_times_ms',
    'plan_jobs',
    'plan_requests',
)
