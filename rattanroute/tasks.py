"""Helpers for asyncio tasks."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from rattanroute.logs import get_logger

log = get_logger(__name__)


async def run_concurrently(
    *coroutines: Coroutine[None, None, None], until: str
) -> None:
    """Runs coroutines concurrently; cancels the rest once `until` is met.

    Args:
        *coroutines: The coroutines.
        until: `asyncio.FIRST_COMPLETED` to stop when the first one ends,
            `asyncio.FIRST_EXCEPTION` when the first one fails or all ended.

    Raises:
        Exception: The error of a coroutine that failed.
    """
    tasks = [asyncio.create_task(work) for work in coroutines]
    try:
        done, _ = await asyncio.wait(tasks, return_when=until)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()


async def run_repeatedly(seconds: float, work: Callable[[], object]) -> None:
    """Calls a function at an interval in seconds, logging its failures."""
    while True:
        await asyncio.sleep(seconds)
        try:
            result = work()
            if asyncio.iscoroutine(result):
                await result
        except Exception as error:
            log.exception("periodic task failed", error=error)
