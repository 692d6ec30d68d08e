"""Tests of real daemons: takeover, planned stop, reload and metrics."""

import asyncio
import signal
from contextlib import AsyncExitStack

import pytest

from radishlift.cell.fences import TOKENS_PER_TERM
from tests.platform.deployment import Deployment, make_job_body


@pytest.fixture
async def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    async with AsyncExitStack() as stack:
        await deployment.start(stack, ('d1', 'd2', 'd3'))
        yield deployment
        await deployment.stop()


@pytest.mark.system
async def test_jobs_continue_when_the_leader_is_killed(deployment):
    for name in deployment.daemons:
        await deployment.until_ready(name)
    await deployment.send('d1', 'POST', f'/q/{"a" * 16}', make_job_body(3))
    await deployment.until_state('d2', 'a' * 16, 'completed')
    leader = await deployment.wait_for_leader()
    other = next(name for name in deployment.daemons if name != leader)
    deployment.target.task_s = 2.5
    await deployment.send(other, 'POST', f'/q/{"b" * 16}', make_job_body(2))
    deployment.daemons[leader].kill()
    status, _ = await deployment.send(
        other, 'POST', f'/q/{"c" * 16}', make_job_body(1)
    )
    assert status == 200
    await deployment.until_state(other, 'b' * 16, 'completed')
    await deployment.until_state(other, 'c' * 16, 'completed')
    # Only one other daemon has claimed the lead.
    assert (deployment.target.fence - 1) // TOKENS_PER_TERM == 1
    tasks = [task for task, _ in deployment.target.started]
    assert len(tasks) == len(set(tasks)) == 6


@pytest.mark.system
async def test_planned_stop_changes_leader_and_hangup_does_not(deployment):
    leader = await deployment.wait_for_leader()
    await deployment.until_ready(leader)
    deployment.daemons[leader].send_signal(signal.SIGHUP)
    await asyncio.sleep(0.1)
    deployment.daemons[leader].send_signal(signal.SIGTERM)
    async with asyncio.timeout(10):
        assert await deployment.daemons[leader].wait() == 0
    other = await deployment.wait_for_leader()
    assert other != leader
    status, text = await deployment.send(other, 'GET', '/metrics', at=2)
    assert status == 200
    assert 'event="term_begun"' in text
    log = (deployment.folder / f'{leader}.log').read_text()
    assert 'event=settings_reloaded' in log
    assert 'event=drain_ended' in log
