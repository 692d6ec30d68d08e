"""Tests of decoding submitted jobs."""

import json

import pytest

from radishlift.cell.job_rows import dump_job, load_job
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import JobId
from radishlift.platform.submissions import decode_submission
from radishlift.steps.planner import Planner
from radishlift.steps.settings import StepSettings
from radishlift.steps.spec import Amounts
from radishlift.steps.targets import TargetTable
from radishlift.steps.tickets import TicketTable
from tests.platform.garbage import UNREADABLE, replace_fields
from tests.steps.builders import entry, terms

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


def test_no_field_of_a_job_ends_the_leader():
    """Guards against a job that is accepted and then ends each leader."""
    accepted_count = 0
    for text in replace_fields(BODY):
        spec = decode_submission(JobId('a' * 16), text.encode())
        if isinstance(spec, Failure):
            continue
        accepted_count += 1
        row = json.loads(json.dumps(dump_job(spec, terms(), 1000)))
        plan_once(load_job(row))
    assert accepted_count


def plan_once(run):
    """Places what is due of a job; raises if it can't be planned."""
    targets = TargetTable()
    labels = frozenset(('a', 'r1-3'))
    targets.update(entry('t1', cores=64, labels=labels))
    targets.update(entry('t2', capacity=Amounts(2**53, 2**53), labels=labels))
    targets.update(entry('t3', capacity=Amounts(), labels=labels))
    planner = Planner(targets, TicketTable(), StepSettings())
    planner.update_job(run)
    planner.plan(1000, 2000)


@pytest.mark.parametrize('body', UNREADABLE)
def test_unreadable_job_is_refused(body):
    failure = decode_submission(JobId('a' * 16), body)
    assert failure.kind is ErrorKind.invalid_input
