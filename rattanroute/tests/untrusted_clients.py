"""Crowds of clients that hold memory and descriptors of a process."""

import asyncio
import contextlib
import pathlib
import socket
from typing import Self

import psutil

MEGABYTE = 1_000_000
SMALL_BUFFER_BYTES = 4096
WRITE_BYTES = 65_536
SEND_SECONDS = 30.0
CONNECT_SECONDS = 10.0
# The kernel completes connections before the process accepts them.
SETTLE_SECONDS = 2.0
SAMPLE_SECONDS = 0.05


class UntrustedCrowd:
    """Connections that send fixed bytes, read nothing and stay open.

    Args:
        host: IP address of the listener.
        port: Its port.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.sockets: list[socket.socket] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *error: object) -> None:
        for found in self.sockets:
            found.close()

    async def send(
        self, *, count: int, data: bytes, command: bytes = b""
    ) -> None:
        """Opens connections and sends each the same bytes, as far as it can.

        Refused and closed connections are part of what a listener may do.

        Args:
            count: Number of connections.
            data: Bytes that each sends.
            command: Bytes that are sent before, and answered with one byte.
        """
        await asyncio.gather(
            *(self.send_one(command, data) for _ in range(count))
        )
        await asyncio.sleep(SETTLE_SECONDS)

    async def send_one(self, command: bytes, data: bytes) -> None:
        """Opens one connection and sends bytes until they are not taken."""
        loop = asyncio.get_running_loop()
        found = socket.socket()
        self.sockets.append(found)
        found.setblocking(False)
        found.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.sock_connect(found, (self.host, self.port))
                if command:
                    await loop.sock_sendall(found, command)
                    await loop.sock_recv(found, 1)
            async with asyncio.timeout(SEND_SECONDS):
                for start in range(0, len(data), WRITE_BYTES):
                    await loop.sock_sendall(
                        found, data[start : start + WRITE_BYTES]
                    )


class ProcessMeter:
    """Measures memory and descriptors of a process while it is used.

    Attributes:
        start_bytes: Resident memory when the measurement started.
        peak_bytes: Highest resident memory since.
        peak_descriptors: Highest number of open descriptors since.
    """

    def __init__(self, pid: int) -> None:
        self.process = psutil.Process(pid)
        self.start_bytes = self.process.memory_info().rss
        self.peak_bytes = self.start_bytes
        self.peak_descriptors = self.process.num_fds()
        self.task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self.task = asyncio.create_task(self.run())
        return self

    async def __aexit__(self, *error: object) -> None:
        self.task.cancel()

    async def run(self) -> None:
        """Takes samples until the process ends."""
        with contextlib.suppress(psutil.Error):
            while True:
                self.take_sample()
                await asyncio.sleep(SAMPLE_SECONDS)

    def take_sample(self) -> None:
        """Takes one sample; the kernel keeps the peak of the memory."""
        self.peak_bytes = max(self.peak_bytes, self.read_peak())
        self.peak_descriptors = max(
            self.peak_descriptors, self.process.num_fds()
        )

    def read_peak(self) -> int:
        """Returns the highest resident memory since the process started."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text(encoding="ascii").splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024
        return self.process.memory_info().rss

    @property
    def growth_mb(self) -> float:
        """Growth of the resident memory at its peak, in MB."""
        return (self.peak_bytes - self.start_bytes) / MEGABYTE
