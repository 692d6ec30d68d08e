import ast
from pathlib import Path

import pytest

from radishlift.core.events import EVENT_LEVELS

SOURCES = Path(__file__).parents[2] / 'src'


def logged_events() -> set[str]:
    """Returns the events that the source code logs."""
    calls = [
        node
        for path in SOURCES.rglob('*.py')
        for node in ast.walk(ast.parse(path.read_text(encoding='utf-8')))
        if isinstance(node, ast.Call)
        and getattr(node.func, 'id', '') == 'log_event'
    ]
    return {ast.literal_eval(call.args[0]) for call in calls}


def test_logged_events_are_those_with_a_level():
    """Guards against a logged event without a level, which raises KeyError."""
    assert logged_events() == EVENT_LEVELS.keys()


@pytest.mark.parametrize(
    'event',
    ['partition_taken_over', 'partition_lost', 'daemon_dead'],
)
def test_takeovers_are_logged_at_warning(event):
    """Guards against takeovers that operators can't see at WARNING."""
    assert EVENT_LEVELS[event] == 'WARNING'
