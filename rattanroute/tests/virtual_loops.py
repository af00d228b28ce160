"""An event loop whose time passes only while nothing can run, for tests."""

import asyncio
import selectors
from typing import Any


class InstantSelector(selectors.SelectSelector):
    """Passes time instead of waiting for it.

    Attributes:
        now: Time of the loop, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advances the time by the wait and returns what is ready.

        Raises:
            RuntimeError: If nothing would ever end the wait.
        """
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("no task of the virtual loop can go on")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a time of its own."""

    def __init__(self) -> None:
        self.clock = InstantSelector()
        super().__init__(selector=self.clock)

    def time(self) -> float:
        """Returns the time of the loop, in seconds."""
        return self.clock.now
