"""Properties of random sequences of records and of calls to the engine."""

from dataclasses import dataclass
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from radishlift.core.ids import (
    Attempt,
    Incarnation,
    JobId,
    PartitionId,
    TaskId,
    TeamName,
    WorkerId,
)
from radishlift.placement.engine import PlacementEngine
from radishlift.placement.jobs import (
    JobKind,
    Priority,
    Resources,
    TaskState,
)
from radishlift.placement.learned_statistics import (
    HealthLearned,
    LearnedUsage,
    UsageLearned,
)
from radishlift.placement.partition_tables import RecordRefusedError
from radishlift.placement.records import (
    GangCommitted,
    GangReleased,
    JobAccepted,
    JobCancelled,
    JobForgotten,
    JobHandedOff,
    TaskEnded,
    TaskPlaced,
    TaskStopping,
    WorkerObserved,
    WorkerQuarantined,
    WorkerRemoved,
    WorkerReturned,
)
from radishlift.placement.state import PartitionState
from tests.placement.builders import make_job, make_worker
from tests.placement.gang_changes import list_gang_records, make_hold

FIXED = settings(derandomize=True, deadline=None, max_examples=600)
SMALL = Resources(4_000, 8_000)

numbers = st.integers(0, 2)
attempts = st.sampled_from([1, 1, 1, 2, 2, 3]).map(Attempt)
job_ids = numbers.map(lambda number: JobId(f'j{number}'))
task_ids = st.builds(
    lambda job, index: TaskId(f'{job}/{index}'), job_ids, numbers
)
incarnations = st.sampled_from(['i1', 'i1', 'i1', 'i2']).map(Incarnation)
worker_ids = numbers.map(lambda number: WorkerId(f'10.0.0.{number}:9000'))
demands = st.builds(Resources, st.integers(1, 4_000), st.integers(1, 8_000))
jobs = st.builds(
    make_job,
    job_ids,
    task_count=st.integers(1, 3),
    demand=demands,
    kind=st.sampled_from(JobKind),
    priority=st.sampled_from(Priority),
    max_attempts=st.integers(1, 3),
)
workers = st.builds(
    make_worker,
    numbers,
    st.just(SMALL),
    st.sampled_from(['i1', 'i2']),
)
ends = st.sampled_from(
    (
        TaskState.finished,
        TaskState.failed,
        TaskState.cancelled,
        TaskState.queued,
    ),
)
reasons = st.sampled_from(['failed', 'other'])

starts = st.builds(
    TaskPlaced,
    task_ids,
    attempts,
    worker_ids,
    incarnations,
    demands,
    st.just(1),
)


@dataclass(frozen=True)
class LiveChange:
    """A placeholder for a record about a live attempt, hold or gang part.

    Records with random ids rarely match one of those, so the record is made
    from the tables when it is applied.
    """

    number: int
    state: TaskState
    reason: str

    def resolve(self, state: PartitionState) -> list[Any]:
        tables = state.tables
        gangs = list_gang_records(tables, self.number, self.state)
        if gangs:
            return gangs[:1]
        live = sorted(
            (tables.tasks.task_id[row], tables.tasks.attempt[row])
            for rows in tables.workers.task_rows
            for row in rows or ()
        )
        if not live:
            return []
        task_id, attempt = live[self.number % len(live)]
        if self.number == 5:
            worker = make_worker(0, SMALL)
            later = Attempt(attempt + 1)
            place = (worker.worker_id, worker.incarnation, SMALL, 1)
            return [TaskPlaced(task_id, later, *place)]
        if self.number % 2:
            return [TaskStopping(task_id, attempt, True, self.reason)]
        return [TaskEnded(task_id, attempt, self.state, self.reason)]


PREFIX = [
    *(WorkerObserved(make_worker(number, SMALL)) for number in range(3)),
    *(
        JobAccepted(make_job(f'j{number}', task_count=3), 1)
        for number in (0, 1)
    ),
    # A part of a gang whose home is another partition.
    make_hold(
        make_job('j9', task_count=1),
        WorkerId('10.0.0.0:9000'),
        Incarnation('i1'),
        Resources(100, 100),
    ),
]


usages = st.builds(
    LearnedUsage,
    st.just(TeamName('wash')),
    st.sampled_from(['a', 'b']),
    numbers,
    numbers,
)
records = st.one_of(
    st.builds(JobAccepted, jobs, st.just(1)),
    st.builds(JobCancelled, job_ids),
    st.builds(JobForgotten, job_ids),
    st.builds(JobHandedOff, job_ids, st.just(PartitionId('p2'))),
    starts,
    starts,
    starts,
    starts,
    starts,
    starts,
    st.builds(make_hold, jobs, worker_ids, incarnations, demands),
    st.builds(GangCommitted, job_ids, st.just(1)),
    st.builds(GangReleased, job_ids, reasons),
    st.builds(TaskStopping, task_ids, attempts, st.booleans(), reasons),
    st.builds(TaskEnded, task_ids, attempts, ends, reasons),
    st.builds(LiveChange, st.integers(0, 9), ends, reasons),
    st.builds(LiveChange, st.integers(0, 9), ends, reasons),
    st.builds(LiveChange, st.integers(0, 9), ends, reasons),
    st.builds(LiveChange, st.integers(0, 9), ends, reasons),
    st.builds(WorkerObserved, workers),
    st.builds(WorkerRemoved, worker_ids, incarnations),
    st.builds(WorkerQuarantined, worker_ids, incarnations, reasons),
    st.builds(WorkerReturned, worker_ids),
    st.builds(UsageLearned, st.tuples(usages)),
    st.builds(HealthLearned, st.floats(1, 9), st.floats(0, 1)),
)
calls = st.one_of(
    st.tuples(st.just('accept'), jobs),
    st.tuples(st.just('cancel'), job_ids),
    st.tuples(st.just('observe_worker'), workers),
    st.tuples(st.just('observe_worker_loss'), worker_ids, incarnations),
    st.tuples(st.just('observe_task_end'), task_ids, attempts, ends),
    st.tuples(
        st.just('end_live'),
        st.builds(LiveChange, st.integers(0, 9), ends, reasons),
    ),
    st.tuples(st.just('tick')),
    st.tuples(st.just('tick')),
)


def check_capacity(state: PartitionState) -> None:
    """Checks that free and committed amounts add up to the capacity."""
    tables = state.tables
    startable = map(tables.jobs.startable_count, tables.jobs.row_of.values())
    assert tables.queued_count == sum(startable)
    for row in tables.workers.row_of.values():
        capacity = tables.workers.worker_info[row].capacity
        reserved = [
            tables.tasks.reserved[task]
            for task in tables.workers.task_rows[row]
        ]
        worker_id = tables.workers.worker_info[row].worker_id
        reserved += [
            hold.reserved
            for hold in tables.holds.values()
            for member in hold.members
            if member.worker_id == worker_id
        ]
        cpu_milli = sum(amount.cpu_milli for amount in reserved)
        memory_mb = sum(amount.memory_mb for amount in reserved)
        assert cpu_milli + tables.workers.free_cpu[row] == capacity.cpu_milli
        assert memory_mb + tables.workers.free_memory[row] == capacity.memory_mb
        assert cpu_milli <= capacity.cpu_milli
        assert memory_mb <= capacity.memory_mb


# Hypothesis also draws constants of all loaded modules, so which cases the
# random records reach depends on the collected tests. These records always
# reach the rare cases.
RARE = [
    JobAccepted(make_job('j2', kind=JobKind.gang, task_count=3), 1),
    LiveChange(9, TaskState.finished, 'other'),
    LiveChange(6, TaskState.queued, 'other'),
    LiveChange(6, TaskState.finished, 'other'),
    LiveChange(3, TaskState.finished, 'other'),
    LiveChange(0, TaskState.finished, 'other'),
    LiveChange(0, TaskState.finished, 'other'),
    TaskPlaced(
        TaskId('j1/0'),
        Attempt(1),
        WorkerId('10.0.0.0:9000'),
        Incarnation('i1'),
        Resources(1_000, 1_000),
        1,
    ),
    TaskPlaced(
        TaskId('j1/1'),
        Attempt(1),
        WorkerId('10.0.0.0:9000'),
        Incarnation('i1'),
        Resources(4_000, 1_000),
        1,
    ),
    LiveChange(5, TaskState.finished, 'other'),
]


def apply_random(sequence, cut, reached):
    """Applies records to tables and to tables restored from a snapshot."""
    live = PartitionState()
    applied: list[Any] = []
    snapshot = live.dump()
    whole = [*PREFIX, *sequence]
    for given_record in whole:
        record = given_record
        if isinstance(given_record, LiveChange):
            resolved = given_record.resolve(live)
            if not resolved:
                continue
            record = resolved[0]
        before = live.dump()
        try:
            live.apply(record)
        except RecordRefusedError as error:
            assert live.dump() == before
            reached.add(str(error))
            continue
        if live.dump() != before:
            reached.add(type(record))
        applied.append(record)
        check_capacity(live)
        if len(applied) == cut:
            snapshot = live.dump()
    is_cut = cut <= len(applied)
    restored = PartitionState()
    restored.load(snapshot)
    for record in applied[cut if is_cut else 0 :]:
        restored.apply(record)
    assert restored.dump() == live.dump()


def test_random_records_never_overcommit():
    """Guards against overcommitment and against replay that differs.

    The last assertions check that the sequences reach all record types.
    """
    reached: set[Any] = set()

    @FIXED
    @given(st.lists(records, min_size=20, max_size=80), st.integers(0, 80))
    @example(RARE, 9)
    def check(sequence, cut):
        apply_random(sequence, cut, reached)

    check()
    assert set(PartitionState.record_types) <= reached
    assert 'the worker would be overcommitted' in reached
    assert 'an earlier attempt has not ended' in reached


def run_random(sequence, reached):
    """Makes random calls and replays the records that the engine returns."""
    live, replayed = PartitionState(), PartitionState()
    engine = PlacementEngine(live, timer=float)
    first = [('observe_worker', record.worker) for record in PREFIX[:3]]
    called = [*first, *sequence, ('tick',)]
    for now_ms, (name, *arguments) in enumerate(called):
        made: Any = []
        if name == 'tick':
            made = engine.tick(now_ms)
        elif name == 'accept':
            made = [engine.accept(*arguments, now_ms)]
        elif name == 'end_live':
            for ended in arguments[0].resolve(live):
                if isinstance(ended, TaskEnded):
                    engine.observe_task_end(
                        ended.task_id,
                        ended.attempt,
                        ended.state,
                    )
        else:
            getattr(engine, name)(*arguments)
        for record in made:
            if type(record) in PartitionState.record_types:
                replayed.apply(record)
                reached.add(type(record))
        check_capacity(live)
        assert replayed.dump() == live.dump()


def test_engine_records_replay_to_the_same_state():
    """Guards against decisions that are missing from the journal."""
    reached: set[Any] = set()

    @FIXED
    @given(st.lists(calls, min_size=10, max_size=60))
    def check(sequence):
        run_random(sequence, reached)

    check()
    wanted = {TaskPlaced, TaskStopping, TaskEnded, JobCancelled, WorkerRemoved}
    assert wanted <= reached
