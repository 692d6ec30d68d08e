"""Calls that wait for their answers."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class OpenCalls:
    """Tracks calls until they are answered or cancelled."""

    def __init__(self) -> None:
        self._open: set[asyncio.Future[None]] = set()

    @contextmanager
    def track(self) -> Iterator[None]:
        """Counts a call as open within the context."""
        closed = asyncio.get_running_loop().create_future()
        self._open.add(closed)
        try:
            yield
        finally:
            self._open.discard(closed)
            closed.set_result(None)

    async def wait_closed(self) -> None:
        """Waits until no call is open."""
        while self._open:
            await asyncio.wait(self._open)


__all__ = ('OpenCalls',)
