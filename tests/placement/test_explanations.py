import pytest

from radishlift.config.document import ConfigDocument, Team
from radishlift.core.errors import Failure
from radishlift.core.ids import ConfigVersion, TaskId, TeamName
from radishlift.placement.explanations import (
    Explanation,
    ExplanationKind,
    explain_task,
)
from radishlift.placement.jobs import JobKind, Resources, TaskState
from radishlift.placement.records import (
    JobForgotten,
    JobHandedOff,
    WorkerQuarantined,
)
from radishlift.placement.settings import PlacementSettings
from tests.placement.builders import make_engine, make_job, make_worker

SMALL = Resources(4_000, 8_000)


def explain(engine, task_id, now_ms=5) -> Explanation:
    explanation = engine.explain(TaskId(task_id), now_ms)
    assert not isinstance(explanation, Failure)
    return explanation


def test_running_task_names_its_worker():
    state, engine = make_engine(make_worker(1, SMALL))
    engine.accept(make_job(), 0)
    engine.tick(0)
    explanation = explain_task(state, TaskId('j1/0'))
    assert isinstance(explanation, Explanation)
    assert explanation.kind is ExplanationKind.runs
    assert explanation.worker_id == make_worker(1).worker_id
    assert explanation.reserved == make_job().demand


@pytest.mark.parametrize(
    ('demand', 'dimension'),
    [
        (Resources(3_000, 100), 'cpu_milli'),
        (Resources(100, 7_000), 'memory_mb'),
    ],
)
def test_waiting_task_names_the_scarce_dimension(demand, dimension):
    """Guards against operators who add capacity in the wrong dimension."""
    _, engine = make_engine(make_worker(1, SMALL))
    engine.accept(make_job(demand=Resources(2_000, 4_000)), 0)
    engine.tick(0)
    engine.accept(make_job('next', demand=demand), 1)
    engine.tick(1)
    explanation = explain(engine, 'next/0')
    assert explanation.kind is ExplanationKind.waits_for_room
    assert explanation.dimension == dimension


def test_quota_gang_and_reservation_are_distinguished():
    """Guards against one vague reason for all waiting tasks."""
    _, engine = make_engine(make_worker(1, SMALL), make_worker(2, SMALL))
    teams = {TeamName('wash'): Team('rugs', cpu_milli=1_000)}
    engine.apply_config(ConfigDocument(ConfigVersion(1), teams=teams))
    engine.accept(make_job('first', task_count=2), 0)
    half = Resources(2_000, 4_000)
    gang = make_job(
        'gang',
        kind=JobKind.gang,
        team='t',
        demand=half,
        task_count=4,
    )
    engine.accept(gang, 0)
    engine.tick(0)
    engine.tick(1)
    late = make_job('late', team='t', demand=half, run_time_ms=9_000)
    engine.accept(late, 2)
    engine.tick(2)
    assert explain(engine, 'first/1').kind is ExplanationKind.waits_for_quota
    assert explain(engine, 'first/1').dimension == 'cpu_milli'
    assert explain(engine, 'gang/0').kind is ExplanationKind.waits_for_gang
    assert explain(engine, 'gang/0').reserved_start_ms == 1_000
    kind = explain(engine, 'late/0').kind
    assert kind is ExplanationKind.waits_for_reserved_capacity


def test_quarantine_is_named():
    state, engine = make_engine(make_worker(1, SMALL))
    worker = make_worker(1)
    state.apply(WorkerQuarantined(worker.worker_id, worker.incarnation, 'x'))
    engine.accept(make_job(kind=JobKind.service), 0)
    engine.tick(0)
    kind = explain(engine, 'j1/0').kind
    assert kind is ExplanationKind.waits_for_quarantined_worker


def test_jobs_that_cannot_start_soon_are_listed_and_handed_off():
    """Guards against jobs that wait while other partitions have capacity."""
    state, engine = make_engine(make_worker(1, SMALL))
    engine.observe_worker_sizes([Resources(9_000, 9_000)])
    engine.accept(make_job('big', demand=Resources(9_000, 1)), 0)
    engine.accept(make_job('first', demand=SMALL), 0)
    engine.tick(0)
    engine.accept(make_job('next', demand=SMALL), 1)
    engine.tick(1)
    assert [hand_off.job_id for hand_off in engine.list_hand_offs(2)] == ['big']
    late = [hand_off.job_id for hand_off in engine.list_hand_offs(5_000)]
    assert sorted(late) == ['big', 'next']
    state.apply(JobHandedOff('big', 'p2', 9))
    assert explain(engine, 'big/0').kind is ExplanationKind.handed_off
    late = [hand_off.job_id for hand_off in engine.list_hand_offs(5_000)]
    assert late == ['next']
    summary = engine.summarise_load()
    assert summary.queued_tasks_count == 1
    assert summary.free == Resources(0, 0)
    assert summary.largest == SMALL


def test_ended_jobs_are_removed_in_order():
    """Guards against tables that grow with each job that ever ran."""
    settings = PlacementSettings(remember_ended_count=2)
    state, engine = make_engine(make_worker(1, SMALL), settings=settings)
    forgotten = []
    for number in range(5):
        engine.accept(make_job(f'j{number}'), number)
        engine.tick(number)
        engine.observe_task_end(f'j{number}/0', 1, TaskState.finished)
        forgotten += [
            record.job_id
            for record in engine.tick(number)
            if isinstance(record, JobForgotten)
        ]
    assert forgotten == ['j0', 'j1', 'j2']
    assert len(state.tables.jobs.row_of) == 2
    assert explain(engine, 'j4/0').kind is ExplanationKind.ended
