"""Many clients that make a program of the platform hold memory.

The sizes of the crowds and the bounds are fixed: each crowd exceeded a bound
before the programs had a memory budget and a limit of client connections.
"""

import asyncio

from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import CONFIGURATION_PATH
from rattanroute.platform.trial_deployments import HOST
from rattanroute.platform.trial_deployments import PEER_PORT
from rattanroute.tests import crowd_patterns
from rattanroute.tests.integration.crowd_support import Crowd
from rattanroute.tests.integration.crowd_support import CrowdTestCase
from rattanroute.tests.integration.crowd_support import SETTLE_SECONDS

# Without a bound each head takes about 0.2 MB.
HEADS = 400
# Without a bound the bodies of two dozen clients fill the machine.
BODIES = 60
TINY_CHUNK_CLIENTS = 400
# Without a bound each client costs about 0.9 MB.
PIPELINING_CLIENTS = 120
# Without a bound each client costs 0.3 MB, as answers end the parsing earlier.
OTHER_PIPELINING_CLIENTS = 360
# Without a bound each client that has left costs up to 4 MB.
LEAVING_CLIENTS = 200
LEAVING_CROWDS = 10
LEAVE_SECONDS = 1.0
FEW_FDS = 420
IDLE_CLIENTS = 2 * FEW_FDS
METRICS_PORT = PEER_PORT + 1
SERVICE_PATH = f"/{CallKind.REPEATABLE.value}/x".encode()
CONTROL_PATH = CONFIGURATION_PATH.encode()


class FrontCrowdTest(CrowdTestCase):
    """Guards against a front that clients drive out of memory."""

    async def run_front_crowd(self, data: bytes, size: int) -> None:
        """Runs a crowd against the listener for clients."""
        crowd = Crowd(address=self.front.front_address, data=data, size=size)
        await self.run_crowd(self.front, crowd)

    async def test_heads_of_empty_lines(self) -> None:
        data = crowd_patterns.build_head(
            crowd_patterns.EMPTY_LINE, host=HOST, complete=True
        )
        await self.run_front_crowd(data, HEADS)

    async def test_heads_of_odd_lines(self) -> None:
        data = crowd_patterns.build_head(
            crowd_patterns.ODD_LINES, host=HOST, complete=True
        )
        await self.run_front_crowd(data, HEADS)

    async def test_heads_that_never_end(self) -> None:
        data = crowd_patterns.build_head(
            crowd_patterns.EMPTY_LINE, host=HOST, complete=False
        )
        await self.run_front_crowd(data, HEADS)

    async def test_large_chunks_that_never_end(self) -> None:
        data = crowd_patterns.build_large_chunk(SERVICE_PATH, HOST)
        await self.run_front_crowd(data, BODIES)

    async def test_tiny_chunks_that_never_end(self) -> None:
        data = crowd_patterns.build_tiny_chunks(SERVICE_PATH, HOST)
        await self.run_front_crowd(data, TINY_CHUNK_CLIENTS)

    async def test_pipelined_requests_without_a_route(self) -> None:
        data = crowd_patterns.build_pipelined(crowd_patterns.UNKNOWN_PATH, HOST)
        await self.run_front_crowd(data, PIPELINING_CLIENTS)


class LeavingCrowdTest(CrowdTestCase):
    """Guards against memory that crowds leave behind when they leave."""

    async def test_large_chunks(self) -> None:
        """What their kernel holds still arrives when they have left."""
        for _ in range(LEAVING_CROWDS):
            crowd = Crowd(
                address=self.front.front_address,
                data=crowd_patterns.build_large_chunk(SERVICE_PATH, HOST),
                size=LEAVING_CLIENTS,
                send_s=LEAVE_SECONDS,
            )
            await crowd.send()
            crowd.close()
        await asyncio.sleep(SETTLE_SECONDS)
        await self.check_bounds(self.front)
        await self.check_ordinary_request()


class OtherListenerCrowdTest(CrowdTestCase):
    """Guards against crowds at the other listeners of the programs."""

    async def test_metrics_that_are_not_read(self) -> None:
        data = crowd_patterns.build_pipelined(b"/metrics", HOST)
        address = f"{self.front.address}:{METRICS_PORT}"
        crowd = Crowd(address=address, data=data, size=OTHER_PIPELINING_CLIENTS)
        await self.run_crowd(self.front, crowd)

    async def test_control_bodies_that_never_end(self) -> None:
        machine = self.fleet.core[0]
        data = crowd_patterns.build_large_chunk(CONTROL_PATH, HOST)
        crowd = Crowd(address=machine.control_address, data=data, size=BODIES)
        await self.run_crowd(machine, crowd)

    async def test_control_requests_that_are_not_read(self) -> None:
        machine = self.fleet.core[0]
        data = crowd_patterns.build_pipelined(CONTROL_PATH, HOST)
        crowd = Crowd(
            address=machine.control_address,
            data=data,
            size=OTHER_PIPELINING_CLIENTS,
        )
        await self.run_crowd(machine, crowd)


class IdleCrowdTest(CrowdTestCase):
    """Guards against clients that take all descriptors of a program."""

    max_fds = FEW_FDS

    async def test_front(self) -> None:
        crowd = Crowd(
            address=self.front.front_address, data=b"", size=IDLE_CLIENTS
        )
        await self.run_crowd(self.front, crowd)

    async def test_control(self) -> None:
        machine = self.fleet.core[0]
        crowd = Crowd(
            address=machine.control_address, data=b"", size=IDLE_CLIENTS
        )
        await self.run_crowd(machine, crowd)

    async def test_metrics(self) -> None:
        address = f"{self.front.address}:{METRICS_PORT}"
        crowd = Crowd(address=address, data=b"", size=IDLE_CLIENTS)
        await self.run_crowd(self.front, crowd)
