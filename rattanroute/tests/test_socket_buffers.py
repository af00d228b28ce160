"""Tests of the kernel's buffers for the connections of clients."""

import asyncio
import socket
import unittest

from rattanroute.http1.connection_limits import derive_backlog
from rattanroute.http1.connection_limits import derive_max_connections
from rattanroute.http1.connection_limits import LISTENERS
from rattanroute.http1.connection_memory import STALL_SECONDS
from rattanroute.http1.exchanges import Exchange
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.memory_budgets import Eviction
from rattanroute.http1.memory_budgets import OVERRUN_RATIO
from rattanroute.http1.servers import SWEEP_INTERVAL_SECONDS
from rattanroute.http1.socket_buffers import derive_buffer_sizes
from rattanroute.http1.socket_buffers import LARGE_HELD_BYTES
from rattanroute.http1.socket_buffers import MAX_BUFFER_BYTES
from rattanroute.http1.socket_buffers import MIN_BUFFER_BYTES
from rattanroute.http1.socket_buffers import SocketBufferSizes
from rattanroute.tests import crowd_patterns
from rattanroute.tests.socket_meters import SOCKETS_FILE
from rattanroute.tests.socket_meters import sum_socket_bytes
from rattanroute.tests.test_client_pressure import BODY_BYTES
from rattanroute.tests.test_client_pressure import HELD_REQUEST
from rattanroute.tests.test_client_pressure import HOST
from rattanroute.tests.test_client_pressure import PressureTestCase
from rattanroute.tests.test_client_pressure import REQUEST

SMALL_VM_MB = 152
SMALL_VM_FDS = 2_870
LARGE_VM_MB = 64_000
UNUSED_IP = "127.9.8.7"
# What a connection holds at most with the smallest buffer.
MAX_HELD_BYTES = 2 * MIN_BUFFER_BYTES
LARGE_BUFFERS = 2
# With these sizes the kernel of the server holds 31 KB for each client.
SILENT_CLIENTS = 150
SILENT_BUFFER_BYTES = 65_536
RESPONSE_BYTES = 160_000


class DerivedSizeTest(unittest.TestCase):
    """Guards against buffers that exceed a machine together."""

    def derive(self, memory_mb: float, max_fds: int) -> SocketBufferSizes:
        """Returns the sizes of a machine."""
        return derive_buffer_sizes(
            memory_mb,
            connections=derive_max_connections(max_fds),
            waiting=LISTENERS * derive_backlog(max_fds),
        )

    def test_smallest_machine_with_most_descriptors(self) -> None:
        sizes = self.derive(SMALL_VM_MB, SMALL_VM_FDS)
        self.assertEqual(sizes.small_bytes, MIN_BUFFER_BYTES)
        self.assertGreater(sizes.large_buffers, LARGE_BUFFERS)

    def test_large_buffers_are_a_part_of_the_machine(self) -> None:
        for memory_mb in (96, SMALL_VM_MB, 222, 296):
            with self.subTest(memory_mb=memory_mb):
                sizes = self.derive(memory_mb, SMALL_VM_FDS)
                held_mb = sizes.large_buffers * LARGE_HELD_BYTES / 1_000_000
                self.assertLess(held_mb, 0.1 * memory_mb)

    def test_size_of_each_buffer_has_a_limit(self) -> None:
        for memory_mb in (0, LARGE_VM_MB):
            sizes = self.derive(memory_mb, SMALL_VM_FDS)
            self.assertEqual(sizes.small_bytes, MAX_BUFFER_BYTES)


class SmallBufferTest(PressureTestCase):
    """Guards against bytes that the kernel receives ahead of the process."""

    max_bytes = 12_000_000
    buffer_sizes = SocketBufferSizes(
        small_bytes=MIN_BUFFER_BYTES, large_buffers=LARGE_BUFFERS
    )

    def test_connection_that_is_not_read_holds_little(self) -> None:
        async def test() -> None:
            await self.connect(HELD_REQUEST + crowd_patterns.repeat(REQUEST))
            await self.wait_until_read(1)
            await asyncio.sleep(0.5)
            self.assertGreater(self.measure_held(), 0)
            self.assertLess(self.measure_held(), MAX_HELD_BYTES)

        self.run_test(test)

    def test_large_body_arrives_and_gives_its_buffer_back(self) -> None:
        async def test() -> None:
            start = crowd_patterns.build_start(b"POST", b"/", HOST)
            start += b"Content-Length: %d\r\n\r\n" % BODY_BYTES
            reader, writer = await self.connect(start)
            await self.wait_until(lambda: len(self.buffers.large) == 1)
            writer.write(b"x" * BODY_BYTES)
            await reader.readuntil(b"size %d;" % BODY_BYTES)
            self.assertFalse(self.buffers.large)

        self.run_test(test)

    def test_large_chunked_body(self) -> None:
        async def test() -> None:
            reader, writer = await self.connect(
                crowd_patterns.build_large_chunk(b"/", HOST)
            )
            await self.wait_until(lambda: len(self.buffers.large) == 1)
            writer.write(b"x\r\n0\r\n\r\n")
            await reader.readuntil(b"size %d;" % BODY_BYTES)
            self.assertFalse(self.buffers.large)

        self.run_test(test)

    def test_number_of_large_buffers_is_limited(self) -> None:
        """Guards against a crowd of bodies that never end."""

        async def test() -> None:
            start = crowd_patterns.build_start(b"POST", b"/", HOST)
            start += b"Content-Length: %d\r\n\r\n" % BODY_BYTES
            count = 4 * LARGE_BUFFERS
            clients = [await self.connect(start) for _ in range(count)]
            await self.wait_until(lambda: len(self.server.connections) == count)
            await asyncio.sleep(0.2)
            self.assertEqual(len(self.buffers.large), LARGE_BUFFERS)
            for _, writer in clients:
                writer.close()
            await self.wait_until(lambda: not self.server.connections)
            self.assertFalse(self.buffers.large)

        self.run_test(test)


class UnreadResponseTest(PressureTestCase):
    """Guards against responses that the kernel holds for idle clients."""

    max_bytes = 2_000_000
    buffer_sizes = SocketBufferSizes(
        small_bytes=MIN_BUFFER_BYTES, max_uncounted=LARGE_BUFFERS
    )

    async def answer(self, exchange: Exchange) -> None:
        """Answers with what the kernels of both sides take."""
        self.answered.append(exchange)
        exchange.send(ResponseHead(status=200), bytes(RESPONSE_BYTES))

    async def connect_silent(self, data: bytes) -> None:
        """Connects a client that sends bytes and reads nothing."""
        client = socket.socket()
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SILENT_BUFFER_BYTES
        )
        client.setblocking(False)
        self.addCleanup(client.close)
        port = self.server.listener.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, ("127.0.0.1", port))
        await loop.sock_sendall(client, data)
        await self.wait_until(self.is_all_written)

    def is_all_written(self) -> bool:
        """Returns whether all responses are in the kernel."""
        return not any(x.has_unsent(0) for x in self.server.connections)

    def test_clients_that_read_nothing_are_closed(self) -> None:
        async def test() -> None:
            for _ in range(SILENT_CLIENTS):
                await self.connect_silent(REQUEST)
            await self.wait_until_read(SILENT_CLIENTS)
            await asyncio.sleep(STALL_SECONDS + 2 * SWEEP_INTERVAL_SECONDS)
            self.assertLess(self.measure_held(), OVERRUN_RATIO * self.max_bytes)
            self.assertGreater(self.budget.evictions[Eviction.RESPONSE], 0)
            reader, _ = await self.connect(REQUEST)
            self.assertIn(b" 200 ", await reader.readline())

        self.run_test(test)


class SocketMeterTest(unittest.TestCase):
    """Guards against a meter that sees nothing."""

    def test_unused_address(self) -> None:
        table = SOCKETS_FILE.read_text(encoding="ascii")
        self.assertEqual(sum_socket_bytes(table, UNUSED_IP), 0)

    def test_both_directions_count(self) -> None:
        line = "0: 0708097F:1F90 0100007F:C350 01 00000010:00000100 00:0 0 0 0"
        table = "header\n" + line
        self.assertEqual(sum_socket_bytes(table, UNUSED_IP), 0x110)
        self.assertEqual(sum_socket_bytes(table, UNUSED_IP, port=8080), 0x110)
        self.assertEqual(sum_socket_bytes(table, UNUSED_IP, port=8081), 0)
