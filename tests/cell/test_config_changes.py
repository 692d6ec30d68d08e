"""Tests of the differences between two configurations."""

from dataclasses import replace

from radishlift.cell.config_findings import Severity
from radishlift.cell.config_review import review
from tests.cell.test_config_review import entries, queue, workspace
from tests.only import only
from tests.steps.builders import ADVICE


def test_differences_name_what_callers_see():
    before = entries(
        queue(advice=ADVICE),
        queue('gone', '/gone/'),
        workspaces=(
            workspace('a', ('k', 'old'), cpu_millicores=9, memory_mb=5),
            workspace('b', ('kept',)),
            workspace('gone', ('x', 'y')),
        ),
    )
    after = entries(
        queue(advice=replace(ADVICE, valid_ms=900), priority=1),
        queue('new', '/new/'),
        version=3,
        workspaces=(
            workspace('a', ('k', 'new'), gpus_count=2, memory_mb=4),
            workspace('b', ('kept',), weight=3),
            workspace('new', ('z',)),
        ),
        max_body_bytes=10,
    )
    found = [
        (finding.kind.value, finding.place, finding.text)
        for finding in review(after, before)
    ]
    a, b, gone, new = (
        f'workspace {name!r}' for name in ('a', 'b', 'gone', 'new')
    )
    assert found == [
        ('removed', "queue 'gone'", 'removed'),
        ('added', "queue 'new'", 'added'),
        ('changed', "queue 'batch'", 'terms.priority 0 -> 1'),
        ('changed', "queue 'batch'", 'terms.advice.valid_ms 2000 -> 900'),
        ('removed', gone, 'removed'),
        ('added', new, 'added'),
        ('keys_ended', a, '1 of 2 keys end'),
        ('keys_added', a, '1 of 2 keys are new'),
        ('keys_ended', gone, '2 of 2 keys end'),
        ('keys_added', new, '1 of 1 keys are new'),
        ('changed', a, 'limit of cpu_millicores 9 -> none'),
        ('limit_lowered', a, 'limit of memory_mb 5 -> 4'),
        ('limit_lowered', a, 'limit of gpus_count none -> 2'),
        ('changed', b, 'weight 1 -> 3'),
        ('limit_lowered', 'max_body_bytes', '1000 -> 10'),
    ]


def test_version_that_daemons_ignore_is_an_error():
    found = only(review(entries(version=2), entries(version=2)))
    assert found.kind.severity is Severity.error
