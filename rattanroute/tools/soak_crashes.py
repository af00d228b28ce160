"""The caller of a soak whose request crashes the replicas that run it."""

import asyncio
from collections.abc import Callable
import dataclasses

from rattanroute.platform.trial_deployments import timeout_s
from rattanroute.tools.soak_callers import Caller
from rattanroute.tools.soak_callers import KINDS
from rattanroute.tools.soak_callers import MIN_EVENTS

CRASH_MARKER = "crash the replica"
# First part of the identifiers of its requests.
CRASHING_CALLER = "crashing"
PAUSE_SECONDS = 0.6
REPLICA_DOWN_SECONDS = 1.5


@dataclasses.dataclass(kw_only=True)
class CrashingCaller(Caller):
    """Sends one request again and again, each time to another front.

    Attributes:
        zones: Zones through which it comes.
    """

    zones: tuple[str, ...]

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Sends the request until the soak is over."""
        kind = self.random.choice(KINDS)
        body = CRASH_MARKER.encode()
        while not is_over():
            self.zone = self.random.choice(self.zones)
            await self.attempt(kind, body, 0, MIN_EVENTS, timeout_s(kind))
            if self.connection is not None:
                self.connection.cancel()
            self.connection = None
            await asyncio.sleep(PAUSE_SECONDS * (1 + self.random.random()))
