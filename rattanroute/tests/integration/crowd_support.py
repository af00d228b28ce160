"""Base of tests in which many clients make a program hold memory."""

import asyncio
import contextlib
import os
import pathlib
import socket

from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import Machine
from rattanroute.tests.integration.platform_support import PlatformTestCase
from rattanroute.tests.integration.platform_support import POLL_SECONDS
from rattanroute.tests.integration.platform_support import START_SECONDS

# Size of the machines. A front takes about 45 MB without clients.
MEMORY_MB = 96
MAX_MEMORY_MB = 0.9 * MEMORY_MB
# Descriptors of a machine in the tests of the memory; more than a crowd takes.
MANY_FDS = 1_535
KIBIBYTES_PER_MB = 1_000_000 / 1_024
# The program is stopped until the kernel holds the first bytes of all clients,
# so that it reads them at the same time on each run.
FREEZE_SECONDS = 0.5
# Within this time the clients send what the program reads. What it does not
# read stays unsent.
SEND_SECONDS = 10.0
# What the kernel holds then is read and handled within this time, or later.
SETTLE_SECONDS = 3.0
RECEIVE_BUFFER_BYTES = 4_096


class Crowd:
    """Clients that send the same bytes and read nothing.

    Args:
        address: Address that they connect to, as `IP:port`.
        data: What each of them sends.
        size: Number of clients.
        send_s: Seconds in which they send.
    """

    def __init__(
        self,
        *,
        address: str,
        data: bytes,
        size: int,
        send_s: float = SEND_SECONDS,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.data = data
        self.size = size
        self.send_s = send_s
        self.sockets: list[socket.socket] = []

    async def send(self) -> None:
        """Connects all clients; each sends until nothing more is read."""
        for _ in range(self.size):
            client = socket.socket()
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            client.setblocking(False)
            self.sockets.append(client)
        tasks = [asyncio.create_task(self.run(x)) for x in self.sockets]
        _, pending = await asyncio.wait(tasks, timeout=self.send_s)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run(self, client: socket.socket) -> None:
        """Connects a client and sends; the program may refuse either."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_connect(client, self.address)
            await loop.sock_sendall(client, self.data)

    def close(self) -> None:
        """Closes all clients."""
        for client in self.sockets:
            client.close()


class CrowdTestCase(PlatformTestCase):
    """Runs crowds against the programs of small machines.

    A crowd may be refused or disconnected. The program must keep running
    within the memory and the descriptors of its machine, and must answer an
    ordinary request while the crowd is still connected and afterwards.

    Attributes:
        max_fds: Descriptors of each machine.
    """

    max_fds = MANY_FDS

    async def asyncSetUp(self) -> None:
        """Starts a deployment of small machines."""
        await self.start_fleet(
            limits={"memoryMb": MEMORY_MB, "maxFds": self.max_fds}
        )
        self.front = self.fleet.fronts[0]
        self.most_fds = 0
        await self.wait_for_success(self.front.ready_url)
        await self.check_ordinary_request()

    async def run_crowd(self, machine: Machine, crowd: Crowd) -> None:
        """Runs a crowd against a program and checks the program.

        Args:
            machine: Machine of the program.
            crowd: Clients that connect to the program.
        """
        self.addCleanup(crowd.close)
        counter = asyncio.create_task(self.count_fds(machine))
        self.fleet.freeze(machine.name)
        sending = asyncio.create_task(crowd.send())
        await asyncio.sleep(FREEZE_SECONDS)
        self.fleet.thaw(machine.name)
        await sending
        await asyncio.sleep(SETTLE_SECONDS)
        await self.check_bounds(machine)
        await self.check_ordinary_request()
        crowd.close()
        await self.check_ordinary_request()
        await self.check_bounds(machine)
        counter.cancel()

    async def count_fds(self, machine: Machine) -> None:
        """Records the largest number of descriptors of a program."""
        pid = self.fleet.processes[machine.name].pid
        with contextlib.suppress(FileNotFoundError):
            while True:
                count = len(os.listdir(f"/proc/{pid}/fd"))
                self.most_fds = max(self.most_fds, count)
                await asyncio.sleep(POLL_SECONDS / 10)

    async def check_bounds(self, machine: Machine) -> None:
        """Checks that a program runs and has stayed within its machine."""
        process = self.fleet.processes[machine.name]
        self.assertIsNone(process.returncode)
        peak_mb = read_peak_memory_mb(process.pid)
        self.assertLess(peak_mb, MAX_MEMORY_MB, f"peak {peak_mb:.0f} MB")
        self.assertLess(self.most_fds, self.max_fds)

    async def check_ordinary_request(self) -> None:
        """Checks that an ordinary client gets an answer, after retries."""
        async with asyncio.timeout(START_SECONDS):
            while await self.send_ordinary_request() != 200:
                await asyncio.sleep(POLL_SECONDS)

    async def send_ordinary_request(self) -> int:
        """Sends a request to the front; returns the status, 0 if unanswered."""
        return await self.call(
            self.front, CallKind.REPEATABLE, b"ordinary", "ordinary"
        )


def read_peak_memory_mb(pid: int) -> float:
    """Returns the largest resident memory of a process so far, in MB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = (x for x in status.splitlines() if x.startswith("VmHWM:"))
    return int(line.split()[1]) / KIBIBYTES_PER_MB
