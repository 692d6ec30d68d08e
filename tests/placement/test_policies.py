import pytest

from radishlift.config.document import ConfigDocument, Department, Team
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion, DepartmentName, TeamName
from radishlift.placement.jobs import JobKind, Priority, Resources, TaskState
from radishlift.placement.policies import POLICIES
from tests.placement.builders import (
    find_only_start,
    find_starts,
    make_engine,
    make_job,
    make_worker,
)

SMALL = Resources(4_000, 8_000)
HALF = Resources(2_000, 4_000)


def make_document(**departments: Department) -> ConfigDocument:
    return ConfigDocument(
        ConfigVersion(1),
        {
            DepartmentName(name): department
            for name, department in departments.items()
        },
        {TeamName('wash'): Team('rugs', cpu_milli=2_000)},
    )


def started_ids(records):
    return [start.task_id for start in find_starts(records)]


@pytest.mark.parametrize('name', POLICIES.names())
def test_every_policy_fills_and_refills(name):
    """Guards against a policy that leaves queued work unplaced."""
    state, engine = make_engine(*(make_worker(n, SMALL) for n in range(3)))
    engine.apply_config(make_document(rugs=Department(policy=name)))
    for number in range(20):
        demand = Resources(1_000 * (1 + number % 4), 1_000)
        engine.accept(make_job(f'j{number}', demand=demand, team='t'), number)
    done = 0
    for now_ms in range(100):
        for start in find_starts(engine.tick(now_ms)):
            engine.observe_task_end(
                start.task_id,
                start.attempt,
                TaskState.finished,
            )
            done += 1
    assert done == 20
    assert sorted(state.tables.workers.free_cpu) == [4_000, 4_000, 4_000]


def test_work_is_placed_in_order_of_priority():
    """Guards against high work that waits behind normal work."""
    _, engine = make_engine(make_worker(1, SMALL))
    for number, priority in enumerate(reversed(Priority)):
        job = make_job(f'{priority.value}', demand=SMALL, priority=priority)
        engine.accept(job, number)
    order = []
    for now_ms in range(4):
        start = find_only_start(engine.tick(now_ms))
        order.append(start.task_id.split('/')[0])
        engine.observe_task_end(
            start.task_id, start.attempt, TaskState.finished
        )
    assert order == ['urgent', 'high', 'normal', 'low']


def test_quota_blocks_only_its_team():
    _, engine = make_engine(make_worker(1))
    engine.apply_config(make_document())
    engine.accept(make_job(task_count=3), 0)
    engine.accept(make_job('j2', team='other'), 0)
    starts = find_starts(engine.tick(0))
    assert len(starts) == 3
    ended = starts[0]
    engine.observe_task_end(ended.task_id, ended.attempt, TaskState.finished)
    assert started_ids(engine.tick(1)) == ['j1/2']


def test_departments_share_by_weight():
    """Guards against a department that uses all of a shared cell."""
    _, engine = make_engine(make_worker(1))
    engine.apply_config(
        make_document(rugs=Department(share_weight=2), kits=Department()),
    )
    demand = Resources(1_000, 1_000)
    for name in ('rugs', 'kits'):
        job = make_job(name, department=name, team=name, task_count=60)
        engine.accept(make_job(**copied_fields(job), demand=demand), 0)
    counts = {'rugs': 0, 'kits': 0}
    for task_id in started_ids(engine.tick(0)):
        counts[task_id.split('/')[0]] += 1
    assert counts == {'rugs': 20, 'kits': 10}


def copied_fields(job):
    names = ('job_id', 'department', 'team', 'task_count')
    return {name: getattr(job, name) for name in names}


@pytest.mark.parametrize('kind', [JobKind.batch, JobKind.gang])
def test_ageing_bounds_waiting(kind):
    """Guards against a large job that small jobs starve.

    The bound is `max_wait_ms` plus the declared run time of the tasks that
    then run, as long as urgent and high work leave enough capacity.
    """
    max_wait_ms, run_time_ms = 1_000, 50
    _, engine = make_engine(make_worker(1, SMALL))
    engine.apply_config(make_document(rugs=Department(max_wait_ms=max_wait_ms)))
    engine.accept(make_job('big', demand=SMALL, team='t', kind=kind), 0)
    ends = {}
    for now_ms in range(0, 3_000, 10):
        small = make_job(
            f's{now_ms}',
            demand=HALF,
            team='t',
            run_time_ms=run_time_ms,
            priority=Priority.normal,
        )
        engine.accept(small, now_ms)
        for start in ends.pop(now_ms, ()):
            engine.observe_task_end(
                start.task_id,
                start.attempt,
                TaskState.finished,
            )
        for start in find_starts(engine.tick(now_ms)):
            if start.task_id == 'big/0':
                assert now_ms <= max_wait_ms + run_time_ms
                return
            ends.setdefault(now_ms + run_time_ms, []).append(start)
    pytest.fail('the large job never started')


@pytest.mark.parametrize(
    ('demand', 'dimension'),
    [
        (Resources(9_000, 1), 'cpu_milli'),
        (Resources(1, 9_000), 'memory_mb'),
        (Resources(1, 1, 1), 'accelerators_count'),
    ],
)
def test_impossible_job_is_refused_with_its_dimension(demand, dimension):
    """Guards against a job that is accepted but can never start."""
    _, engine = make_engine(make_worker(1, SMALL))
    refused = engine.accept(make_job(demand=demand), 0)
    assert isinstance(refused, Failure)
    assert refused.kind is ErrorKind.never_fits
    assert dimension in refused.reason
    engine.observe_worker_sizes([Resources(9_000, 9_000, 1)])
    assert not isinstance(engine.accept(make_job(demand=demand), 0), Failure)


def test_job_over_the_whole_quota_is_refused():
    _, engine = make_engine(make_worker(1))
    engine.apply_config(make_document())
    refused = engine.accept(make_job(demand=Resources(3_000, 1)), 0)
    assert isinstance(refused, Failure)
    assert 'quota of team wash has too little cpu_milli' in refused.reason
