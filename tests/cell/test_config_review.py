"""Tests of the findings in a configuration."""

from dataclasses import replace

import pytest

from radishlift.access.keys import Workspace, hash_key
from radishlift.cell.config_findings import ConfigEntries, Severity
from radishlift.cell.config_review import review
from radishlift.cell.queues import Queue
from radishlift.steps.spec import AdviceTerms, Amounts
from radishlift.steps.workspaces import WorkspaceTerms
from tests.only import only
from tests.steps.builders import ADVICE, SERVICE, terms


def queue(name='batch', prefix='/q/', host='h.example', **fields):
    return Queue(replace(terms(**fields), queue=name), host, prefix)


def workspace(name='a', keys=('k',), weight=1, **limits):
    return Workspace(
        WorkspaceTerms(name, weight, Amounts(**limits)),
        frozenset(map(hash_key, keys)),
    )


def entries(*queues, version=2, workspaces=(), max_body_bytes=1000):
    return ConfigEntries(
        version,
        max_body_bytes,
        queues or (queue(advice=ADVICE, objective_ms=500),),
        workspaces,
        frozenset((SERVICE,)),
    )


def kinds(*reviewed):
    return [(found.kind.value, found.place) for found in review(*reviewed)]


def test_configuration_that_is_sound_has_no_findings():
    """Guards against warnings that operators learn to ignore."""
    sound = entries(
        queue(), queue('other', '/q/other/'), workspaces=(workspace(),)
    )
    assert not review(sound, replace(sound, version=1))
    assert not review(replace(sound, services=None))


@pytest.mark.parametrize(
    ('kind', 'change'),
    [
        ('hidden_queue', {'queues': (queue('other'), queue())}),
        ('unmatched_queue', {'queues': (queue(prefix='q/'),)}),
        ('unmatched_queue', {'queues': (queue(host='h.example:80'),)}),
        ('unknown_service', {'services': frozenset()}),
        ('no_attempts', {'queues': (queue(max_attempts=0),)}),
        (
            'short_objective',
            {'queues': (queue(stretch=0.1, objective_ms=50, advice=ADVICE),)},
        ),
        (
            'short_tickets',
            {'queues': (queue(advice=AdviceTerms(50, 1, 150)),)},
        ),
    ],
)
def test_queue_that_can_not_serve_its_callers_is_found(kind, change):
    reviewed = replace(entries(), **change)
    assert kinds(reviewed) == [(kind, "queue 'batch'")]
    assert only(review(reviewed)).kind.severity is Severity.warning


def test_workspaces_that_contradict_each_other_are_found():
    reviewed = entries(
        queue(),
        queue(prefix='/other/'),
        workspaces=(
            workspace('a', ('k', 'only-a')),
            workspace('b', ('k',)),
            workspace('a', ()),
        ),
    )
    assert kinds(reviewed) == [
        ('duplicate_workspace', "workspace 'a'"),
        ('shared_key', "workspace 'b'"),
        ('no_usable_key', "workspace 'a'"),
        ('duplicate_queue', "queue 'batch'"),
    ]
