"""Waits for other voters to hold the notices of departing targets."""

import asyncio

from rattanroute.logs import get_logger
from rattanroute.systems.departures import DepartureSystem

# Several round trips between data centres. Targets try another VM after a
# second without an answer.
CONFIRM_TIMEOUT_SECONDS = 0.3

log = get_logger(__name__)


class DepartureConfirmations:
    """Delays the acknowledgement of a notice until another voter holds it.

    Otherwise a VM that fails right after the acknowledgement takes the notice
    with it.

    Args:
        departures: The notices of this VM.

    Attributes:
        waiting: Events by target, set when its notice is confirmed.
    """

    def __init__(self, *, departures: DepartureSystem) -> None:
        self.departures = departures
        self.waiting: dict[str, asyncio.Event] = {}
        departures.on_confirmed = self.handle_confirmed

    def handle_confirmed(self, target_id: str) -> None:
        """Ends the waits for a notice."""
        event = self.waiting.pop(target_id, None)
        if event is not None:
            event.set()

    async def wait(self, target_id: str) -> None:
        """Waits until another voter holds a notice, or for the timeout.

        After the timeout this VM still repeats the notice.
        """
        if self.departures.is_confirmed(target_id):
            return
        event = self.waiting.setdefault(target_id, asyncio.Event())
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_SECONDS):
                await event.wait()
        except TimeoutError:
            log.warning("departure not confirmed", target=target_id)
            self.waiting.pop(target_id, None)
