"""Soak client whose request crashes every replica that runs it."""

import asyncio
from collections.abc import Callable
import dataclasses

from rattanroute.platform.trial_deployments import timeout_s
from rattanroute.tools.soak_clients import KINDS
from rattanroute.tools.soak_clients import MIN_EVENTS
from rattanroute.tools.soak_clients import SoakClient

CRASH_MARKER = "crash the replica"
# Prefix of its request identifiers.
CRASHING_CLIENT = "crashing"
MIN_PAUSE_SECONDS = 0.6
REPLICA_DOWN_SECONDS = 1.5


@dataclasses.dataclass(kw_only=True)
class CrashingClient(SoakClient):
    """Repeats one request over new connections to fronts of random zones.

    Attributes:
        zones: Zones to choose from.
    """

    zones: tuple[str, ...]

    async def run(self, is_finished: Callable[[], bool]) -> None:
        """Repeats the request until the soak is over."""
        kind = self.random.choice(KINDS)
        body = CRASH_MARKER.encode()
        while not is_finished():
            self.zone = self.random.choice(self.zones)
            await self.send_attempt(kind, body, 0, MIN_EVENTS, timeout_s(kind))
            if self.connection is not None:
                self.connection.cancel()
            self.connection = None
            await asyncio.sleep(MIN_PAUSE_SECONDS * (1 + self.random.random()))
