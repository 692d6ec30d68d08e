"""Follows the configuration that each daemon answers with and enforces."""

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
    """Changes the configuration and notes when daemons follow.

    Each change adds a service. A daemon enforces a version when it no longer
    refuses requests to the service of that version as unknown. All times are
    of the test process, taken after the answer came: a sighting is never
    noted earlier than it was true, an acceptance later by one answer.
    """

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._text = config_text(cell.shapes)
        self._sightings: dict[str, list[Sighting]] = defaultdict(list)
        self._accepted_at_ms: dict[int, float] = {}
        self._counted_from_ms: dict[str, float] = {}

    async def run(self) -> None:
        """Follows all daemons until cancelled."""
        await asyncio.gather(
            *(self._follow(name) for name in self._cell.names),
        )

    async def change(self, name: str) -> None:
        """Adds a service through a daemon."""
        base = max(self._accepted_at_ms, default=1)
        department = self._cell.shapes[0].department
        text = (
            f'{self._text}\n[service:{_probe(base + 1)}]\n'
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
        """Counts no time of a daemon until it resumes."""
        self._counted_from_ms[name] = NEVER_MS

    def resume(self, name: str) -> None:
        """Counts the time of a daemon from now on."""
        self._counted_from_ms[name] = _now_ms()

    def add_to(self, evidence: Evidence) -> None:
        """Adds what was seen to the evidence."""
        evidence.sightings = self._sightings
        evidence.accepted_at_ms = self._accepted_at_ms
        evidence.counted_from_ms = self._counted_from_ms

    async def _follow(self, name: str) -> None:
        while True:
            status, body = await self._cell.get(name, '/v1/status')
            if status == 200 and body['config_version']:
                await self._see(name, body)
            await asyncio.sleep(INTERVAL_S)

    async def _see(self, name: str, body: dict[str, Any]) -> None:
        enforced_version = min(body['config_version'], 1)
        for version in list(self._accepted_at_ms):
            status, answer = await self._cell.call(
                'POST',
                self._cell.listen[name],
                f'/v1/services/{_probe(version)}/requests',
                headers={DEADLINE_HEADER: '1'},
            )
            if status == 0:
                return
            if answer['error'] != 'not_found':
                enforced_version = version
        self._sightings[name].append(
            Sighting(_now_ms(), body['config_version'], enforced_version),
        )


def _probe(version: int) -> str:
    return f'probe-{version}'


def _now_ms() -> float:
    return time.monotonic() * 1000


__all__ = ('ConfigWatch',)
