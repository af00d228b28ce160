"""Replicas of the platform that name the requests per second that they take."""

import asyncio
import itertools
import time

from rattanroute.platform.trial_deployments import CallKind
from rattanroute.tests.integration.platform_support import PlatformTestCase
from rattanroute.tools.soak_replicas import ReplicaOptions

LIMIT_PER_S = 2.0
WINDOW_SECONDS = 4.0
# The platform allows one and a half times the limit and five requests more,
# from the contact time after a replica first named it.
MAX_REQUESTS = 1.5 * LIMIT_PER_S * WINDOW_SECONDS + 5
CONTACT_SECONDS = 3.0
# Several times what all replicas take together.
INTERVAL_SECONDS = 0.02
LOAD_SECONDS = 10.0
BODY = b"a request"


class LimitedReplicaTest(PlatformTestCase):
    """Guards against fronts that together send more than a replica takes."""

    async def asyncSetUp(self) -> None:
        """Starts a deployment whose replicas all name a limit."""
        options = ReplicaOptions(limit_per_s=LIMIT_PER_S)
        await self.start_fleet(fronts=2, options=options)
        for front in self.fleet.fronts:
            await self.wait_for_success(front.ready_url)

    async def send_load(self, kind: CallKind) -> list[int]:
        """Sends requests through all fronts in turn; returns the statuses."""
        end = time.monotonic() + LOAD_SECONDS
        calls = []
        for number, front in enumerate(itertools.cycle(self.fleet.fronts)):
            if time.monotonic() > end:
                break
            name = f"{kind.value}-{number}"
            call = self.call(front, kind, BODY, name)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(INTERVAL_SECONDS)
        return await asyncio.gather(*calls)

    def find_most(self, kind: CallKind) -> int:
        """Returns the most requests of a replica in a window."""
        arrivals: dict[str, list[float]] = {}
        for record in self.fleet.read_records():
            if record.event == "arrival" and record.request_id.startswith(
                kind.value
            ):
                arrivals.setdefault(record.replica_id, []).append(record.at)
        most = 0
        for times in arrivals.values():
            times.sort()
            judged = [x for x in times if x >= times[0] + CONTACT_SECONDS]
            for end in judged:
                since = end - WINDOW_SECONDS
                most = max(most, sum(since < x <= end for x in times))
        return most

    async def check_load(self, kind: CallKind) -> None:
        """Checks the bound, and that what is not served is refused."""
        statuses = await self.send_load(kind)
        self.assertLessEqual(self.find_most(kind), MAX_REQUESTS)
        self.assertGreater(self.find_most(kind), 0)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertIn(200, statuses)
        self.assertIn(503, statuses)

    async def test_plain_service(self) -> None:
        await self.check_load(CallKind.REPEATABLE)

    async def test_engines(self) -> None:
        await self.check_load(CallKind.STREAM)
