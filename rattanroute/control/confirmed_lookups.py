"""Look-ups in the configuration whose negative result is final for a client."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol
from typing import TypeVar

from expression import Result

Value = TypeVar("Value")
Failure = TypeVar("Failure")

# A look-up waits for a confirmed configuration this long at most, and for this
# fraction of the time that the client has left.
MAX_WAIT_SECONDS = 1.0
WAIT_FRACTION = 0.25
CHECK_SECONDS = 0.02
# Look-ups that may wait at once; requests for what does not exist would
# otherwise use up the processor of a VM that is cut off from the voters.
MAX_WAITING = 64


class ConfigurationState(Protocol):
    """Tells how far the configuration in force may be behind."""

    def is_confirmed(self, within_s: float) -> bool:
        """Whether the configuration was known to be current recently.

        Args:
            within_s: Seconds that may have passed since.
        """
        ...

    def confirm(self) -> None:
        """Asks for the newest configuration; may be called often."""
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class ConfirmedLookup:
    """Repeats look-ups that fail until the configuration is confirmed.

    Refusing something that a newer configuration has would be wrong and final,
    as clients do not repeat such a request.

    Attributes:
        configuration: Tells how far the configuration may be behind.
        max_age_s: Seconds since the configuration was known to be current, up
            to which it suffices for a negative result.
        waiting: Number of look-ups that wait.
        check: The pause until the next check, which all of them share.
    """

    configuration: ConfigurationState
    max_age_s: float = 2.0
    waiting: int = 0
    check: asyncio.Task[None] | None = None

    async def find(
        self,
        look_up: Callable[[], Result[Value, Failure]],
        *,
        time_left_s: float | None = None,
    ) -> Result[Value, Failure] | None:
        """Returns the result of a look-up; None if it may be outdated.

        Args:
            look_up: Looks in the configuration in force.
            time_left_s: Seconds that the client still waits; None if unknown.
        """
        result = look_up()
        if result.is_ok() or self.is_current():
            return result
        if self.waiting >= MAX_WAITING:
            return None
        self.waiting += 1
        try:
            return await self.wait_for_result(look_up, time_left_s)
        finally:
            self.waiting -= 1

    async def wait_for_result(
        self,
        look_up: Callable[[], Result[Value, Failure]],
        time_left_s: float | None,
    ) -> Result[Value, Failure] | None:
        """Repeats a look-up until its result is final or time has run out."""
        loop = asyncio.get_running_loop()
        wait_s = MAX_WAIT_SECONDS
        if time_left_s is not None:
            wait_s = min(wait_s, WAIT_FRACTION * time_left_s)
        wait_until = loop.time() + wait_s
        while loop.time() < wait_until:
            await self.wait_for_check()
            result = look_up()
            if result.is_ok() or self.is_current():
                return result
        return None

    async def wait_for_check(self) -> None:
        """Asks for the newest configuration and waits for the next check."""
        if self.check is None or self.check.done():
            self.configuration.confirm()
            self.check = asyncio.create_task(asyncio.sleep(CHECK_SECONDS))
        await asyncio.shield(self.check)

    def is_current(self) -> bool:
        """Whether the configuration suffices for a negative result."""
        return self.configuration.is_confirmed(self.max_age_s)
