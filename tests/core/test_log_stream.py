"""Tests of the rate limited log stream."""

import os

import pytest

from radishlift.core.clock import ManualClock
from radishlift.core.log_stream import BoundedLogStream


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def read(pipe) -> list[str]:
    return os.read(pipe[0], 1_000_000).decode().splitlines()


def test_lines_above_the_rate_are_counted(pipe):
    clock = ManualClock()
    stream = BoundedLogStream(pipe[1], 3, clock)
    for number in range(5):
        stream.write(f'line {number}\n')
    clock.advance(1000)
    stream.write('later\n')
    assert read(pipe) == [
        'line 0',
        'line 1',
        'line 2',
        'event=logs_dropped count=2',
        'later',
    ]
    assert stream.dropped_count == 2


def test_full_pipe_does_not_block_the_writer(pipe):
    clock = ManualClock()
    stream = BoundedLogStream(pipe[1], 1_000_000, clock)
    for _ in range(200):
        stream.write('x' * 4095 + '\n')
    assert stream.dropped_count > 0
    read(pipe)
    stream.write('after\n')
    assert read(pipe)[-2:] == [
        f'event=logs_dropped count={stream.dropped_count}',
        'after',
    ]
