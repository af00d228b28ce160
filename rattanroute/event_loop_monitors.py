"""Measures how late the event loop runs its timers."""

import asyncio
import collections

from aioprometheus import Gauge

from rattanroute.logs import get_logger

INTERVAL_SECONDS = 0.1
# Measurements of which the gauge shows the longest: those of ten seconds.
WINDOW = 100
# All requests of the process wait this long.
LOGGED_SECONDS = 0.25

log = get_logger(__name__)


class EventLoopMonitor:
    """Records the delay of its own calls.

    Args:
        gauge: Shows the longest recent delay in seconds.
    """

    def __init__(self, *, gauge: Gauge) -> None:
        self.gauge = gauge
        self.delays: collections.deque[float] = collections.deque(maxlen=WINDOW)
        self.called_at: float | None = None

    def run(self) -> None:
        """Measures a delay; called at `INTERVAL_SECONDS`."""
        now = asyncio.get_running_loop().time()
        if self.called_at is not None:
            self.note_delay(now - self.called_at - INTERVAL_SECONDS)
        self.called_at = now

    def note_delay(self, seconds: float) -> None:
        """Records a delay; logs a long one."""
        self.delays.append(max(0.0, seconds))
        self.gauge.set({}, max(self.delays))
        if seconds > LOGGED_SECONDS:
            log.warning("event loop was late", seconds=seconds)
