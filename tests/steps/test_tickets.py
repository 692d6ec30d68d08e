"""Tests of the answers of the advice service."""

import pytest

from radishlift.steps.advice_requests import AdviceRequest
from radishlift.steps.ids import QueueName, StepKey, TargetId
from radishlift.steps.tickets import Ticket, TicketTable

KEY = StepKey('a' * 16, 0, 0)
QUEUE = QueueName('batch')


def make_request(*target_ids):
    return AdviceRequest(KEY, target_ids, 100, 1, QUEUE)


def make_table(*requests):
    table = TicketTable()
    table.advice_for(KEY)
    for request in requests:
        table.start_request(request)
    return table


def test_targets_of_a_failed_request_are_requested_again():
    """Guards against targets that a step never learns about."""
    first, second = make_request('t1', 't2'), make_request('t3')
    table = make_table(first, second)
    table.store_answer(first, [(TargetId('t1'), Ticket('x', 900))])
    renewal = make_request('t1')
    table.start_request(renewal)
    table.fail_request(renewal, retry_at_ms=300)
    table.fail_request(second, retry_at_ms=400)
    advice = table.advice_for(KEY)
    assert advice.requested == {'t1', 't2'}
    assert not advice.open
    assert not advice.open_requests_count
    assert advice.retry_at_ms == 400


def test_tickets_in_open_requests_do_not_count_as_expiring():
    """Guards against a renewal in each tick until the first is answered."""
    request = make_request('t1', 't2')
    table = make_table(request)
    ids = (TargetId('t1'), TargetId('t2'))
    table.store_answer(
        request, [(target_id, Ticket('x', 500)) for target_id in ids]
    )
    advice = table.advice_for(KEY)
    assert advice.list_expiring(ids, 400) == []
    assert advice.list_expiring(ids, 600) == ['t1', 't2']
    table.start_request(make_request('t1'))
    assert advice.list_expiring(ids, 600) == ['t2']


def test_answer_for_an_ended_step_is_dropped():
    """Guards against memory that grows with each cancelled job."""
    request = make_request('t1')
    table = make_table(request)
    table.remove_step(KEY)
    table.store_answer(request, [(TargetId('t1'), Ticket('x', 500))])
    assert not table.advice_for(KEY).allowed


def test_allowed_share_follows_the_answers_of_its_queue():
    """Guards against far too few or too many requests for gangs."""
    other = QueueName('other')
    initial_share = make_table().allowed_share(other)
    for _ in range(20):
        request = make_request('t1', 't2', 't3', 't4')
        table = make_table(request)
        table.store_answer(request, [(TargetId('t1'), Ticket('x', 500))])
    assert table.allowed_share(QUEUE) == pytest.approx(1 / 4)
    assert table.allowed_share(other) == pytest.approx(initial_share)


def test_ended_steps_leave_nothing_behind():
    """Guards against memory that grows with each cancelled job."""
    request = make_request('t1')
    table = make_table(request)
    table.remove_step(KEY)
    table.withdraw_request(request)
    table.expire_ticket(KEY, TargetId('t1'))
    assert not len(table)
