"""Waiting on conditions in tests."""

import asyncio
from collections.abc import Awaitable, Callable

TIMEOUT_S = 20
POLL_S = 0.005


async def until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds; raises TimeoutError after 20 s."""
    await until_after(_do_nothing, condition)


async def until_after(
    step: Callable[[], Awaitable[None]], condition: Callable[[], object]
) -> None:
    """Repeats a step until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await step()
            await asyncio.sleep(POLL_S)


async def _do_nothing() -> None:
    """Step of a wait that only polls its condition."""
