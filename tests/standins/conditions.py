"""Waiting on conditions in tests."""

import asyncio
from collections.abc import Awaitable, Callable

TIMEOUT_S = 20
POLL_S = 0.005


async def until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds; fails the test after a long time."""
    await until_after(_nothing, condition)


async def until_after(
    step: Callable[[], Awaitable[None]], condition: Callable[[], object]
) -> None:
    """Repeats a step until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await step()
            await asyncio.sleep(POLL_S)


async def _nothing() -> None:
    """Is the step of a plain wait."""
