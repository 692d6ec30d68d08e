"""Watches which configuration each daemon reports and enforces."""

import asyncio
import time
from collections import defaultdict
from typing import Any

from radishlift.api.services import DEADLINE_HEADER
from tests.system.cell import Cell
from tests.system.invariants import Evidence, Sighting
from tests.system.shapes import config_text

INTERVAL_S = 0.1
NEVER_MS = float('inf')


class ConfigWatch:
    """Changes the configuration and records when daemons apply it.

    Each change adds a service. A daemon enforces a version when it no longer
    refuses requests to the service of that version as unknown. All times are
    of the test process, read after the answer arrived: a sighting is never
    recorded before it was true, and an acceptance is recorded late by the time
    of one answer.
    """

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._text = config_text(cell.shapes)
        self._sightings: dict[str, list[Sighting]] = defaultdict(list)
        self._accepted_at_ms: dict[int, float] = {}
        self._measured_from_ms: dict[str, float] = {}

    async def run(self) -> None:
        """Polls all daemons until cancelled."""
        await asyncio.gather(
            *(self._poll_daemon(name) for name in self._cell.names),
        )

    async def change(self, name: str) -> None:
        """Adds a service through a daemon."""
        base = max(self._accepted_at_ms, default=1)
        department = self._cell.shapes[0].department
        text = (
            f'{self._text}\n[service:{_probe_service(base + 1)}]\n'
            f'department = {department}\nslots_count = 1\n'
        )
        body = {'base': base, 'text': text, 'who': 'test', 'why': 'watch'}
        address = self._cell.listen[name]
        status, answer = await self._cell.call(
            'PUT',
            address,
            '/v1/config',
            body,
        )
        if status == 200:
            self._text = text
            self._accepted_at_ms[answer['version']] = _now_ms()

    def pause(self, name: str) -> None:
        """Excludes a daemon from the time bound until it resumes."""
        self._measured_from_ms[name] = NEVER_MS

    def resume(self, name: str) -> None:
        """Measures the time bound of a daemon from now on."""
        self._measured_from_ms[name] = _now_ms()

    def add_to(self, evidence: Evidence) -> None:
        """Adds the sightings and the accepted versions to the evidence."""
        evidence.sightings = self._sightings
        evidence.accepted_at_ms = self._accepted_at_ms
        evidence.measured_from_ms = self._measured_from_ms

    async def _poll_daemon(self, name: str) -> None:
        while True:
            status, body = await self._cell.get(name, '/v1/status')
            if status == 200 and body['config_version']:
                await self._record_sighting(name, body)
            await asyncio.sleep(INTERVAL_S)

    async def _record_sighting(self, name: str, body: dict[str, Any]) -> None:
        enforced_version = min(body['config_version'], 1)
        for version in list(self._accepted_at_ms):
            status, answer = await self._cell.call(
                'POST',
                self._cell.listen[name],
                f'/v1/services/{_probe_service(version)}/requests',
                headers={DEADLINE_HEADER: '1'},
            )
            if status == 0:
                return
            if answer['error'] != 'not_found':
                enforced_version = version
        self._sightings[name].append(
            Sighting(_now_ms(), body['config_version'], enforced_version),
        )


def _probe_service(version: int) -> str:
    return f'probe-{version}'


def _now_ms() -> float:
    return time.monotonic() * 1000


__all__ = ('ConfigWatch',)
