"""Many clients that send requests ahead and read no response.

The sizes of the crowd and the bounds are fixed: with sockets whose buffers were
not limited, each crowd exceeded the memory of the machine.
"""

import asyncio

from rattanroute.http1.heads import RequestHead
from rattanroute.platform.trial_deployments import build_call
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import CONFIGURATION_PATH
from rattanroute.platform.trial_deployments import CONTROL_PORT
from rattanroute.platform.trial_deployments import FRONT_PORT
from rattanroute.platform.trial_deployments import HOST
from rattanroute.platform.trial_deployments import Machine
from rattanroute.platform.trial_deployments import READY_PATH
from rattanroute.platform.trial_deployments import READY_PORT
from rattanroute.tests import crowd_patterns
from rattanroute.tests.integration.crowd_support import Crowd
from rattanroute.tests.integration.crowd_support import CrowdTestCase
from rattanroute.tests.integration.crowd_support import MAX_MEMORY_MB
from rattanroute.tests.integration.test_client_crowds import METRICS_PORT
from rattanroute.tests.socket_meters import BYTES_PER_MB
from rattanroute.tests.socket_meters import MachineMeter

CLIENTS = 400
FEW_FDS = 420
MORE_CLIENTS = 2 * FEW_FDS
SERVICE_PATH = f"/{CallKind.REPEATABLE.value}/x"
TIME_LEFT_SECONDS = 3.0


def encode_call(head: RequestHead) -> bytes:
    """Returns a request without a body."""
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in head.headers]
    return b"\r\n".join(lines) + b"\r\nContent-Length: 0\r\n\r\n"


class PipeliningTestCase(CrowdTestCase):
    """Base of tests that also count the bytes in the machine's sockets."""

    async def run_pipelining(
        self,
        request: bytes,
        *,
        port: int = FRONT_PORT,
        machine: Machine | None = None,
        size: int = CLIENTS,
    ) -> None:
        """Runs a crowd that sends one request again and again.

        Args:
            request: The request.
            port: Port of the program; by default that for clients.
            machine: Machine of the program; by default a front.
            size: Number of clients.
        """
        machine = machine or self.front
        crowd = Crowd(
            address=f"{machine.address}:{port}",
            data=crowd_patterns.repeat(request),
            size=size,
        )
        await self.run_crowd(machine, crowd)

    async def run_crowd(self, machine: Machine, crowd: Crowd) -> None:
        """Runs a crowd while the memory of the machine is measured."""
        pid = self.fleet.processes[machine.name].pid
        self.meter = MachineMeter(pid=pid, ip=machine.address)
        sampling = asyncio.create_task(self.meter.run())
        await super().run_crowd(machine, crowd)
        sampling.cancel()

    async def check_bounds(self, machine: Machine) -> None:
        """Checks that a program and its sockets fit into its machine."""
        await super().check_bounds(machine)
        peak_mb = self.meter.peak_bytes / BYTES_PER_MB
        self.assertLess(peak_mb, MAX_MEMORY_MB, self.meter.describe())


class BareRequestTest(PipeliningTestCase):
    """Guards against requests without the usual headers, sent ahead."""

    async def test_get_at_a_route(self) -> None:
        await self.run_pipelining(
            crowd_patterns.build_with_host(b"GET", SERVICE_PATH.encode(), HOST)
        )

    async def test_post_at_a_route(self) -> None:
        await self.run_pipelining(
            crowd_patterns.build_with_host(b"POST", SERVICE_PATH.encode(), HOST)
        )

    async def test_no_header_at_all(self) -> None:
        await self.run_pipelining(crowd_patterns.build_bare(b"GET", b"/"))


class ReadyPathTest(PipeliningTestCase):
    """Guards against readiness checks that are sent ahead."""

    async def test_at_the_ready_address(self) -> None:
        request = crowd_patterns.build_bare(b"GET", READY_PATH.encode())
        await self.run_pipelining(request, port=READY_PORT)

    async def test_at_the_address_for_clients(self) -> None:
        request = crowd_patterns.build_bare(b"GET", READY_PATH.encode())
        await self.run_pipelining(request)

    async def test_another_path_at_the_ready_address(self) -> None:
        request = crowd_patterns.build_bare(b"GET", crowd_patterns.UNKNOWN_PATH)
        await self.run_pipelining(request, port=READY_PORT)


class UnknownRouteTest(PipeliningTestCase):
    """Guards against requests without a route, sent ahead."""

    async def test_without_the_usual_headers(self) -> None:
        await self.run_pipelining(
            crowd_patterns.build_with_host(
                b"GET", crowd_patterns.UNKNOWN_PATH, HOST
            )
        )

    async def test_with_the_usual_headers(self) -> None:
        head = build_call(
            "ahead",
            crowd_patterns.UNKNOWN_PATH.decode(),
            time_left_s=TIME_LEFT_SECONDS,
        )
        await self.run_pipelining(encode_call(head))


class OtherListenerTest(PipeliningTestCase):
    """Guards against requests sent ahead at the other listeners."""

    async def test_metrics(self) -> None:
        request = crowd_patterns.build_bare(b"GET", b"/metrics")
        await self.run_pipelining(request, port=METRICS_PORT)

    async def test_control(self) -> None:
        request = crowd_patterns.build_bare(b"GET", CONFIGURATION_PATH.encode())
        await self.run_pipelining(
            request, port=CONTROL_PORT, machine=self.fleet.core[0]
        )


class FewDescriptorsTest(PipeliningTestCase):
    """Guards against requests sent ahead on more connections than allowed."""

    max_fds = FEW_FDS

    async def test_unknown_route(self) -> None:
        request = crowd_patterns.build_bare(b"GET", crowd_patterns.UNKNOWN_PATH)
        await self.run_pipelining(request, size=MORE_CLIENTS)

    async def test_ready_address(self) -> None:
        request = crowd_patterns.build_bare(b"GET", READY_PATH.encode())
        await self.run_pipelining(request, port=READY_PORT, size=MORE_CLIENTS)
