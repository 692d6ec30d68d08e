"""A complete leader with in-memory services."""

import asyncio
from contextlib import suppress

from radishlift.cell.advice_dispatch import AdviceProxy
from radishlift.cell.commits import Claim
from radishlift.cell.fences import TOKENS_PER_TERM, last_token
from radishlift.cell.job_rows import dump_job
from radishlift.cell.leader_dependencies import LeaderDependencies
from radishlift.cell.leader_term import LeaderTerm
from radishlift.cell.settings import CellSettings
from radishlift.cell.tables import (
    CANCELS,
    CELL,
    COMMITS,
    HEARTBEAT_KEY,
    JOBS,
    LAST_COMMIT_KEY,
    LEADER_KEY,
    PROGRESS,
    TARGETS,
    cancel_key,
)
from radishlift.core.clock import BootClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId
from radishlift.services.api import Transaction, Write
from radishlift.steps.endings import EndKind
from radishlift.steps.ids import FencingToken
from radishlift.steps.settings import StepSettings
from radishlift.steps.targets import TargetState
from radishlift.steps.workspaces import NO_WORKSPACE
from radishlift.wire.network import PeerNetwork
from tests.cell.fakes import (
    FakeAdvice,
    FakeTarget,
    FakeTargets,
    MemoryCellStore,
)
from tests.steps.builders import entry, job

SETTINGS = CellSettings(
    pulse_ms=20,
    hold_wait_ms=40,
    hold_retry_ms=5,
    order_retries_count=2,
    tick_ms=2,
    feed_wait_ms=50,
    feed_retry_ms=5,
    feed_gap_ms=2,
    unconfirmed_ms=100,
    forget_every_ms=10,
)
MAX_LEASE_MS = 200


def decode_target(name, plain):
    if not plain:
        return Failure(ErrorKind.invalid_input, 'unreadable')
    state = TargetState(plain['state'])
    optional = ('address', 'life', 'remaining_ms')
    fields = {field: plain[field] for field in optional if field in plain}
    return entry(name, plain['cores'], state=state, **fields)


class Cell:
    """The store, the targets and successive leader terms."""

    def __init__(
        self,
        *targets: str,
        cores: int = 4,
        settings: CellSettings = SETTINGS,
        max_lease_ms: int = MAX_LEASE_MS,
        target_heartbeat_ms: int = 0,
        step_settings: StepSettings | None = None,
        max_row_bytes: int = 0,
    ) -> None:
        self.max_row_bytes = max_row_bytes
        self.max_lease_ms = max_lease_ms
        self.target_heartbeat_ms = target_heartbeat_ms
        self.settings = settings
        self.step_settings = step_settings or StepSettings()
        self.store = MemoryCellStore()
        self.targets = FakeTargets(*targets)
        self.advice = FakeAdvice()
        self.epoch = 1 - TOKENS_PER_TERM
        self.terms = []
        self.config = None
        self.leader_terms = []
        self.cores = cores
        for name in targets:
            self.write_target(name)

    def write(self, table, key, value):
        self.store.tables.commit(
            Transaction((), (Write(table, key, value),)),
        )

    def write_target(self, name, **fields):
        values = {'cores': self.cores, 'state': 'ready', **fields}
        self.write(TARGETS, name, values)

    def add_target(self, name):
        """Starts another target."""
        self.targets.by_id[name] = FakeTarget()
        self.write_target(name)

    def submit(self, run):
        self.write(
            JOBS,
            run.spec.job_id,
            dump_job(run.spec, run.terms, run.accepted_at_ms, run.workspace),
        )
        return run.spec.job_id

    def cancel(self, job_id, workspace=NO_WORKSPACE):
        self.write(CANCELS, cancel_key(job_id, workspace), {})

    def state(self, job_id):
        row = self.store.tables.read(PROGRESS, job_id)
        return row.value['state'] if row.value else 'queued'

    def lead(self):
        """Starts a term with a higher epoch, which ends the previous one."""
        self.epoch += TOKENS_PER_TERM
        epoch = FencingToken(self.epoch)
        leader_fields = {'daemon': f'd{epoch}', 'epoch': last_token(epoch)}
        outcome = self.store.tables.commit(
            Transaction(
                (),
                (
                    Write(CELL, LEADER_KEY, leader_fields),
                    Write(
                        COMMITS,
                        LAST_COMMIT_KEY,
                        {'epoch': epoch, 'number': 0},
                    ),
                ),
            ),
        )
        network = PeerNetwork(DaemonId('d'))
        AdviceProxy(network, self.advice)
        term = LeaderTerm(
            Claim(
                epoch,
                *outcome.versions,
                BootClock().monotonic_ms(),
            ),
            LeaderDependencies(
                self.store,
                self.targets,
                network,
                lambda: [DaemonId('d')],
                lambda: self.config,
                decode_target,
                self.settings,
                self.step_settings,
                BootClock(),
                self.max_lease_ms,
                self.target_heartbeat_ms,
                self.max_row_bytes,
                lambda: self.store.tables.read(CELL, HEARTBEAT_KEY).value,
            ),
        )
        self.leader_terms.append(term)
        task = asyncio.create_task(term.run())
        self.terms.append(task)
        return task

    async def kill(self, task):
        """Cancels a term, so that it sends nothing more."""
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    async def close(self):
        for task in self.terms:
            await self.kill(task)

    async def until(self, condition, within_s=3.0):
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.003)

    def end_one(self, name, kind=EndKind.done):
        """Ends the task that has run longest on a target."""
        fake = self.targets[name]
        fake.end(next(iter(fake.running)), kind)

    def end_all(self, kind=EndKind.done):
        for fake in self.targets.by_id.values():
            for key in list(fake.running):
                fake.end(key, kind)

    async def until_state(self, job_id, state, kind=EndKind.done):
        """Ends all running tasks until the job has the given stored state."""
        async with asyncio.timeout(3):
            while self.state(job_id) != state:
                self.end_all(kind)
                await asyncio.sleep(0.003)


__all__ = ('Cell', 'job')
