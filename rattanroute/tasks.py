"""Helpers for asyncio tasks."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from rattanroute.logs import get_logger

log = get_logger(__name__)


async def run_concurrently(
    *works: Coroutine[None, None, None], until: str
) -> None:
    """Runs works side by side and cancels those that are left at the end.

    Args:
        *works: The works.
        until: `asyncio.FIRST_COMPLETED` ends with the first work that ends,
            `asyncio.FIRST_EXCEPTION` with the first that fails or with all.

    Raises:
        Exception: The error of a work that failed.
    """
    tasks = [asyncio.create_task(work) for work in works]
    try:
        done, _ = await asyncio.wait(tasks, return_when=until)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()


async def run_repeatedly(seconds: float, work: Callable[[], object]) -> None:
    """Does some work at an interval; a failure is logged and work goes on."""
    while True:
        await asyncio.sleep(seconds)
        try:
            result = work()
            if asyncio.iscoroutine(result):
                await result
        except Exception as error:
            log.exception("periodic work failed", error=error)
