"""Waiting on conditions in tests."""

import asyncio
from collections.abc import Callable

TIMEOUT_S = 20
POLL_S = 0.005


async def until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds; fails the test after a long time."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)
