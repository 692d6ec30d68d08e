import pytest
from aiohttp import ClientError, ClientSession

from tests.standins.executor import ExecutorStandIn, Mode, expected_answer
from tests.standins.request_checks import (
    Execution,
    keys_that_ran_twice,
    peaks_above,
)


def execution(start_ms: float, end_ms: float | None, key: str = ''):
    return Execution('e', f'r{start_ms}', key, '', start_ms, end_ms)


def test_checks_find_overlap_and_repeats():
    """Guards against checks that accept overlaps or repeated keys."""
    overlapping = [execution(0, 10, 'k'), execution(5, None, 'k')]
    following = [execution(0, 5), execution(5, 8)]
    assert peaks_above(overlapping, 1) == {'e': 2}
    assert not peaks_above(following, 1)
    assert keys_that_ran_twice(overlapping) == {'k'}
    assert not keys_that_ran_twice(following)


@pytest.mark.parametrize(
    ('mode', 'status'),
    [(Mode.none, 200), (Mode.fail, 500), (Mode.short, None)],
)
async def test_each_mode_shows_its_fault(mode, status, unused_tcp_port):
    executor = ExecutorStandIn(f'127.0.0.1:{unused_tcp_port}', {'': 1})
    await executor.start()
    executor.mode = mode
    headers = {'X-Request-Id': 'r1', 'X-Deadline-Ms': '100'}
    url = f'http://{executor.address}/run'
    async with ClientSession() as session:
        try:
            async with session.post(url, data=b'b', headers=headers) as answer:
                body = await answer.read()
                assert answer.status == status
        except ClientError:
            assert status is None
        else:
            assert (body == expected_answer('r1', b'b')) is (status == 200)
    await executor.stop()
    assert [run.request_id for run in executor.executions] == ['r1']
