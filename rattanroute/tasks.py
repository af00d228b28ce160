"""Helpers for asyncio tasks."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
from typing import TypeVar

from rattanroute.logs import get_logger

# A timer that fires later than this shows that the process did not run.
LATE_TIMER_SECONDS = 0.02
# Time to read what arrived while the process did not run.
CATCH_UP_SECONDS = 0.1

T = TypeVar("T")

log = get_logger(__name__)


async def wait_for_reply(reply: Awaitable[T], timeout_s: float) -> T:
    """Waits for a reply of another process.

    If this process did not run when the time ended, the reply may have arrived
    unread; a timeout then says nothing about the other process. Such a wait
    goes on for a moment.

    Args:
        reply: The reply; cancelled at the end of the wait.
        timeout_s: Longest wait in seconds.

    Raises:
        TimeoutError: If there is no reply in time.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(reply)
    due = loop.time() + timeout_s
    try:
        await asyncio.wait((task,), timeout=timeout_s)
        if not task.done() and loop.time() - due > LATE_TIMER_SECONDS:
            await asyncio.wait((task,), timeout=CATCH_UP_SECONDS)
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()


async def wait_for_event(event: asyncio.Event, until: float) -> None:
    """Waits for an event, but not longer than until a time.

    Args:
        event: The event.
        until: End of the wait, on the event loop's clock.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(until):
            await event.wait()


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
