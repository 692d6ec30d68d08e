"""Sends planned traffic in an open loop and counts the outcomes."""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any, Final

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
)
from hdrh.histogram import HdrHistogram

from radishlift.api.services import REQUEST_ID_HEADER
from radishlift.load.balancer import Balancer
from radishlift.load.traffic import PlannedJob, PlannedRequest, RequestKind

_MAX_LATENCY_MS: Final = 600_000
_SIGNIFICANT_DIGITS: Final = 3
_RESPONSE_GRACE_MS: Final = 2_000
_MAX_TRIES: Final = 7
_OK: Final = 200


@dataclass(slots=True)
class LoadResult:
    """Counts and waiting times of one run.

    `outcomes` counts `answered`, `not_run`, `unknown`, `ran` (failed after it
    ran), `broken` (incomplete answer) and `wrong` (another request's answer).
    `broken_at` counts broken connections by daemon. `submitted_at_ms` has
    the monotonic time of each job's first submission, `job_priorities` its
    priority. `class_latency_ms` has one histogram for each request class.
    `not_run_jobs` are the jobs whose submissions were all refused with the
    outcome `not_run`.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    latency_ms: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            1, _MAX_LATENCY_MS, _SIGNIFICANT_DIGITS
        ),
    )
    class_latency_ms: dict[str, HdrHistogram] = field(default_factory=dict)
    answered_keys: list[str] = field(default_factory=list)
    not_run_tokens: list[str] = field(default_factory=list)
    not_run_ids: list[str] = field(default_factory=list)
    not_run_jobs: list[str] = field(default_factory=list)
    accepted_jobs: list[str] = field(default_factory=list)
    submitted_at_ms: dict[str, float] = field(default_factory=dict)
    job_priorities: dict[str, str] = field(default_factory=dict)
    broken_at: Counter[str] = field(default_factory=Counter)

    def record_latency(self, class_name: str, elapsed_ms: int) -> None:
        """Records the latency of an answered request of a class."""
        histogram = self.class_latency_ms.get(class_name)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_LATENCY_MS, _SIGNIFICANT_DIGITS)
            self.class_latency_ms[class_name] = histogram
        self.latency_ms.record_value(max(1, elapsed_ms))
        histogram.record_value(max(1, elapsed_ms))

    def summary(self) -> dict[str, Any]:
        """Returns counts and latency percentiles as plain data."""
        return {
            'outcomes': dict(self.outcomes),
            'errors': dict(self.errors),
            **_percentiles(self.latency_ms),
            'classes': {
                name: _percentiles(histogram)
                for name, histogram in sorted(self.class_latency_ms.items())
            },
            'accepted_jobs_count': len(self.accepted_jobs),
        }


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes
    request_id: str


class LoadRunner:
    """Sends requests and jobs at their planned times."""

    def __init__(
        self,
        session: ClientSession,
        balancer: Balancer,
        should_stop: Callable[[], bool] | None = None,
    ) -> None:
        """Creates a runner that sends to the daemons chosen by the balancer.

        The rest of a plan is skipped once `should_stop` returns true.
        """
        self._session = session
        self._balancer = balancer
        self._should_stop = should_stop
        self.result = LoadResult()

    async def send_requests(self, planned: Sequence[PlannedRequest]) -> None:
        """Sends requests and waits for all answers."""
        await self._run_plan(planned, self._send_request)

    async def send_jobs(self, planned: Sequence[PlannedJob]) -> None:
        """Submits jobs and waits for all answers."""
        await self._run_plan(planned, self._send_job)

    async def _run_plan(
        self,
        planned: Sequence[Any],
        send: Callable[[Any], Coroutine[Any, Any, None]],
    ) -> None:
        started_s = time.monotonic()
        sending: list[asyncio.Task[None]] = []
        for entry in planned:
            wait_s = started_s + entry.at_ms / 1000 - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if self._should_stop is not None and self._should_stop():
                break
            sending.append(asyncio.create_task(send(entry)))
        await asyncio.gather(*sending)

    async def _send_request(self, planned: PlannedRequest) -> None:
        request_class = planned.request_class
        headers = {
            'Radishlift-Deadline-Ms': str(request_class.deadline_ms),
            'Radishlift-Class': request_class.name,
        }
        if request_class.kind is RequestKind.keyed:
            headers['Idempotency-Key'] = planned.token
        else:
            headers['Radishlift-Idempotent'] = 'true'
        started_s = time.monotonic()
        reply = await self._post(
            f'/v1/services/{planned.service}/requests',
            planned.body,
            headers,
            request_class.deadline_ms,
        )
        elapsed_ms = int((time.monotonic() - started_s) * 1000)
        outcome = self._classify(reply, planned)
        self.result.outcomes[outcome] += 1
        is_keyed = request_class.kind is RequestKind.keyed
        if outcome == 'answered':
            self.result.record_latency(request_class.name, elapsed_ms)
            if is_keyed:
                self.result.answered_keys.append(planned.token)
        elif outcome == 'not_run':
            if is_keyed:
                self.result.not_run_tokens.append(planned.token)
            if isinstance(reply, _Reply) and reply.request_id:
                self.result.not_run_ids.append(reply.request_id)

    async def _send_job(self, planned: PlannedJob) -> None:
        body = json.dumps(planned.body).encode()
        headers = {'Content-Type': 'application/json'}
        submitted_at_ms = time.monotonic() * 1000
        self.result.submitted_at_ms[planned.job_id] = submitted_at_ms
        self.result.job_priorities[planned.job_id] = planned.body['priority']
        # Submitting the same job id again is idempotent, so that a caller may
        # retry after a refusal or an unknown outcome.
        outcomes: set[str] = set()
        for _ in range(_MAX_TRIES):
            reply = await self._post('/v1/jobs', body, headers, 10_000)
            if isinstance(reply, _Reply) and reply.status < 300:
                self.result.accepted_jobs.append(planned.job_id)
                self.result.outcomes['job_accepted'] += 1
                return
            outcomes.add(self._count_error(reply))
            await asyncio.sleep(0.2)
        self.result.outcomes['job_refused'] += 1
        if outcomes == {'not_run'}:
            self.result.not_run_jobs.append(planned.job_id)

    def _classify(self, reply: '_Reply | str', planned: PlannedRequest) -> str:
        if isinstance(reply, str):
            self._count_error(reply)
            return reply
        if reply.status == _OK:
            # The executors in load runs return the digest of the request body.
            is_own = sha256(planned.body).hexdigest().encode() in reply.body
            return 'answered' if is_own else 'wrong'
        return self._count_error(reply)

    def _count_error(self, reply: '_Reply | str') -> str:
        if isinstance(reply, str):
            self.result.errors[reply] += 1
            return reply
        try:
            body = json.loads(reply.body)
        except ValueError:
            body = {}
        self.result.errors[str(body.get('error', reply.status))] += 1
        return str(body.get('outcome', 'unknown'))

    async def _post(
        self,
        path: str,
        body: bytes,
        headers: dict[str, str],
        deadline_ms: int,
    ) -> '_Reply | str':
        timeout = ClientTimeout(total=(deadline_ms + _RESPONSE_GRACE_MS) / 1000)
        for _ in range(_MAX_TRIES):
            address = self._balancer.pick()
            if address is None:
                await asyncio.sleep(0.1)
                continue
            try:
                async with self._session.post(
                    f'http://{address}{path}',
                    data=body,
                    headers=headers,
                    timeout=timeout,
                ) as reply:
                    return _Reply(
                        reply.status,
                        await reply.read(),
                        reply.headers.get(REQUEST_ID_HEADER, ''),
                    )
            except ClientConnectorError:
                self._balancer.mark_unready(address)
            except (ClientError, TimeoutError):
                self.result.broken_at[address] += 1
                return 'broken'
        return 'not_run'


def _percentiles(histogram: HdrHistogram) -> dict[str, int]:
    return {
        'latency_p50_ms': histogram.get_value_at_percentile(50),
        'latency_p99_ms': histogram.get_value_at_percentile(99),
    }


__all__ = ('LoadResult', 'LoadRunner')
