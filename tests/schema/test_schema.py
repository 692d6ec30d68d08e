import copy
import json

import pytest

from radishlift.schema.compare import find_incompatibilities
from radishlift.schema.update import (
    SCHEMA_PATH,
    check_compatibility,
    current_schema_text,
)

COMMITTED = SCHEMA_PATH.read_text(encoding='utf-8')
LEVEL = 2
HEARTBEAT = ('message', 'heartbeat', 'fields')


def change_schema(path, value):
    schema = json.loads(COMMITTED)
    parent = schema
    for name in path[:-1]:
        parent = parent[name]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return schema


def test_this_version_can_share_a_cell_with_the_committed_one():
    """Guards against a change that older daemons can't read."""
    assert check_compatibility(COMMITTED, current_schema_text()) == []


def test_committed_schema_is_up_to_date():
    """Guards against changes that later comparisons would miss."""
    command = 'run python -m radishlift.schema.update'
    assert json.loads(current_schema_text()) == json.loads(COMMITTED), command


@pytest.mark.parametrize(
    ('path', 'value', 'message'),
    [
        ((*HEARTBEAT, 'counter'), None, 'field counter was removed'),
        (
            (*HEARTBEAT, 'counter', 'type'),
            'str',
            'field counter changed its type from int to str',
        ),
        (
            (*HEARTBEAT, 'added'),
            {'type': 'int'},
            'field added is new and has no default',
        ),
        (
            (*HEARTBEAT, 'heard'),
            {'type': 'dict[str, int]'},
            'field heard lost its default',
        ),
        (
            ('row', 'DaemonRow', 'fields', 'region', 'default'),
            'north',
            'field region changed its default',
        ),
        (('record', 'task_placed'), None, 'record task_placed: was removed'),
        (('record', 'task_placed', 'level'), 2, 'level changed from 1 to 2'),
        (('message', 'newer'), {'fields': {}}, 'needs a level above 1'),
        (
            ('message', 'newer'),
            {'fields': {}, 'level': LEVEL + 1},
            'above FORMAT_LEVEL 2',
        ),
        (
            ('type', 'placement.Priority', 'values'),
            ['urgent'],
            'was removed',
        ),
        (
            ('type', 'membership.DaemonState', 'values'),
            ['draining', 'paused', 'serving'],
            "new value 'paused'",
        ),
    ],
)
def test_incompatible_changes_are_reported(path, value, message):
    """Guards against a comparison that accepts an incompatible change."""
    changed = change_schema(path, value)
    errors = find_incompatibilities(json.loads(COMMITTED), changed, LEVEL)
    assert errors
    assert message in errors[0]


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        ((*HEARTBEAT, 'added'), {'type': 'int', 'default': 0}),
        ((*HEARTBEAT, 'counter', 'default'), 0),
        (('message', 'newer'), {'fields': {}, 'level': LEVEL}),
        (('record', 'newer'), {'fields': {}, 'level': LEVEL}),
        (('row', 'NewerRow'), {'fields': {'number': {'type': 'int'}}}),
    ],
)
def test_compatible_changes_are_allowed(path, value):
    """Guards against a comparison that rejects changes of normal upgrades."""
    changed = change_schema(path, value)
    known = json.loads(COMMITTED)
    before = copy.deepcopy(known)
    assert find_incompatibilities(known, changed, LEVEL) == []
    assert known == before
