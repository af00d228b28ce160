"""Helpers for asyncio tasks."""

import asyncio
from collections.abc import Coroutine


async def run_together(*works: Coroutine[None, None, None], until: str) -> None:
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
