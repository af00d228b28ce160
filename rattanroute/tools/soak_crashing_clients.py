"""Soak clients whose requests crash every replica that runs them."""

import asyncio
from collections.abc import Callable
import dataclasses

from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import timeout_s
from rattanroute.tools.soak_clients import KINDS
from rattanroute.tools.soak_clients import MIN_EVENTS
from rattanroute.tools.soak_clients import SoakClient

CRASH_MARKER = "crash the replica"
# Prefix of its request identifiers.
CRASHING_CLIENT = "crashing"
# Prefix of the requests of which no two are alike.
CRASHING_PART_CLIENT = "deadly"
# Part of a prompt that crashes replicas, and one that sound prompts share.
CRASH_PART = "dead"
FIRST_PART = "a1"
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
            await self.pause()

    async def pause(self) -> None:
        """Closes the connection and waits."""
        if self.connection is not None:
            self.connection.cancel()
        self.connection = None
        await asyncio.sleep(MIN_PAUSE_SECONDS * (1 + self.random.random()))


@dataclasses.dataclass(kw_only=True)
class CrashingPartClient(CrashingClient):
    """Sends new streams with a prompt part that crashes replicas."""

    async def run(self, is_finished: Callable[[], bool]) -> None:
        """Sends streams to fronts of random zones until the soak is over."""
        kind = CallKind.STREAM
        while not is_finished():
            self.zone = self.random.choice(self.zones)
            body = f"{self.name} {self.random.random()}".encode()
            await self.send_attempt(kind, body, 0, MIN_EVENTS, timeout_s(kind))
            await self.pause()
