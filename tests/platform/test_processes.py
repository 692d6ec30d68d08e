"""Tests of the check of recorded runs."""

import pytest

from tests.platform.processes import Run, find_repeated


def make_run(started_s, ended_s, how='done', *, is_noted=False):
    run = Run('i-1', 1, started_s)
    run.end(ended_s, how)
    run.is_noted = is_noted
    return run


@pytest.mark.parametrize(
    ('earlier', 'is_repeated'),
    [
        (make_run(0, 3, 'stopped'), True),
        (make_run(0, 2, is_noted=True), True),
        (make_run(0, 2), False),
        (make_run(0, 2, 'lapsed'), False),
    ],
)
def test_repeated_task_is_found(earlier, is_repeated):
    later = make_run(2, 4)
    assert bool(list(find_repeated({'t': [later, earlier]}))) == is_repeated
