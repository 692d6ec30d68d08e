"""Tests of tasks that crash targets, with real daemons and connections."""

import asyncio
import json
from contextlib import AsyncExitStack

import pytest

from tests.platform.deployment import make_job_body
from tests.platform.soak import Soak

# The users' limit: three crashes, and fewer than three more starts.
MAX_CRASHES_COUNT = 5
CRASHING = 'a' * 16
OTHERS = [name * 16 for name in 'bcd']


class CrashingSoak(Soak):
    """A deployment in which the tasks of one job crash their targets."""

    crashes_count = 0

    async def add_target(self, port):
        await super().add_target(port)
        target_id = list(self.targets)[-1]
        target = self.targets[target_id]
        run_start = target.run_start

        async def start_or_crash(body):
            if not body['task'].startswith(CRASHING):
                return await run_start(body)
            self.crashes_count += 1
            # Ends the connection, so that this answer is not received.
            await self.crash_target(target_id)
            replacement = asyncio.create_task(self.replace_target(target_id))
            self.stack.callback(replacement.cancel)
            return target._answer(503)

        target.run_start = start_or_crash


@pytest.mark.system
async def test_crashing_task_is_given_up_when_its_targets_close_connections(
    tmp_path,
):
    soak = CrashingSoak(tmp_path, seed=1)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(soak.stop)
        await soak.open(stack)
        for job_id in OTHERS:
            await soak.send(
                soak.names[0], 'POST', f'/q/{job_id}', make_job_body(2)
            )
        body = make_job_body(1)
        await soak.send(soak.names[0], 'POST', f'/q/{CRASHING}', body)

        async def is_failed():
            _, text = await soak.send(soak.names[1], 'GET', f'/q/{CRASHING}')
            return bool(text) and json.loads(text)['state'] == 'failed'

        await soak.until(is_failed, within_s=30)
        for job_id in OTHERS:
            await soak.until_state(soak.names[1], job_id, 'completed')
    assert soak.crashes_count <= MAX_CRASHES_COUNT
