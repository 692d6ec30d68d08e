"""Tests that suspects keep targets and trials only while they may soon start.

Other steps are ready, so that they must not wait for one that can't start.
"""

import pytest

from radishlift.steps.ids import TargetId
from radishlift.steps.tickets import Ticket
from tests.only import only
from tests.steps.builders import ADVICE, core, job, key, step
from tests.steps.test_trials import TrialSetup, suspect

# Ready steps may wait this long while targets are idle.
MAX_IDLE_MS = 5000


def expire_tickets(setup):
    """Answers the only request with tickets that have expired."""
    request = only(setup.plan().advice_requests)
    tickets = [(target_id, Ticket('x', 1)) for target_id in request.target_ids]
    setup.tickets.store_answer(request, tickets)


def first_start_ms(setup, name):
    """Returns when the first task of a job is placed, None if it is not."""
    for now_ms in range(100, 30_000, 100):
        setup.answer(now_ms)
        if (name, 0) in setup.placed(now_ms=now_ms):
            return now_ms
        setup.send(now_ms)
    return None


@pytest.mark.parametrize(
    ('spec', 'targets_count'),
    [(step(), 1), (step(8, is_gang=True), 8)],
    ids=['task', 'gang'],
)
def test_suspect_whose_ticket_never_comes_gives_up_its_targets(
    spec, targets_count
):
    """Guards against idle targets that wait for the advice of a suspect."""
    setup = TrialSetup(*(1 for _ in range(targets_count)))
    setup.add(suspect(spec, advice=ADVICE))
    expire_tickets(setup)
    setup.add(job(job_id='b' * 16, priority=2))
    started_at_ms = first_start_ms(setup, 'b')
    assert started_at_ms is not None
    assert started_at_ms <= 100 + MAX_IDLE_MS


def test_suspects_with_tickets_start_while_others_wait_for_theirs():
    """Guards against a share of trials that nobody can use."""
    setup = TrialSetup(4, 4, 4, 4)
    setup.add(suspect(advice=ADVICE))
    expire_tickets(setup)
    setup.add(suspect(job_id='b' * 16, priority=2, crashes_count=2))
    started_at_ms = first_start_ms(setup, 'b')
    assert started_at_ms is not None
    assert started_at_ms <= 100 + MAX_IDLE_MS


def test_suspect_does_not_close_a_target_that_stays_full_for_long():
    """Guards against idle room beside a task that runs for minutes."""
    setup = TrialSetup(4)
    setup.target().allocate(key(9, job_id='d' * 16), 1, core(), 60_000)
    setup.send(0)
    setup.answer(400)
    setup.add(
        suspect(step(cores=4)),
        job(step(estimate_ms=90_000), job_id='b' * 16, priority=2),
    )
    assert set(setup.placed(now_ms=410)) == {('b', 0)}


class BusyTrials(TrialSetup):
    """Targets, on one of which a suspect of the highest rank is tried.

    Its target never answers, so that trials are never idle.
    """

    def __init__(self):
        super().__init__(*(4 for _ in range(8)))
        self.add(suspect(job_id='d' * 16, priority=0, crashes_count=2))
        self.placed()
        self.send(0)

    def add_other(self):
        self.add(suspect(job_id='b' * 16, priority=2, crashes_count=2))


def test_gang_without_tickets_does_not_stop_other_trials():
    """Guards against suspects that wait for the advice of a wide gang."""
    setup = BusyTrials()
    setup.add(suspect(step(6, cores=4, is_gang=True), advice=ADVICE))
    setup.placed()
    advice = setup.tickets.advice_for(key().step_key)
    for index in range(8):
        advice.allowed[TargetId(f't{index}')] = Ticket('x', 1)
    setup.add_other()
    assert ('b', 0) in setup.placed(now_ms=200)


def test_gang_whose_targets_stay_full_does_not_stop_other_trials():
    """Guards against suspects that wait for minutes behind a wide gang."""
    setup = BusyTrials()
    for index in range(3, 8):
        setup.target(index).allocate(
            key(index, job_id='e' * 16), 1, core(4), 60_000
        )
    setup.add(suspect(step(6, cores=4, is_gang=True)))
    setup.add_other()
    assert ('b', 0) in setup.placed(now_ms=200)


def test_gang_stops_other_trials_for_a_while_only():
    """Guards against suspects that wait for ever for a trial to end."""
    setup = BusyTrials()
    setup.add(suspect(step(8, cores=4, is_gang=True)))
    setup.add_other()
    assert not setup.placed(now_ms=200)
    # The task that is tried takes the first second.
    assert ('b', 0) in setup.placed(now_ms=1000 + MAX_IDLE_MS)
