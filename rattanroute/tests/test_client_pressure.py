"""Tests over real sockets of clients that make the HTTP server hold memory."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
import unittest

import uvloop

from rattanroute.http1.connection_limits import CloseCause
from rattanroute.http1.connection_limits import ConnectionLimit
from rattanroute.http1.exchanges import Exchange
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.memory_budgets import Eviction
from rattanroute.http1.memory_budgets import MemoryBudget
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.parsers import SLICE_BYTES
from rattanroute.http1.servers import HttpServer
from rattanroute.http1.socket_buffers import SocketBuffers
from rattanroute.http1.socket_buffers import SocketBufferSizes
from rattanroute.tests import crowd_patterns
from rattanroute.tests.socket_meters import SOCKETS_FILE
from rattanroute.tests.socket_meters import sum_socket_bytes

HOST = "h"
REQUEST = crowd_patterns.build_start(b"GET", b"/", HOST) + b"\r\n"
HELD_REQUEST = crowd_patterns.build_start(b"GET", b"/held", HOST) + b"\r\n"
HEAD_BYTES = RequestLimits().max_head_bytes
BODY_BYTES = RequestLimits().max_body_bytes
SMALL_BUDGET_BYTES = 2_000_000
MANY_REQUESTS = 5_000
HELD_BODY_BYTES = 50_000
TEST_SECONDS = 60.0
STEP_SECONDS = 0.05
# More than the kernel buffers for a connection.
KERNEL_BYTES = 8_388_608

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class PressureTestCase(unittest.TestCase):
    """Runs each test with a server on the event loop of the programs."""

    max_bytes = SMALL_BUDGET_BYTES
    max_connections = 0
    buffer_sizes: SocketBufferSizes | None = None

    def run_test(self, test: Callable[[], Awaitable[None]]) -> None:
        """Runs a test with a server and closes all connections."""
        uvloop.run(self.run_with_server(test))

    async def run_with_server(
        self, test: Callable[[], Awaitable[None]]
    ) -> None:
        """Starts the server, runs a test and closes the server."""
        clock = asyncio.get_running_loop().time
        self.gate = asyncio.Event()
        self.answered: list[Exchange] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.budget = MemoryBudget(clock=clock, max_bytes=self.max_bytes)
        self.limit = ConnectionLimit(
            clock=clock, max_connections=self.max_connections
        )
        self.buffers = None
        if self.buffer_sizes is not None:
            self.buffers = SocketBuffers(sizes=self.buffer_sizes)
        self.server = HttpServer(
            handler=self.answer,
            limits=RequestLimits(),
            budget=self.budget,
            connection_limit=self.limit,
            buffers=self.buffers,
        )
        await self.server.start("127.0.0.1", 0)
        try:
            async with asyncio.timeout(TEST_SECONDS):
                await test()
        finally:
            for writer in self.writers:
                writer.close()
            await self.server.close()

    async def answer(self, exchange: Exchange) -> None:
        """Answers with the size of the body; `/held` waits for the gate."""
        self.answered.append(exchange)
        if exchange.request.head.target == b"/held":
            await self.gate.wait()
        text = b"size %d;" % len(exchange.request.body)
        exchange.send(ResponseHead(status=200), text)

    async def connect(self, data: bytes = b"") -> Streams:
        """Opens a connection and sends bytes."""
        port = self.server.listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.writers.append(writer)
        writer.write(data)
        return reader, writer

    def measure_held(self) -> int:
        """Returns the bytes in all sockets of the listener's port."""
        port = self.server.listener.sockets[0].getsockname()[1]
        table = SOCKETS_FILE.read_text(encoding="ascii")
        return sum_socket_bytes(table, "127.0.0.1", port=port)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        while not condition():
            await asyncio.sleep(STEP_SECONDS)

    async def wait_until_read(self, count: int) -> None:
        """Waits until handlers have received a number of requests."""
        await self.wait_until(lambda: len(self.answered) >= count)


class SingleRequestTest(PressureTestCase):
    """Guards against refusing one client within the limits."""

    max_bytes = 12_000_000

    def test_head_of_the_shortest_lines(self) -> None:
        async def test() -> None:
            start = crowd_patterns.build_start(b"GET", b"/", HOST)
            count = (HEAD_BYTES - len(start) - 2) // 4
            head = start + crowd_patterns.EMPTY_LINE * count + b"\r\n"
            for _ in range(3):
                reader, _ = await self.connect(head)
                self.assertIn(b" 200 ", await reader.readline())

        self.run_test(test)

    def test_largest_body(self) -> None:
        async def test() -> None:
            start = crowd_patterns.build_chunked_start(b"/", HOST)
            for size in (BODY_BYTES, 20_000, 64):
                with self.subTest(chunk=size):
                    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
                    count, rest = divmod(BODY_BYTES, size)
                    last = (
                        b"%x\r\n%b\r\n" % (rest, b"x" * rest) if rest else b""
                    )
                    data = start + chunk * count + last + b"0\r\n\r\n"
                    reader, _ = await self.connect(data)
                    await reader.readuntil(b"size %d;" % BODY_BYTES)

        self.run_test(test)


class LeavingClientTest(PressureTestCase):
    """Guards against requests that outlive their connections."""

    max_bytes = 12_000_000

    def test_incomplete_body_is_freed(self) -> None:
        """Guards against bodies that wait for the garbage collection."""

        async def test() -> None:
            data = crowd_patterns.build_large_chunk(b"/", HOST)
            _, writer = await self.connect(data)
            await self.wait_until(lambda: len(self.server.connections) == 1)
            (connection,) = self.server.connections
            await self.wait_until(
                lambda: connection.parser.received_bytes > BODY_BYTES // 2
            )
            writer.close()
            await self.wait_until(lambda: not self.server.connections)
            self.assertEqual(connection.parser.received_bytes, 0)

        self.run_test(test)


class BackPressureTest(PressureTestCase):
    """Guards against requests that are read before their turn."""

    def test_pipelined_requests_of_a_client_that_does_not_read(self) -> None:
        """Guards against a loss, too: all are answered once it reads."""

        async def test() -> None:
            reader, writer = await self.connect()
            # The client's stream reads 128 KB ahead, the kernel some more.
            writer.write(REQUEST * MANY_REQUESTS)
            await asyncio.sleep(10 * STEP_SECONDS)
            self.assertLess(self.budget.held_bytes, SMALL_BUDGET_BYTES / 2)
            for _ in range(MANY_REQUESTS):
                await reader.readuntil(b"size 0;")
            self.assertEqual(len(self.answered), MANY_REQUESTS)
            await asyncio.sleep(STEP_SECONDS)
            self.assertLess(self.budget.held_bytes, SMALL_BUDGET_BYTES / 100)

        self.run_test(test)

    def test_requests_behind_an_open_one_are_not_parsed(self) -> None:
        async def test() -> None:
            _, writer = await self.connect(HELD_REQUEST)
            writer.write(REQUEST * MANY_REQUESTS)
            await self.wait_until_read(1)
            await asyncio.sleep(2 * STEP_SECONDS)
            (connection,) = self.server.connections
            self.assertFalse(connection.parser.requests)
            # The kernel keeps what exceeds one read of the transport.
            self.assertLess(self.budget.held_bytes, 600_000)

        self.run_test(test)

    def test_end_of_a_read_does_not_keep_all_of_it(self) -> None:
        """Guards against memory that is held and not counted."""

        async def test() -> None:
            size = 200_000
            head = crowd_patterns.build_start(b"POST", b"/", HOST)
            head += b"Content-Length: %d\r\n\r\n" % size
            data = head + b"x" * size + HELD_REQUEST + REQUEST
            await self.connect(data)
            await self.wait_until_read(2)
            (connection,) = self.server.connections
            (rest,) = connection.reader.unread
            held = rest.obj if isinstance(rest, memoryview) else rest
            self.assertLessEqual(len(held), SLICE_BYTES)
            self.assertLess(self.budget.held_bytes, size)

        self.run_test(test)

    def test_pipelined_requests_in_a_planned_stop(self) -> None:
        """Guards against requests that were read and get no answer."""

        async def test() -> None:
            reader, _ = await self.connect(HELD_REQUEST + REQUEST * 100)
            await self.wait_until_read(1)
            self.server.start_draining()
            self.server.stop_accepting()
            self.gate.set()
            data = await reader.read()
            self.assertEqual(data.count(b"size 0;"), 101)
            self.assertEqual(data.count(b"Connection: close"), 1)

        self.run_test(test)


class RefusalTest(PressureTestCase):
    """Guards against refusals of requests that run."""

    def test_open_request_is_answered_and_the_next_refused(self) -> None:
        async def test() -> None:
            reader, writer = await self.connect(HELD_REQUEST)
            await self.wait_until_read(1)
            writer.write(REQUEST * MANY_REQUESTS)
            # Each body is smaller than what follows the first request.
            while not self.budget.evictions[Eviction.FOLLOWING]:
                await self.hold_body(HELD_BODY_BYTES)
            self.assertFalse(self.budget.evictions[Eviction.REQUEST])
            self.gate.set()
            await reader.readuntil(b"size 0;")
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b" 503 ", head)
            self.assertIn(b"Retry-After: ", head)
            self.assertEqual(await reader.read(), b"")

        self.run_test(test)

    async def hold_body(self, size: int) -> Streams:
        """Sends a request whose answer waits for the gate."""
        count = len(self.answered)
        head = crowd_patterns.build_start(b"POST", b"/held", HOST)
        head += b"Content-Length: %d\r\n\r\n" % size
        streams = await self.connect(head + b"x" * size)
        await self.wait_until_read(count + 1)
        return streams

    def test_requests_that_run_are_never_refused(self) -> None:
        async def test() -> None:
            size = SMALL_BUDGET_BYTES // 5
            running = [await self.hold_body(size) for _ in range(2)]
            # A request that was not handed over gives way.
            head = crowd_patterns.build_start(b"POST", b"/held", HOST)
            head += b"Content-Length: %d\r\n\r\n" % size
            late_reader, _ = await self.connect(head + b"x" * size)
            self.assertIn(b" 503 ", await late_reader.readline())
            self.assertEqual(len(self.answered), 2)
            self.gate.set()
            for reader, _ in running:
                await reader.readuntil(b"size %d;" % size)

        self.run_test(test)

    def test_ordinary_request_beside_a_crowd(self) -> None:
        async def test() -> None:
            data = crowd_patterns.build_head(
                crowd_patterns.ODD_LINES, host=HOST, complete=False
            )
            for _ in range(100):
                await self.connect(data)
            reader, _ = await self.connect(REQUEST)
            await reader.readuntil(b"size 0;")
            self.assertLessEqual(
                self.budget.held_bytes, 1.25 * SMALL_BUDGET_BYTES
            )
            self.assertTrue(self.budget.evictions[Eviction.REQUEST])

        self.run_test(test)

    def test_closed_connections_hold_nothing(self) -> None:
        async def test() -> None:
            data = crowd_patterns.build_large_chunk(b"/", HOST)
            for _ in range(5):
                await self.connect(data)
            await self.connect(REQUEST * MANY_REQUESTS)
            await asyncio.sleep(STEP_SECONDS)
            for writer in self.writers:
                writer.close()
            await self.wait_until(lambda: not self.server.connections)
            self.assertEqual(self.budget.held_bytes, 0)
            self.assertFalse(self.limit.connections)

        self.run_test(test)


class StallingClientTestCase(PressureTestCase):
    """Adds clients that do not read, and a budget that they do not reach."""

    max_bytes = 100 * KERNEL_BYTES

    async def stall(self, data: bytes) -> socket.socket:
        """Sends requests on a connection that is not read."""
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        listener = self.server.listener.sockets[0]
        await loop.sock_connect(client, listener.getsockname())
        await loop.sock_sendall(client, data)
        return client


class StalledReaderTest(StallingClientTestCase):
    """Guards against responses that wait in memory for ever."""

    async def answer(self, exchange: Exchange) -> None:
        """Answers with more than the kernel takes."""
        self.answered.append(exchange)
        size = 2 * KERNEL_BYTES if exchange.request.head.target == b"/" else 0
        exchange.send(ResponseHead(status=200), bytes(size))

    def test_response_of_a_stalled_client_gives_way(self) -> None:
        async def test() -> None:
            await self.stall(REQUEST)
            await self.wait_until_read(1)
            await self.wait_until(lambda: self.budget.held_bytes > KERNEL_BYTES)
            (stalled,) = self.server.connections
            await self.wait_until(lambda: stalled.memory.is_stalled)
            self.budget.max_bytes = self.budget.held_bytes + BODY_BYTES
            head = crowd_patterns.build_start(b"POST", b"/other", HOST)
            head += b"Content-Length: %d\r\n\r\n" % BODY_BYTES
            reader, _ = await self.connect(head + bytes(BODY_BYTES))
            self.assertIn(b" 200 ", await reader.readline())
            self.assertEqual(self.budget.evictions[Eviction.RESPONSE], 1)
            await self.wait_until(
                lambda: stalled not in self.server.connections
            )

        self.run_test(test)

    def test_client_that_pipelines_and_never_reads(self) -> None:
        """Guards against a connection that no timeout ends."""

        async def test() -> None:
            self.server.limits.idle_timeout_s = 1.0
            await self.stall(REQUEST * 3)
            await self.wait_until_read(1)
            await self.wait_until(lambda: not self.server.connections)
            self.assertEqual(len(self.answered), 1)
            self.assertEqual(self.budget.held_bytes, 0)

        self.run_test(test)

    def test_stalled_clients_give_their_descriptors_to_new_ones(self) -> None:
        """Guards against closes that wait for a client that never reads."""

        async def test() -> None:
            self.limit.max_connections = 2
            for _ in range(self.limit.max_connections):
                await self.stall(REQUEST * 3)
            await self.wait_until(
                lambda: (
                    sum(x.awaits_reader for x in self.server.connections) == 2
                )
            )
            stalled = set(self.server.connections)
            await self.connect()
            await self.wait_until(
                lambda: not stalled <= self.server.connections
            )
            self.assertEqual(self.limit.closed[CloseCause.PIPELINED], 1)

        self.run_test(test)


class BrokenResponseTest(StallingClientTestCase):
    """Guards against broken responses whose connections stay open."""

    async def answer(self, exchange: Exchange) -> None:
        """Breaks off a response of which the kernel takes only a part."""
        self.answered.append(exchange)
        exchange.start(ResponseHead(status=200))
        exchange.write(bytes(2 * KERNEL_BYTES))
        exchange.abort()

    def test_client_that_never_reads(self) -> None:
        async def test() -> None:
            self.server.limits.idle_timeout_s = 1.0
            await self.stall(REQUEST)
            await self.wait_until_read(1)
            await self.wait_until(lambda: not self.server.connections)
            self.assertEqual(self.budget.held_bytes, 0)

        self.run_test(test)


class ConnectionsTest(PressureTestCase):
    """Guards against a flood of clients that locks ordinary ones out."""

    max_connections = 10

    def test_idle_connections_close_for_new_ones(self) -> None:
        async def test() -> None:
            busy_reader, _ = await self.connect(HELD_REQUEST)
            await self.wait_until_read(1)
            for _ in range(30):
                await self.connect()
            reader, _ = await self.connect(REQUEST)
            await reader.readuntil(b"size 0;")
            self.assertLessEqual(
                len(self.server.connections), self.max_connections
            )
            self.gate.set()
            await busy_reader.readuntil(b"size 0;")
            self.assertTrue(self.limit.closed[CloseCause.IDLE])

        self.run_test(test)

    def test_heads_that_never_end_close_for_new_ones(self) -> None:
        async def test() -> None:
            for _ in range(30):
                await self.connect(b"GET / HTTP/1.1\r\n")
                await asyncio.sleep(0)
            await asyncio.sleep(STEP_SECONDS)
            reader, _ = await self.connect(REQUEST)
            await reader.readuntil(b"size 0;")

        self.run_test(test)

    def test_new_connection_is_refused_if_all_others_wait(self) -> None:
        async def test() -> None:
            readers = []
            for _ in range(self.max_connections):
                reader, _ = await self.connect(HELD_REQUEST)
                readers.append(reader)
            await self.wait_until_read(self.max_connections)
            reader, _ = await self.connect()
            head = await reader.read()
            self.assertIn(b" 503 ", head)
            self.assertIn(b"Retry-After: ", head)
            self.gate.set()
            for reader in readers:
                await reader.readuntil(b"size 0;")

        self.run_test(test)
