"""Tests of the time limits of calls to the store."""

from itertools import repeat

from radishlift.cell.answer_times import AnswerTimes
from radishlift.cell.settings import CellSettings

SETTINGS = CellSettings(min_answer_limit_ms=150, max_answer_limit_ms=1500)


def make_times(*answers_ms):
    times = AnswerTimes(SETTINGS)
    for took_ms in answers_ms:
        times.record_answer(0, took_ms)
    return times


def test_first_call_gets_the_longest_limit():
    """Guards against repeated first calls to a slow store."""
    assert make_times().limit_ms() == 1500


def test_lost_answer_is_noticed_soon_after_quick_answers():
    assert make_times(8, 12, 9, 10).limit_ms() == 150


def test_limit_exceeds_the_times_of_a_slow_store():
    """Guards against repeats of calls that would have been answered."""
    assert make_times(*repeat(10, 20), *repeat(600, 20)).limit_ms() > 600


def test_limit_grows_until_an_answer_comes():
    """Guards against ever more calls to a store that has become slow."""
    times = make_times(10, 10)
    limits_ms = []
    for number in range(1, 8):
        limits_ms.append(times.limit_ms())
        times.record_timeout(2000 * number, times.limit_ms())
    assert limits_ms == [150, 150, 150, 300, 600, 1200, 1500]
    times.record_answer(9000, 9010)
    assert times.limit_ms() == 150


def test_calls_of_the_same_time_count_once():
    """Guards against a long limit after a short loss of many answers."""
    times = make_times(10, 10)
    for number in range(30):
        times.record_timeout(1000 + number, 150)
    assert times.limit_ms() == 150


def test_lost_answers_do_not_lengthen_the_limit():
    """Guards against long waits while the store answers other calls."""
    times = make_times(10, 10)
    times.record_answer(1000, 1010)
    times.record_timeout(1000, 150)
    assert times.limit_ms() == 150
