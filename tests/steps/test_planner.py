"""Tests of one tick of decisions, under the loads that they answer."""

import pytest

from radishlift.steps.ids import TargetId
from radishlift.steps.planner import Planner
from radishlift.steps.runs import TaskState
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import TargetState, TargetTable
from radishlift.steps.tickets import Ticket, TicketBook
from tests.only import only
from tests.steps.builders import ADVICE, entry, job, key, step


class Cell:
    """A planner with targets of the same size."""

    def __init__(self, *cores: int, **settings) -> None:
        self.targets = TargetTable()
        for at, count in enumerate(cores):
            self.targets.update(entry(f't{at}', count))
        self.tickets = TicketBook()
        self.planner = Planner(
            self.targets, self.tickets, StepSettings(**settings)
        )

    def add(self, *jobs):
        for run in jobs:
            self.planner.refresh(run)

    def plan(self, now_ms=0, wall_ms=0):
        return self.planner.plan(now_ms, wall_ms)

    def started(self, **times):
        return [
            (run.spec.job_id[0], one.task.key.number)
            for run, one in self.plan(**times).placements
        ]


def test_urgent_queue_comes_first_when_room_is_scarce():
    cell = Cell(2)
    low = job(step(2), job_id='a' * 16, priority=2)
    urgent = job(step(1), job_id='b' * 16, priority=0)
    cell.add(low, urgent)
    assert cell.started() == [('b', 0), ('a', 0)]


def test_least_slack_comes_first_within_a_priority():
    cell = Cell(1)
    later = job(step(1), job_id='a' * 16, objective_ms=5000)
    sooner = job(step(1), job_id='b' * 16, objective_ms=500)
    cell.add(later, sooner)
    assert cell.started() == [('b', 0)]


def test_placed_tasks_hold_their_room():
    cell = Cell(2)
    cell.add(job(step(3)))
    assert len(cell.started()) == 2
    assert not cell.started()
    target = cell.targets.get(TargetId('t0'))
    assert target.release(key(0), 1)
    assert cell.started() == [('a', 2)]


@pytest.mark.parametrize(
    'change',
    [
        {'state': TargetState.draining},
        {'service': 'other'},
    ],
)
def test_no_task_goes_to_an_unsuitable_target(change):
    cell = Cell()
    cell.targets.update(entry('t0', 4, **change))
    cell.add(job())
    assert not cell.started()


@pytest.mark.parametrize(
    'field', ['is_listed', 'is_reachable', 'distrusted_until_ms']
)
def test_no_task_goes_to_a_doubtful_target(field):
    cell = Cell(4)
    value = 10 if field == 'distrusted_until_ms' else False
    setattr(cell.targets.get(TargetId('t0')), field, value)
    cell.add(job())
    assert not cell.started()


def test_label_is_required():
    cell = Cell(4)
    cell.add(job(step(1, required_label='gpu')))
    assert not cell.started()
    cell.targets.update(entry('t9', 4, labels=frozenset(('gpu',))))
    assert cell.started() == [('a', 0)]


def test_occurrence_waits_for_its_time():
    cell = Cell(4)
    run = job(accepted_at_ms=5000)
    cell.add(run)
    assert not cell.started(wall_ms=4999)
    assert cell.planner.next_due_ms(4999) == 5000
    assert cell.started(wall_ms=5000) == [('a', 0)]


def test_members_of_a_gang_share_an_attempt():
    cell = Cell(4)
    run = job(step(3, is_gang=True))
    run.task(key(1)).attempt = 4
    cell.add(run)
    cell.plan()
    assert {task.attempt for task in run.all_tasks()} == {5}


def test_waiting_gang_keeps_room_against_a_stream_of_small_work():
    cell = Cell(4, 4, 4, reserved_share=0.4)
    gang = job(step(1, cores=4, is_gang=True), priority=1)
    for target in cell.targets:
        target.book(key(9, job_id='f' * 16), 1, step(1, cores=2).amounts)
    small = [
        job(step(1), job_id=f'{number:x}' * 16, priority=2)
        for number in range(11, 15)
    ]
    cell.add(gang, *small)
    cell.plan()
    used = sorted(one.used.cpu_millicores for one in cell.targets)
    # One target is kept free of small work until the gang fits on it.
    assert used == [2000, 4000, 4000]


def test_gang_too_wide_for_the_cell_keeps_no_room():
    cell = Cell(2, 2)
    cell.add(
        job(step(9, is_gang=True), job_id='a' * 16, priority=0),
        job(step(4), job_id='b' * 16, priority=2),
    )
    assert len(cell.started()) == 4


def test_unadvised_step_asks_before_it_starts():
    cell = Cell(4, 4)
    run = job(step(1), advice=ADVICE)
    cell.add(run)
    plan = cell.plan()
    assert not plan.placements
    assert set(plan.questions[0].target_ids) == {'t0', 't1'}
    assert not cell.plan().questions
    tickets = [(TargetId('t1'), Ticket('x', 2000))]
    cell.tickets.learn(run.steps[0, 0].key, ('t0', 't1'), tickets)
    _, placement = only(cell.plan().placements)
    assert placement.target.entry.target_id == 't1'


def test_expired_ticket_is_asked_for_again_once_there_is_room():
    cell = Cell(1, 1)
    run = job(step(1), advice=ADVICE)
    step_key = run.steps[0, 0].key
    tickets = [(TargetId('t0'), Ticket('x', 1000))]
    cell.tickets.learn(step_key, ('t0', 't1'), tickets)
    cell.targets.get(TargetId('t0')).book(
        key(5, job_id='f' * 16), 1, step().amounts
    )
    cell.add(run)
    assert not cell.plan(now_ms=3000).questions
    cell.targets.get(TargetId('t0')).release(key(5, job_id='f' * 16), 1)
    question = only(cell.plan(now_ms=3000).questions)
    assert question.target_ids == ('t0',)


def test_failed_question_is_repeated_after_a_pause():
    cell = Cell(1)
    run = job(step(1), advice=ADVICE)
    cell.add(run)
    cell.plan()
    cell.tickets.fail(run.steps[0, 0].key, retry_at_ms=300)
    assert not cell.plan(now_ms=299).questions
    assert len(cell.plan(now_ms=300).questions) == 1


def test_ended_job_starts_nothing():
    cell = Cell(4)
    run = job()
    cell.add(run)
    run.state = type(run.state).cancelled
    cell.add(run)
    assert not cell.started()
    assert run.task(key()).state is TaskState.waiting
