"""Askers and targets of tunnels that hold memory and descriptors.

The sizes of the crowds and the bounds are fixed. The tests check no times, as
these depend on the load of the machine.
"""

import asyncio
import contextlib
import resource
import sys
import time
import unittest

from rattanroute.systems.target_links import TunnelReply
from rattanroute.tests.untrusted_clients import ProcessMeter
from rattanroute.tests.untrusted_clients import UntrustedCrowd
from rattanroute.tools.cluster_hosts import reserve_network
from rattanroute.tunnels.frames import encode_command

TUNNEL_PORT = 8090
ECHO_PORT = 9001
ENDLESS_PORT = 9002
SILENT_PORT = 9003
READ_BYTES = 65_536
TRIAL = b"one ordinary request"
START_SECONDS = 60.0
ANSWER_SECONDS = 60.0
ATTEMPT_SECONDS = 5.0
RETRY_SECONDS = 0.2
# Two for each of the tunnels that a server allows, and some more.
MAX_DESCRIPTORS = 700
MAX_GROWTH_MB = 16.0


class TunnelCrowdTest(unittest.IsolatedAsyncioTestCase):
    """Guards against buffers and descriptors without a bound."""

    async def asyncSetUp(self) -> None:
        lock, network = reserve_network()
        self.addCleanup(lock.close)
        self.host = f"{network}.1.1"
        self.writers: set[asyncio.StreamWriter] = set()
        await self.start_target(ECHO_PORT, self.echo)
        await self.start_target(ENDLESS_PORT, self.send_endlessly)
        await self.start_target(SILENT_PORT, self.read_nothing)
        await self.start_server()
        await self.check_answer()

    async def start_target(self, port: int, serve: object) -> None:
        """Starts a target in this process."""
        server = await asyncio.start_server(
            serve, self.host, port, limit=1, backlog=1024
        )
        self.addAsyncCleanup(self.close_target, server)

    async def close_target(self, server: asyncio.Server) -> None:
        """Closes a target and its connections."""
        server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends back what arrives."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                writer.write(data)
                await writer.drain()
        writer.close()

    async def send_endlessly(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends without end, also before anything is asked."""
        self.writers.add(writer)
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(bytes(READ_BYTES))
                await writer.drain()

    async def read_nothing(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Keeps the connection open and reads nothing."""
        self.writers.add(writer)

    async def start_server(self) -> None:
        """Starts the process with the tunnel server."""
        ports = (ECHO_PORT, ENDLESS_PORT, SILENT_PORT)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, hard))
        try:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rattanroute.tests.tunnel_processes",
                self.host,
                str(TUNNEL_PORT),
                *(f"{self.host}:{port}" for port in ports),
            )
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self.addAsyncCleanup(self.stop_server)

    async def stop_server(self) -> None:
        """Kills the process with the tunnel server."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    async def check_answer(self) -> None:
        """Checks that a tunnel to a target works, after retries."""
        ends_at = time.monotonic() + ANSWER_SECONDS
        while (seen := await self.ask()) != TRIAL:
            self.assertLess(time.monotonic(), ends_at, seen)
            await asyncio.sleep(RETRY_SECONDS)

    async def ask(self) -> bytes | str:
        """Sends bytes through a tunnel; returns what comes back."""
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                return await self.exchange()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            return repr(error)

    async def exchange(self) -> bytes | str:
        """Opens a tunnel to the echo target and exchanges a few bytes."""
        reader, writer = await asyncio.open_connection(self.host, TUNNEL_PORT)
        try:
            writer.write(self.build_command(ECHO_PORT))
            reply = await reader.readexactly(1)
            if reply != TunnelReply.CONNECTED.value:
                return repr(reply)
            writer.write(TRIAL)
            size = int.from_bytes(await reader.readexactly(4))
            return await reader.readexactly(size)
        finally:
            writer.close()

    def build_command(self, port: int) -> bytes:
        """Returns the command that asks for a target."""
        return encode_command(f"{self.host}:{port}")

    async def check_crowd(
        self,
        *,
        count: int,
        data: bytes,
        command: bytes = b"",
        waves: int = 1,
    ) -> None:
        """Checks the bounds under a crowd, and an answer beside and after.

        Args:
            count: Number of connections in each wave.
            data: Bytes that each sends.
            command: Bytes that are sent before, and answered with one byte.
            waves: Number of waves, of which the first ones stay open.
        """
        async with ProcessMeter(self.process.pid) as meter:
            async with UntrustedCrowd(
                host=self.host, port=TUNNEL_PORT
            ) as crowd:
                for _ in range(waves):
                    await crowd.send(count=count, data=data, command=command)
                await self.check_answer()
            await self.check_answer()
            meter.take_sample()
        self.assertIsNone(self.process.returncode)
        print(
            f"{self.id().rpartition('.')[2]}: {meter.growth_mb:.1f} MB, "
            f"{meter.peak_descriptors} descriptors"
        )
        self.assertLess(meter.growth_mb, MAX_GROWTH_MB)
        self.assertLess(meter.peak_descriptors, MAX_DESCRIPTORS)

    async def test_unread_answers(self) -> None:
        command = self.build_command(ENDLESS_PORT)
        await self.check_crowd(count=200, data=b"", command=command)

    async def test_target_that_reads_nothing(self) -> None:
        command = self.build_command(SILENT_PORT)
        data = bytes(8_000_000)
        await self.check_crowd(count=60, data=data, command=command)

    async def test_bytes_behind_the_command(self) -> None:
        data = self.build_command(SILENT_PORT) + bytes(1_000_000)
        await self.check_crowd(count=200, data=data)

    async def test_idle_tunnels(self) -> None:
        """Guards against tunnels that nobody uses and that exclude others."""
        command = self.build_command(SILENT_PORT)
        await self.check_crowd(count=80, data=b"", command=command, waves=6)

    async def test_silent_connections(self) -> None:
        """Guards against connections that ask for nothing."""
        await self.check_crowd(count=900, data=b"")
