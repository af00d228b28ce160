"""Clients of a soak that use the routes and keys of new versions at once."""

import asyncio
import dataclasses
import itertools
import time

from rattanroute.platform.trial_deployments import build_call
from rattanroute.platform.trial_deployments import build_kept_key
from rattanroute.platform.trial_deployments import build_kept_prefix
from rattanroute.platform.trial_deployments import Machine
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tools.soak_clients import send_once
from rattanroute.tools.soak_fleets import SoakFleet
from rattanroute.tools.soak_records import Acknowledgement
from rattanroute.tools.soak_records import RouteRequest
from rattanroute.tools.soak_records import SoakLog

REQUEST_TIMEOUT_SECONDS = 2.0
# From the time at which a change must be in force until its second request.
AFTER_BOUND_SECONDS = 0.05


@dataclasses.dataclass(kw_only=True)
class RouteClient:
    """Requests the route and uses the key that a version adds for good.

    Attributes:
        fleet: The processes.
        log: Records the requests.
        bounds: Limits of the soak.
        tasks: Requests that are under way or due later.
        numbers: Sequence numbers of the request identifiers.
    """

    fleet: SoakFleet
    log: SoakLog
    bounds: SoakBounds
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )

    def start(self, acknowledgement: Acknowledgement) -> None:
        """Starts the requests to all fronts for an acknowledged version."""
        for front in self.fleet.fronts:
            task = asyncio.create_task(self.request(front, acknowledgement))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """Cancels the requests that are left."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def request(
        self, front: Machine, acknowledgement: Acknowledgement
    ) -> None:
        """Sends a request at once, and one when the change must be in force."""
        await self.send(front, acknowledgement)
        due_at = acknowledgement.at + self.bounds.apply_s + AFTER_BOUND_SECONDS
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        await self.send(front, acknowledgement)

    async def send(
        self, front: Machine, acknowledgement: Acknowledgement
    ) -> None:
        """Sends a request; records its answer, if there is one."""
        version = acknowledgement.version
        head = build_call(
            f"new-{front.name}-{version}-{next(self.numbers)}",
            f"{build_kept_prefix(version)}x",
            time_left_s=REQUEST_TIMEOUT_SECONDS,
            key=build_kept_key(version),
        )
        sent_at = time.monotonic()
        answer = await send_once(
            front.front_address, head, REQUEST_TIMEOUT_SECONDS
        )
        if answer is None:
            return
        self.log.route_requests.append(
            RouteRequest(
                front=front.name,
                version=version,
                acknowledged_at=acknowledgement.at,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                status=answer.status,
            )
        )
