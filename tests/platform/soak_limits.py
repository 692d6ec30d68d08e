"""Limits of a workspace and its gangs in the soak test, and their advice."""

import asyncio
import json
import time
from collections import Counter
from contextlib import contextmanager, suppress
from dataclasses import dataclass

from aiohttp import web

from tests.platform.deployment import make_job_body
from tests.platform.soak_faults import FAULTS
from tests.platform.soak_keys import CONFIG_S, LIMITED_KEY, STEADY_KEY
from tests.standins.leased_target import MAX_LEASE_MS
from tests.standins.target_api import advise

# The jobs of a caller in the limited workspace use about this many tasks.
TASKS_PER_CALLER = 8
GANGS_SHARE = 0.3
# Of a step and of a gang.
COUNTS = ((1, 3), (2, 4))
LOWERED_S = (0.5, 4.0)
MAX_CHANGES_COUNT = 3
ADVICE_DELAY_S = (0.3, 3.0)
GANGS_REFUSED_S = (2.0, 8.0)
# How long callers go on after the last fault, with changes of the limit only.
CALM_S = 14.0
CALM_LOWERED_S = (4.0, 8.0)
# A takeover and the leases of lost targets may delay steps until then.
SETTLED_S = MAX_LEASE_MS / 1000
MAX_WAIT_S = 5.0
SAMPLE_S = 0.05
# A start that was sent under an earlier limit may arrive within its lease.
LIMIT_NOTICE_S = CONFIG_S + MAX_LEASE_MS / 1000
LIMIT_TOLERANCE = 1.1
HTTP_OK = 200


def is_limited(job_id):
    """Returns whether a job belongs to the workspace with a limit."""
    return int(job_id, 16) % 2 == 1


def key_of(job_id):
    """Returns the key with which a job is submitted and read."""
    return LIMITED_KEY if is_limited(job_id) else STEADY_KEY


@dataclass(frozen=True)
class SoakStep:
    """The only step of a job."""

    tasks_count: int
    is_gang: bool

    @property
    def unit_count(self):
        """How many tasks start together."""
        return self.tasks_count if self.is_gang else 1

    @property
    def ends_count(self):
        """How many tasks must end; one represents a gang."""
        return 1 if self.is_gang else self.tasks_count


class LimitWatch:
    """Changes the limit of a workspace and observes which steps wait.

    All tasks need `task_cpu`. Callers of the limited workspace come near to
    its limit. `refused` are the jobs whose last advice request had no success.
    """

    def __init__(self, soak, task_cpu):
        self.soak = soak
        self.task_cpu = task_cpu
        self.full_count = soak.size.callers_count // 2 * TASKS_PER_CALLER
        self.changes = []
        self.lowered_count = 0
        self.steps = {}
        self.refused = set()
        self.refusals_count = 0
        self.delay_s = 0.0
        self.waits = {}
        self._since_s = {}
        self._longest_s = {}
        self._completed = set()
        self.set_limit(self.full_count)

    def make_body(self, job_id):
        """Makes the body of a job."""
        is_gang = self.soak.random.random() < GANGS_SHARE
        count = self.soak.random.randint(*COUNTS[is_gang])
        self.steps[job_id] = SoakStep(count, is_gang)
        return make_job_body(count, self.task_cpu, is_gang=is_gang)

    def set_limit(self, count):
        """Writes a configuration with a limit of so many tasks."""
        self.changes.append((time.monotonic(), count))
        self.soak.key_watch.set_limit(count * self.task_cpu)
        self.soak.store.put('op', '', 'config', self.soak.key_watch.config)

    async def advise(self, request):
        """Answers like the advice service, late or not at all in a fault."""
        job_id = (await request.json())['step'][:16]
        if self.refusals_count and self.steps[job_id].is_gang:
            self.refused.add(job_id)
            return web.Response(status=503)
        await asyncio.sleep(self.delay_s)
        self.refused.discard(job_id)
        return await advise(request)

    async def vary_calmly(self, calm_s):
        """Goes on with lowered limits and refused gangs, but no other fault."""
        with suppress(TimeoutError), self.refuse_gangs():
            async with asyncio.timeout(calm_s):
                while True:
                    await limit_lowered(self.soak, CALM_LOWERED_S)

    @contextmanager
    def refuse_gangs(self):
        """Gives no advice to gangs, while that of other steps is in time."""
        self.refusals_count += 1
        try:
            yield
        finally:
            self.refusals_count -= 1
            if not self.refusals_count:
                self.refused.clear()

    async def watch_waits(self):
        """Records ready steps that wait although they could start."""
        await asyncio.sleep(SETTLED_S)
        while True:
            self._observe(time.monotonic())
            for job_id in set(self._since_s) - self.waits.keys():
                await self._confirm(job_id)
            await asyncio.sleep(SAMPLE_S)

    def longest_wait_s(self):
        """Returns the longest wait of a step that could start."""
        return max(self._longest_s.values(), default=0)

    def violations(self):
        """Yields a text for each wait and each start beyond the limit."""
        for job_id, (until, waited_s) in self.waits.items():
            yield (
                f'{job_id} waited for {waited_s:.1f} s until {until} with '
                f'room on targets and in its limit, {self.steps[job_id]}'
            )
        yield from self._find_starts_beyond_limit()

    async def _confirm(self, job_id):
        """Records a wait unless daemons know more ends than their targets."""
        waited_s = time.monotonic() - self._since_s[job_id]
        if waited_s < MAX_WAIT_S:
            return
        status, text = await self.soak.send(
            self.soak.any_daemon(), 'GET', f'/q/{job_id}', key=key_of(job_id)
        )
        if status == HTTP_OK and json.loads(text)['state'] == 'completed':
            self._completed.add(job_id)
            self._longest_s.pop(job_id)
        elif status == HTTP_OK:
            self.waits[job_id] = time.strftime('%T'), waited_s

    def _observe(self, now_s):
        up = [
            target
            for target in self.soak.targets.values()
            if not target.is_down
        ]
        running = Counter(task[:16] for target in up for task in target.running)
        used = sum(running[job_id] for job_id in running if is_limited(job_id))
        limit = min(shown(self.changes, now_s, CONFIG_S))
        free = self._free_count()
        for job_id in self._waiting_jobs(running):
            needed = self.steps[job_id].unit_count
            is_within = used * 2 < limit and used + needed <= limit
            if needed > free or (is_limited(job_id) and not is_within):
                self._since_s.pop(job_id, None)
                continue
            waited_s = now_s - self._since_s.setdefault(job_id, now_s)
            self._longest_s[job_id] = max(
                waited_s, self._longest_s.get(job_id, 0)
            )

    def _free_count(self):
        """Returns for how many tasks targets with entries have room."""
        return sum(
            max(
                0,
                self.soak.capacities[target_id][-1][1] // self.task_cpu
                - len(target.running),
            )
            for target_id, target in self.soak.targets.items()
            if target_id in self.soak.target_proxies and not target.is_down
        )

    def _waiting_jobs(self, running):
        """Lists the accepted jobs that have advice and run nothing."""
        done_tasks = {
            run.task
            for target in self.soak.targets.values()
            for run in target.runs
            if run.how == 'done'
        }
        done = Counter(task[:16] for task in done_tasks)
        accepted = {
            job_id
            for job_id, status in self.soak.answers.items()
            if status == HTTP_OK
        }
        waiting = {
            job_id
            for job_id in accepted - self.refused - self._completed
            if not running[job_id]
            and done[job_id] < self.steps[job_id].ends_count
        }
        for job_id in self._since_s.keys() - waiting:
            del self._since_s[job_id]
        return waiting

    def _find_starts_beyond_limit(self):
        runs = [
            run
            for target in self.soak.targets.values()
            for run in target.runs
            if is_limited(run.task[:16])
        ]
        for run in runs:
            at_s = run.started_s
            beside = [
                other.task[:16]
                for other in runs
                if other.started_s <= at_s
                and (other.ended_s is None or other.ended_s > at_s)
            ]
            # Work that exceeds a lowered limit may run alone.
            is_alone = set(beside) <= {run.task[:16]}
            limit = max(shown(self.changes, at_s, LIMIT_NOTICE_S))
            if len(beside) > limit * LIMIT_TOLERANCE + 1 and not is_alone:
                yield (
                    f'{run.task} started beyond the limit of its workspace, '
                    f'{len(beside)} of {limit} tasks'
                )


def shown(changes, at_s, notice_s):
    """Lists the values that were valid in the last `notice_s`."""
    valid = [(since_s, value) for since_s, value in changes if since_s <= at_s]
    ends_s = [since_s for since_s, _ in valid[1:]] + [at_s]
    return [
        value
        for (_, value), end_s in zip(valid, ends_s, strict=True)
        if end_s >= at_s - notice_s
    ]


@FAULTS.register('limit_lowered')
async def limit_lowered(soak, lowered_s=LOWERED_S):
    """Lowers the limit several times, and raises it after the last of them."""
    limits = soak.limit_watch
    limits.lowered_count += 1
    try:
        for _ in range(soak.random.randint(1, MAX_CHANGES_COUNT)):
            limits.set_limit(soak.random.randint(2, limits.full_count - 1))
            await asyncio.sleep(soak.random.uniform(*lowered_s))
    finally:
        limits.lowered_count -= 1
        if not limits.lowered_count:
            limits.set_limit(limits.full_count)


@FAULTS.register('advice_late')
async def advice_late(soak):
    soak.limit_watch.delay_s = soak.random.uniform(*ADVICE_DELAY_S)
    await soak.wait_fault_duration()
    soak.limit_watch.delay_s = 0


@FAULTS.register('gangs_without_advice')
async def gangs_without_advice(soak):
    with soak.limit_watch.refuse_gangs():
        await asyncio.sleep(soak.random.uniform(*GANGS_REFUSED_S))


__all__ = ('CALM_S', 'LimitWatch', 'key_of', 'shown')
