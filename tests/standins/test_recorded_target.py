"""Tests of the stand-in of a target that may be paused."""

import json
import time

from tests.standins.recorded_target import Record, RecordedTarget

LEASE_MS = 100
TASK = '0000000000000001.0.0.0'


def make_target(tmp_path):
    path = tmp_path / 'record.jsonl'
    target = RecordedTarget('i-1', Record(path))
    target.needs_ticket = False
    return target, path


async def start(target, duration_s):
    target.settle()
    await target.run_start(
        {
            'task': TASK,
            'attempt': 1,
            'spec': str(duration_s),
            'untilMs': target.clock_ms() + LEASE_MS,
        }
    )


def read_events(path):
    return [json.loads(line) for line in path.read_text().splitlines()]


async def test_lease_that_expires_in_a_pause_ends_runs_in_time(tmp_path):
    """Guards against a record in which a run lasts until the pause is over."""
    target, path = make_target(tmp_path)
    await start(target, duration_s=5)
    time.sleep(3 * LEASE_MS / 1000)  # noqa: ASYNC251
    target.settle()
    begun, ended = read_events(path)
    assert ended['how'] == 'lapsed'
    assert ended['at_s'] - begun['at_s'] < 2 * LEASE_MS / 1000


async def test_end_is_noted_only_before_the_lease_expires(tmp_path):
    target, path = make_target(tmp_path)
    await start(target, duration_s=0.01)
    time.sleep(3 * LEASE_MS / 1000)  # noqa: ASYNC251
    target.settle()
    await target.hold({'ackCursor': 1})
    assert [event['event'] for event in read_events(path)] == ['start', 'end']


async def test_end_is_noted_when_it_is_acknowledged(tmp_path):
    target, path = make_target(tmp_path)
    await start(target, duration_s=0)
    target.settle()
    await target.hold({'ackCursor': 1})
    assert read_events(path)[-1]['event'] == 'noted'
