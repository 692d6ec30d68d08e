"""Tests of decoding submitted jobs."""

import json

import pytest

from radishlift.core.errors import Failure
from radishlift.core.ids import JobId
from radishlift.platform.submissions import decode_submission
from radishlift.steps.spec import Amounts

BODY = {
    'spec': 'text',
    'steps': [
        {'count': 4, 'cpu': 500, 'memMb': 256, 'dataRack': 'r1-3'},
        {
            'count': 2,
            'cpu': 2000,
            'gang': True,
            'sameRack': True,
            'dependsOn': [0],
            'checkpointing': True,
            'antiAffinity': 3,
            'requirements': 'a',
            'mayMiss': 1,
            'fills': True,
        },
    ],
    'repeats': 3,
    'startAtMs': 1000,
    'intervalMs': 500,
}


def decode(body):
    return decode_submission(JobId('a' * 16), json.dumps(body).encode())


def test_fields_are_decoded():
    spec = decode(BODY)
    first, second = spec.steps
    assert first.amounts == Amounts(500, 256)
    assert first.data_rack == 'r1-3'
    assert second.is_gang
    assert second.same_rack
    assert second.depends_on == (0,)
    assert second.max_per_target_count == 3
    assert second.required_label == 'a'
    assert second.allocated_amounts.cpu_millicores == 0
    assert (spec.repeats_count, spec.interval_ms) == (3, 500)


@pytest.mark.parametrize(
    'body',
    [
        [],
        {},
        {'steps': []},
        {'steps': [{}]},
        {'steps': [{'count': 0}]},
        {'steps': [{'count': 1, 'dependsOn': [0]}]},
        {'steps': [{'count': 1, 'dependsOn': [-1]}]},
        {'steps': [{'count': 1, 'cpu': '5'}]},
    ],
)
def test_malformed_jobs_are_refused(body):
    assert isinstance(decode(body), Failure)


def test_body_that_is_not_json_is_refused():
    assert isinstance(decode_submission(JobId('a'), b'{'), Failure)
