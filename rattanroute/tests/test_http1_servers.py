"""Tests of the HTTP/1.1 server."""

import asyncio
import unittest

from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.http1.servers import HttpServer

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
BEGUN_REQUEST = b"GET /begun HTTP/1.1\r\nHost: h\r\n\r\n"


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a server that delays its responses until `gate` is set."""

    async def asyncSetUp(self) -> None:
        """Starts the server."""
        self.gate = asyncio.Event()
        self.limits = RequestLimits(idle_timeout_s=0.5, head_timeout_s=0.5)
        self.server = HttpServer(handler=self.answer, limits=self.limits)
        await self.server.start("127.0.0.1", 0)
        self.port = self.server.listener.sockets[0].getsockname()[1]
        self.arrived = 0

    async def asyncTearDown(self) -> None:
        """Closes the server."""
        await self.server.close()

    async def answer(self, exchange: Exchange) -> None:
        """Answers a request once `gate` is set."""
        self.arrived += 1
        await self.gate.wait()
        exchange.send(ResponseHead(status=200), b"done")

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def wait_for_arrivals(self, count: int) -> None:
        """Waits until a number of requests have arrived."""
        async with asyncio.timeout(2):
            while self.arrived < count:
                await asyncio.sleep(0.01)


class ShutdownTest(ServerTestCase):
    """Guards against requests lost in a planned shutdown."""

    async def test_open_request_is_answered_and_idle_connections_close(
        self,
    ) -> None:
        busy_reader, busy_writer = await self.connect()
        idle_reader, _ = await self.connect()
        busy_writer.write(REQUEST)
        await self.wait_for_arrivals(1)
        self.server.start_draining()
        self.server.stop_accepting()
        self.assertEqual(await idle_reader.read(), b"")
        self.assertFalse(self.server.empty.is_set())
        self.gate.set()
        data = await busy_reader.read()
        self.assertTrue(data.endswith(b"done"))
        self.assertIn(b"Connection: close", data)
        async with asyncio.timeout(1):
            await self.server.empty.wait()

    async def test_request_on_an_open_connection_is_answered(self) -> None:
        reader, writer = await self.connect()
        self.gate.set()
        self.server.start_draining()
        writer.write(REQUEST)
        data = await reader.read()
        self.assertTrue(data.endswith(b"done"))

    async def test_no_request_is_accepted_once_the_server_is_empty(
        self,
    ) -> None:
        _, writer = await self.connect()
        await asyncio.sleep(0.05)
        self.server.start_draining()
        self.server.stop_accepting()
        async with asyncio.timeout(1):
            await self.server.empty.wait()
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        self.assertEqual(self.arrived, 0)


class PipelinedShutdownTest(ServerTestCase):
    """Guards against requests that were read and get no answer in a stop."""

    async def answer(self, exchange: Exchange) -> None:
        """Starts the answer to `/begun` at once, ends it with the gate."""
        self.arrived += 1
        if exchange.request.head.target == b"/begun":
            exchange.start(ResponseHead(status=200))
            await self.gate.wait()
            exchange.write(b"done")
            exchange.end()
            return
        await self.gate.wait()
        exchange.send(ResponseHead(status=200), b"done")

    async def finish(self, reader: asyncio.StreamReader) -> bytes:
        """Sets the gate; returns the bytes up to the end of the connection."""
        self.gate.set()
        async with asyncio.timeout(3):
            return await reader.read()

    async def test_requests_in_one_write(self) -> None:
        reader, writer = await self.connect()
        writer.write(REQUEST * 3)
        await self.wait_for_arrivals(1)
        self.server.start_draining()
        self.server.stop_accepting()
        data = await self.finish(reader)
        self.assertEqual(data.count(b"done"), 3)
        heads = data.split(b"done")[:3]
        closes = [b"Connection: close" in head for head in heads]
        self.assertEqual(closes, [False, False, True])

    async def test_request_that_arrives_while_draining(self) -> None:
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.wait_for_arrivals(1)
        self.server.start_draining()
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        self.server.stop_accepting()
        data = await self.finish(reader)
        self.assertEqual(data.count(b"done"), 2)

    async def test_request_behind_an_answer_that_began_before(self) -> None:
        """Guards against closing although no head announced the close."""
        reader, writer = await self.connect()
        writer.write(BEGUN_REQUEST)
        await self.wait_for_arrivals(1)
        self.server.start_draining()
        self.server.stop_accepting()
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        data = await self.finish(reader)
        self.assertEqual(data.count(b"done"), 2)
        self.assertEqual(data.count(b"Connection: close"), 1)

    async def test_request_behind_the_announced_last_answer(self) -> None:
        """Guards against running a request whose answer cannot be sent."""
        reader, writer = await self.connect()
        self.server.start_draining()
        writer.write(BEGUN_REQUEST)
        await self.wait_for_arrivals(1)
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        data = await self.finish(reader)
        self.assertEqual(data.count(b"done"), 1)
        self.assertEqual(self.arrived, 1)

    async def test_rest_of_a_request_behind_an_open_one(self) -> None:
        reader, writer = await self.connect()
        writer.write(REQUEST + REQUEST[:10])
        await self.wait_for_arrivals(1)
        self.server.start_draining()
        self.gate.set()
        await asyncio.sleep(0.05)
        writer.write(REQUEST[10:])
        data = await self.finish(reader)
        self.assertEqual(data.count(b"done"), 2)


class LimitsTest(ServerTestCase):
    """Guards against callers that occupy connections without a request."""

    async def test_slow_head_is_refused(self) -> None:
        reader, writer = await self.connect()
        writer.write(b"GET / HT")
        async with asyncio.timeout(3):
            data = await reader.read()
        self.assertIn(b" 408 ", data)

    async def upload(self, part: bytes, parts: int, pause_s: float) -> bytes:
        """Sends a body in parts; returns the bytes of the response."""
        reader, writer = await self.connect()
        size = len(part) * parts
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n" % size
        )
        answer = asyncio.create_task(reader.read())
        for _ in range(parts):
            # The server may already have answered and closed.
            if answer.done():
                break
            writer.write(part)
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(3):
            return await answer

    async def test_slow_body_with_progress_is_accepted(self) -> None:
        """Guards against refusing uploads over a slow link."""
        self.gate.set()
        data = await self.upload(b"x" * 8_192, parts=6, pause_s=0.25)
        self.assertIn(b" 200 ", data)

    async def test_stalled_body_is_refused(self) -> None:
        data = await self.upload(b"x" * 8_192, parts=2, pause_s=1.5)
        self.assertIn(b" 408 ", data)
        self.assertEqual(self.arrived, 0)

    async def test_body_below_the_minimum_rate_is_refused(self) -> None:
        """Guards against holding a connection by sending single bytes."""
        data = await self.upload(b"x", parts=15, pause_s=0.1)
        self.assertIn(b" 408 ", data)
        self.assertEqual(self.arrived, 0)

    async def test_timeout_that_becomes_shorter(self) -> None:
        """Guards against refusing a request that began under a longer one."""
        self.gate.set()
        self.limits.head_timeout_s = 3.0
        reader, writer = await self.connect()
        writer.write(REQUEST[:10])
        await asyncio.sleep(0.1)
        self.limits.head_timeout_s = 0.2
        await asyncio.sleep(1.0)
        writer.write(REQUEST[10:])
        async with asyncio.timeout(3):
            self.assertIn(b" 200 ", await reader.readline())

    async def test_idle_time_that_becomes_shorter(self) -> None:
        """Guards against closing a connection that its caller may still use."""
        self.gate.set()
        self.limits.idle_timeout_s = 10.0
        reader, writer = await self.connect()
        for _ in range(2):
            writer.write(REQUEST)
            async with asyncio.timeout(3):
                self.assertTrue(await reader.readuntil(b"done"))
            self.limits.idle_timeout_s = 0.2
            await asyncio.sleep(1.0)
        # The second request was sent under the new limit.
        self.assertEqual(await reader.read(), b"")

    async def test_idle_connection_is_closed(self) -> None:
        reader, _ = await self.connect()
        async with asyncio.timeout(3):
            self.assertEqual(await reader.read(), b"")

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        reader, writer = await self.connect()
        writer.write(REQUEST * 3)
        self.gate.set()
        async with asyncio.timeout(3):
            data = await reader.read()
        self.assertEqual(data.count(b"done"), 3)

    async def test_invalid_request_is_refused(self) -> None:
        reader, writer = await self.connect()
        writer.write(b"\x16\x03\x01\r\n\r\n")
        data = await reader.read()
        self.assertIn(b" 400 ", data)
        self.assertEqual(self.arrived, 0)


class CostlyRequestTest(ServerTestCase):
    """Guards against a caller that uses the event loop of all others."""

    async def answer(self, exchange: Exchange) -> None:
        """Answers with the size of the body."""
        size = len(exchange.request.body)
        exchange.send(ResponseHead(status=200), b"size %d" % size)

    async def test_body_in_tiny_chunks(self) -> None:
        """Guards against a body that loses parts while its reader waits."""
        reader, writer = await self.connect()
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
        chunks = b"1\r\na\r\n" * 200_000
        writer.write(head + b"\r\n\r\n" + chunks + b"0\r\n\r\n" + REQUEST)
        other_reader, other_writer = await self.connect()
        other_writer.write(REQUEST)
        async with asyncio.timeout(0.5):
            await other_reader.readuntil(b"size 0")
        async with asyncio.timeout(10):
            await reader.readuntil(b"size 200000")
            await reader.readuntil(b"size 0")

    async def upload(
        self, size: int, sent: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a part of a body."""
        reader, writer = await self.connect()
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
        writer.write(head.encode() + b"x" * sent)
        await asyncio.sleep(0.05)
        return reader, writer

    async def test_largest_incomplete_body_is_refused(self) -> None:
        """Guards against bodies that take the memory of a VM together."""
        self.server.budget.max_bytes = 600_000
        large_reader, _ = await self.upload(500_000, 450_000)
        small_reader, small_writer = await self.upload(200_000, 199_950)
        head = await large_reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 503 ", head)
        self.assertIn(b"Retry-After: ", head)
        small_writer.write(b"x" * 50)
        await small_reader.readuntil(b"size 200000")
        self.assertLess(self.server.budget.held_bytes, 50_000)
