"""Readiness of a daemon for the platform's load balancer."""

from enum import Enum, unique
from typing import Any

from aiohttp import web
from transitions import Machine

READY_PATH = '/ready'

_OK = 200
_UNAVAILABLE = 503


@unique
class Readiness(Enum):
    """State of a daemon as reported to the load balancer."""

    starting = 'starting'
    ready = 'ready'
    draining = 'draining'


class ReadinessState:
    """State machine of this daemon's readiness; draining is final."""

    state: Readiness

    def __init__(self) -> None:
        self._machine = Machine(
            self,
            states=Readiness,
            initial=Readiness.starting,
            auto_transitions=False,
            transitions=[
                {
                    'trigger': 'become_ready',
                    'source': Readiness.starting,
                    'dest': Readiness.ready,
                },
                {
                    'trigger': 'drain',
                    'source': '*',
                    'dest': Readiness.draining,
                },
            ],
        )

    def apply_event(self, event: str) -> None:
        """Applies an event, which is the name of a transition."""
        trigger: Any = getattr(self, event)
        trigger()

    async def handle(self, _request: web.Request) -> web.Response:
        """Handles `GET /ready`: 200 if new calls are accepted, else 503."""
        is_ready = self.state is Readiness.ready
        return web.json_response(
            {'state': self.state.value},
            status=_OK if is_ready else _UNAVAILABLE,
        )


__all__ = ('READY_PATH', 'Readiness', 'ReadinessState')
