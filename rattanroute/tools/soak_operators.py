"""Simulated operators and probes of a soak."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import itertools
import random as randoms
import time

import aiohttp

from rattanroute.platform.trial_deployments import build_call
from rattanroute.platform.trial_deployments import build_configuration
from rattanroute.platform.trial_deployments import build_version_prefix
from rattanroute.platform.trial_deployments import DeploymentShape
from rattanroute.platform.trial_deployments import KEPT_VERSION_ROUTES
from rattanroute.platform.trial_deployments import Machine
from rattanroute.platform.trial_deployments import read_version
from rattanroute.tools.soak_bursts import PlannedBurst
from rattanroute.tools.soak_clients import NOT_FOUND
from rattanroute.tools.soak_clients import send_once
from rattanroute.tools.soak_clients import THINK_SECONDS
from rattanroute.tools.soak_fleets import SoakFleet
from rattanroute.tools.soak_records import Acknowledgement
from rattanroute.tools.soak_records import ConfigurationRead
from rattanroute.tools.soak_records import Probe
from rattanroute.tools.soak_records import SoakLog
from rattanroute.tools.soak_route_clients import RouteClient

PROBE_INTERVAL_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 2.0
MAX_CHANGE_PAUSE_SECONDS = 1.2
CONTROL_TIMEOUT_SECONDS = 1.0
READ_PROBABILITY = 0.5
UNAVAILABLE = 503


@dataclasses.dataclass(kw_only=True)
class SoakOperator:
    """Changes and reads the configuration, and probes it on the fronts.

    Attributes:
        fleet: The processes.
        log: Records changes, reads and probes.
        random: Random number generator.
        route_client: Requests the routes of acknowledged versions.
        bursts: Planned bursts of changes, ordered by start time.
        version: Newest version sent.
    """

    fleet: SoakFleet
    log: SoakLog
    random: randoms.Random
    route_client: RouteClient
    bursts: tuple[PlannedBurst, ...] = ()
    version: int = 0

    async def run(self, is_finished: Callable[[], bool]) -> None:
        """Changes and reads the configuration until the soak is over."""
        start = time.monotonic()
        bursts = collections.deque(self.bursts)
        while not is_finished():
            if bursts and start + bursts[0].at <= time.monotonic():
                await self.send_burst(bursts.popleft(), is_finished)
                continue
            await self.change(is_finished)
            if self.random.random() < READ_PROBABILITY:
                await self.read(self.random.choice(self.fleet.core))
            pause_s = MAX_CHANGE_PAUSE_SECONDS * self.random.random()
            if bursts:
                next_s = start + bursts[0].at - time.monotonic()
                pause_s = max(0.0, min(pause_s, next_s))
            await asyncio.sleep(pause_s)

    async def send_burst(
        self, burst: PlannedBurst, is_finished: Callable[[], bool]
    ) -> None:
        """Sends changes at the interval of a burst, or slower if they wait."""
        ends_at = time.monotonic() + burst.seconds
        while not is_finished() and time.monotonic() < ends_at:
            next_at = time.monotonic() + burst.interval_s
            await self.change(is_finished)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    async def change(self, is_finished: Callable[[], bool]) -> None:
        """Sends the next version to core machines until one acknowledges it."""
        self.version += 1
        body = build_configuration(self.version, self.log.shape)
        for machine in itertools.cycle(self.fleet.core):
            if is_finished():
                return
            if await self.put(machine, body):
                acknowledgement = Acknowledgement(
                    version=self.version, at=time.monotonic()
                )
                self.log.acknowledgements.append(acknowledgement)
                self.route_client.start(acknowledgement)
                return
            await asyncio.sleep(THINK_SECONDS)

    async def put(self, machine: Machine, body: bytes) -> bool:
        """Sends a configuration and returns whether it was acknowledged."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self.fleet.client.put(
                machine.configuration_url, data=body, timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def read(self, machine: Machine) -> int:
        """Reads the configuration and returns its version, or 0 on failure."""
        sent_at = time.monotonic()
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        try:
            async with self.fleet.client.get(
                machine.configuration_url, timeout=timeout
            ) as response:
                if response.status != 200:
                    return 0
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0
        version = identify_version(content, self.version, self.log.shape)
        self.log.configuration_reads.append(
            ConfigurationRead(
                machine=machine.name,
                sent_at=sent_at,
                version=version,
                intact=version > 0,
            )
        )
        return version

    async def probe(self, front: Machine) -> None:
        """Probes the routes of recent versions on a front until cancelled."""
        for number in itertools.count():
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            acknowledged = self.log.acknowledgements
            if not acknowledged:
                continue
            newest = acknowledged[-1].version
            version = newest - number % (KEPT_VERSION_ROUTES + 1)
            if version > 0:
                await self.probe_version(front, version, number)

    async def probe_version(
        self, front: Machine, version: int, number: int
    ) -> None:
        """Sends a request on a version's route and records the result.

        An unavailable front (no answer, or status 503) gives no result.
        """
        request_id = f"probe-{front.name}-{number}"
        head = build_call(
            request_id,
            f"{build_version_prefix(version)}x",
            time_left_s=PROBE_TIMEOUT_SECONDS,
        )
        start_number = self.fleet.start_counts[front.name]
        sent_at = time.monotonic()
        answer = await send_once(
            front.front_address, head, PROBE_TIMEOUT_SECONDS
        )
        if answer is None or answer.status == UNAVAILABLE:
            return
        self.log.probes.append(
            Probe(
                front=front.name,
                start_number=start_number,
                version=version,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                served=answer.status != NOT_FOUND,
            )
        )


def identify_version(
    content: bytes, newest: int, shape: DeploymentShape
) -> int:
    """Returns the version with this configuration, or 0 if there is none."""
    version = read_version(content)
    if not 0 < version <= newest:
        return 0
    return version if content == build_configuration(version, shape) else 0
