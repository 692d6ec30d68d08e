"""Tests of the order of questions to the advice service."""

from radishlift.core.ids import JobId
from radishlift.steps.advice_queue import AdviceQueue
from radishlift.steps.asking import AdviceRequest
from radishlift.steps.ids import StepKey, TargetId
from radishlift.steps.settings import StepSettings

SETTINGS = StepSettings(long_question_ms=100, long_question_share=0.5)


def question(name, duration_ms=20, priority=0):
    key = StepKey(JobId(name), 0, 0)
    return AdviceRequest(key, (TargetId('t1'),), duration_ms, priority)


def queue(*questions):
    waiting = AdviceQueue(SETTINGS)
    for one in questions:
        waiting.add(one)
    return waiting


def taken(waiting, hosts_count=4, long_count=0):
    request = waiting.take(hosts_count, long_count)
    return None if request is None else request.key.job_id


def test_urgent_question_overtakes_earlier_ones():
    waiting = queue(question('a', priority=2), question('b', priority=0))
    assert taken(waiting) == 'b'
    assert taken(waiting) == 'a'


def test_equal_questions_keep_their_order():
    waiting = queue(question('a'), question('b'), question('c'))
    assert [taken(waiting) for _ in range(3)] == ['a', 'b', 'c']


def test_long_questions_leave_hosts_for_short_ones():
    waiting = queue(
        question('long', duration_ms=1000, priority=0),
        question('short', priority=2),
    )
    assert taken(waiting, long_count=2) == 'short'
    assert taken(waiting, long_count=2) is None
    assert taken(waiting, long_count=1) == 'long'


def test_single_host_takes_long_questions_too():
    waiting = queue(question('long', duration_ms=1000))
    assert taken(waiting, hosts_count=1) == 'long'
    assert not len(waiting)
