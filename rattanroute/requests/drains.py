"""End of the open requests in a planned stop."""

import asyncio
from collections.abc import Collection
import contextlib
from typing import Protocol

from rattanroute.logs import get_logger
from rattanroute.requests.sessions import SessionRegistry

# Time to send the refusals of requests that have not ended in a planned stop.
REFUSAL_SECONDS = 2.0

log = get_logger(__name__)


class RequestListener(Protocol):
    """Knows the requests of a listener."""

    async def wait_until_answered(self) -> None:
        """Waits until the requests that are open now are answered."""
        ...


class RequestDrain:
    """Waits for the open requests of a daemon that does not accept any more.

    A request is open from its head to the end of its answer. One whose body
    has not arrived has no session yet.

    Args:
        listener: Listener of the requests.
        sessions: Open sessions.
        running_tasks: Calls that go on without their callers.
    """

    def __init__(
        self,
        *,
        listener: RequestListener,
        sessions: SessionRegistry,
        running_tasks: Collection["asyncio.Task[object]"],
    ) -> None:
        self.listener = listener
        self.sessions = sessions
        self.running_tasks = running_tasks

    async def run(self, *, grace_s: float) -> None:
        """Waits for the open requests; refuses those left after the grace.

        Args:
            grace_s: Longest wait in seconds.
        """
        try:
            async with asyncio.timeout(grace_s):
                await self.wait_for_requests()
        except TimeoutError:
            count = self.sessions.refuse_all()
            log.warning("requests refused at a planned stop", requests=count)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REFUSAL_SECONDS):
                    await self.wait_for_requests()

    async def wait_for_requests(self) -> None:
        """Waits until all requests and their tasks have ended."""
        await self.listener.wait_until_answered()
        await self.sessions.empty.wait()
        while self.running_tasks:
            await asyncio.wait(self.running_tasks)
