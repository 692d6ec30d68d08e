"""Tests of the order of requests to the advice service."""

from radishlift.core.ids import JobId
from radishlift.steps.advice_queue import AdviceQueue
from radishlift.steps.advice_requests import AdviceRequest, build_request
from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.settings import StepSettings
from tests.steps.builders import ADVICE, job, step

SETTINGS = StepSettings(long_question_ms=100, long_question_share=0.5)


def request(name, duration_ms=20, priority=0, due_at_ms=0):
    key = StepKey(JobId(name), 0, 0)
    return AdviceRequest(
        key, (TargetId('t1'),), duration_ms, priority, due_at_ms=due_at_ms
    )


def queue(*requests):
    waiting = AdviceQueue(SETTINGS)
    for item in requests:
        waiting.add(item)
    return waiting


def pop(waiting, hosts_count=4, long_count=0):
    popped = waiting.pop(hosts_count, long_count)
    return None if popped is None else popped.key.job_id


def test_urgent_request_comes_before_earlier_requests():
    waiting = queue(request('a', priority=2), request('b', priority=0))
    assert pop(waiting) == 'b'
    assert pop(waiting) == 'a'


def test_requests_of_equal_priority_keep_their_order():
    waiting = queue(request('a'), request('b'), request('c'))
    assert [pop(waiting) for _ in range(3)] == ['a', 'b', 'c']


def test_request_of_a_step_that_became_late_waits_for_useful_ones():
    """Guards against a backlog whose requests use all hosts."""
    ranks = [{}]
    waiting = AdviceQueue(SETTINGS, lambda: ranks[0])
    requests = [request('a'), request('b', priority=1), request('c')]
    for item in requests:
        waiting.add(item)
    assert pop(waiting) == 'a'
    ranks[0] = {item.key: rank for rank, item in enumerate(requests)}
    assert [pop(waiting), pop(waiting)] == ['b', 'c']


def test_long_requests_leave_hosts_for_short_requests():
    waiting = queue(
        request('long', duration_ms=1000, priority=0),
        request('short', priority=2),
    )
    assert pop(waiting, long_count=2) == 'short'
    assert pop(waiting, long_count=2) is None
    assert pop(waiting, long_count=1) == 'long'


def test_single_host_also_serves_long_requests():
    waiting = queue(request('long', duration_ms=1000))
    assert pop(waiting, hosts_count=1) == 'long'
    assert not len(waiting)


def test_long_requests_of_lower_priority_are_not_starved():
    """Guards against batches without tickets while gangs renew theirs."""
    waiting = queue(
        *(request(f'batch{number}', 400, 2) for number in range(2)),
        *(request(f'gang{number}', 400, 1) for number in range(9)),
    )
    served = [pop(waiting) for _ in range(4)]
    assert served == ['gang0', 'batch0', 'gang1', 'batch1']


def test_step_that_waits_longest_is_not_last_again_after_each_answer():
    """Guards against steps that lose their targets faster than they ask."""
    waiting = queue(
        *(request(f'late{number}', 400, 2, 1000) for number in range(3)),
        *(request(f'new{number}', 400, 1, 9000) for number in range(3)),
    )
    oldest = request('oldest', 400, 2, 10)
    for _ in range(3):
        # Its targets are replaced before it starts, so that it asks again.
        waiting.add(oldest)
        assert 'oldest' in {pop(waiting), pop(waiting)}


def test_request_carries_the_time_at_which_its_step_was_due():
    run = job(step(), accepted_at_ms=1234, advice=ADVICE)
    built = build_request(run, run.steps[0, 0], ADVICE, (TargetId('t1'),))
    assert built.due_at_ms == 1234
