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


def sort(jobs, wall_ms, costs=None):
    due = [(run, run.steps[0, 0]) for run in jobs]
    (costs or DelayCosts(SETTINGS)).sort(due, wall_ms)
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


def test_step_that_waited_longest_comes_first_after_the_longest_wait():
    """Guards against a step past use that waits for ever."""
    costs = DelayCosts(SETTINGS)
    old = make_job(1, priority=9, tasks_count=50)
    newer = make_job(2, accepted_at_ms=1)
    assert sort([newer, old], 1, costs) == [newer, old]
    assert sort([newer, old], 2, costs) == [newer, old]
    urgent = make_job(3, accepted_at_ms=SETTINGS.max_wait_ms, priority=0)
    jobs = [urgent, newer, old]
    wall_ms = SETTINGS.max_wait_ms
    assert sort(jobs, wall_ms, costs) == [urgent, old, newer]
    assert sort(jobs, wall_ms + 1, costs) == [old, urgent, newer]


def test_step_that_fits_nowhere_keeps_its_turn_only_for_a_while():
    """Guards against an old step without a target that all others wait for."""
    costs = DelayCosts(SETTINGS)
    hopeless, other = make_job(1), make_job(2, priority=9)
    sort([hopeless], 0, costs)
    urgent = make_job(3, accepted_at_ms=SETTINGS.max_wait_ms, priority=0)
    jobs = [urgent, other, hopeless]
    sort(jobs, 1, costs)
    begins_ms = SETTINGS.max_wait_ms + 1
    ends_ms = begins_ms + SETTINGS.first_turn_ms
    assert sort(jobs, begins_ms, costs)[0] is hopeless
    assert sort(jobs, ends_ms - 1, costs)[0] is hopeless
    assert sort(jobs, ends_ms, costs)[0] is other


def test_task_of_an_old_job_that_waits_again_does_not_come_first():
    """Guards against retries and later steps of long jobs that pass all."""
    costs = DelayCosts(SETTINGS)
    old = make_job(1, priority=9)
    sort([old], 0, costs)
    costs.forget(old.steps[0, 0].key)
    wall_ms = SETTINGS.max_wait_ms * 10
    urgent = make_job(2, accepted_at_ms=wall_ms, priority=0)
    assert sort([old, urgent], wall_ms, costs) == [urgent, old]


def test_long_running_step_stays_of_use():
    """Guards against a restarted replica that waits behind every other step."""
    lasting = job(step(is_long_running=True), priority=1, **TERMS)
    past_use = make_job(2)
    wall_ms = 3_600_000
    assert sort([past_use, lasting], wall_ms) == [lasting, past_use]


def test_room_decides_between_steps_without_estimates():
    """Guards against a large step that comes first as its run is unknown."""
    large = job(step(50, estimate_ms=0), job_id='1' * 16, **TERMS)
    small = job(step(1, estimate_ms=0), job_id='2' * 16, **TERMS)
    assert sort([large, small], 0) == [small, large]


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
