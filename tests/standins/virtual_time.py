"""An event loop whose time passes only while nothing else is to be done."""

import asyncio
from collections.abc import Awaitable, Callable


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the time of the next timer; not for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0

    def time(self) -> float:
        return self._now_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0]._when)
        super()._run_once()


class LoopClock:
    """A clock with the time of the running loop."""

    def monotonic_ms(self) -> int:
        return round(asyncio.get_running_loop().time() * 1000)

    def wall_ms(self) -> int:
        return self.monotonic_ms()


def run_virtual(work: Callable[[], Awaitable[None]]) -> None:
    """Runs a coroutine function in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(work())


__all__ = ('LoopClock', 'run_virtual')
