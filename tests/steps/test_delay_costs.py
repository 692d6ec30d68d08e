"""Tests of the order of steps by the cost of their delay."""

from hypothesis import given, settings
from hypothesis import strategies as st

from radishlift.steps.delay_costs import DelayCosts, Usefulness
from radishlift.steps.settings import StepSettings
from tests.steps.builders import job, step

# Each job runs for 1000 ms and is of use for three times 1500 ms.
TERMS = {'stretch': 1.0, 'objective_ms': 500}
SETTINGS = StepSettings()


def make_job(number, *, accepted_at_ms=0, priority=1, tasks_count=1):
    return job(
        step(tasks_count, estimate_ms=1000),
        job_id=f'{number:016x}',
        accepted_at_ms=accepted_at_ms,
        priority=priority,
        **TERMS,
    )


def sort(jobs, wall_ms):
    costs = DelayCosts(SETTINGS)
    due = [(run, run.steps[0, 0]) for run in jobs]
    costs.sort(due, wall_ms)
    return [run for run, _ in due]


def test_step_past_use_gives_way_to_one_that_is_late_but_of_use():
    """Guards against a backlog that is served by age until all is useless."""
    late = make_job(1, accepted_at_ms=2000)
    past_use = make_job(2)
    assert sort([past_use, late], 4000) == [late, past_use]


def test_usefulness_ends_at_three_times_the_allowed_time():
    run = make_job(1)
    costs = DelayCosts(SETTINGS)
    found = [
        costs.classify(run, run.steps[0, 0], wall_ms)
        for wall_ms in (500, 501, 3500, 3501)
    ]
    assert found == [
        Usefulness.in_time,
        Usefulness.late,
        Usefulness.late,
        Usefulness.past_use,
    ]


def test_oldest_step_comes_first_after_the_longest_wait():
    """Guards against a step past use that waits for ever."""
    old = make_job(1, priority=9, tasks_count=50)
    newer = make_job(2, accepted_at_ms=1)
    urgent = make_job(3, accepted_at_ms=SETTINGS.max_wait_ms, priority=0)
    wall_ms = SETTINGS.max_wait_ms + 1
    assert sort([urgent, newer, old], wall_ms) == [old, urgent, newer]


@given(
    st.lists(
        st.tuples(st.integers(0, 8000), st.integers(0, 2), st.integers(1, 60)),
        min_size=2,
        max_size=12,
    ),
    st.integers(8000, 12_000),
)
@settings(max_examples=100, deadline=None)
def test_no_useful_urgent_step_follows_a_patient_one(fields, wall_ms):
    """Guards against a size that outweighs the priority of a queue."""
    jobs = [
        make_job(
            number,
            accepted_at_ms=accepted_at_ms,
            priority=priority,
            tasks_count=tasks_count,
        )
        for number, (accepted_at_ms, priority, tasks_count) in enumerate(fields)
    ]
    costs = DelayCosts(SETTINGS)
    keys = [
        (costs.classify(run, run.steps[0, 0], wall_ms), run.terms.priority)
        for run in sort(jobs, wall_ms)
    ]
    useful = [key for key in keys if key[0] is not Usefulness.past_use]
    assert useful == sorted(useful)
    assert useful == keys[: len(useful)]
