"""Tests of the server side of HTTP/1.1."""

import asyncio
import unittest

from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.http1.servers import HttpServer

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    """A test with a server that answers when a gate opens."""

    async def asyncSetUp(self) -> None:
        """Starts the server."""
        self.gate = asyncio.Event()
        self.limits = RequestLimits(idle_seconds=0.5, head_seconds=0.5)
        self.server = HttpServer(handler=self.answer, limits=self.limits)
        await self.server.start("127.0.0.1", 0)
        self.port = self.server.listener.sockets[0].getsockname()[1]
        self.arrived = 0

    async def asyncTearDown(self) -> None:
        """Closes the server."""
        await self.server.close()

    async def answer(self, exchange: Exchange) -> None:
        """Answers once the gate is open."""
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
        """Waits until requests have arrived."""
        async with asyncio.timeout(2):
            while self.arrived < count:
                await asyncio.sleep(0.01)


class PlannedStopTest(ServerTestCase):
    """Guards against requests that a planned stop cuts off."""

    async def test_open_request_is_answered_and_idle_ones_close(self) -> None:
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

    async def test_request_on_a_kept_connection_is_answered(self) -> None:
        reader, writer = await self.connect()
        self.gate.set()
        self.server.start_draining()
        writer.write(REQUEST)
        data = await reader.read()
        self.assertTrue(data.endswith(b"done"))

    async def test_no_request_is_taken_once_the_server_is_empty(self) -> None:
        _, writer = await self.connect()
        await asyncio.sleep(0.05)
        self.server.start_draining()
        self.server.stop_accepting()
        async with asyncio.timeout(1):
            await self.server.empty.wait()
        writer.write(REQUEST)
        await asyncio.sleep(0.1)
        self.assertEqual(self.arrived, 0)


class LimitsTest(ServerTestCase):
    """Guards against callers that hold connections without a request."""

    async def test_slow_head_is_refused(self) -> None:
        reader, writer = await self.connect()
        writer.write(b"GET / HT")
        async with asyncio.timeout(3):
            data = await reader.read()
        self.assertIn(b" 408 ", data)

    async def upload(self, part: bytes, parts: int, pause_s: float) -> bytes:
        """Sends a body in parts; returns what comes back."""
        reader, writer = await self.connect()
        size = len(part) * parts
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n" % size
        )
        answer = asyncio.create_task(reader.read())
        for _ in range(parts):
            # The server may have answered and closed already.
            if answer.done():
                break
            writer.write(part)
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(3):
            return await answer

    async def test_slow_body_that_moves_is_taken(self) -> None:
        """Guards against uploads that are cut on a slow link."""
        self.gate.set()
        data = await self.upload(b"x" * 8_192, parts=6, pause_s=0.25)
        self.assertIn(b" 200 ", data)

    async def test_body_that_stands_is_refused(self) -> None:
        data = await self.upload(b"x" * 8_192, parts=2, pause_s=1.5)
        self.assertIn(b" 408 ", data)
        self.assertEqual(self.arrived, 0)

    async def test_body_that_trickles_is_refused(self) -> None:
        """Guards against a connection that a byte now and then holds."""
        data = await self.upload(b"x", parts=15, pause_s=0.1)
        self.assertIn(b" 408 ", data)
        self.assertEqual(self.arrived, 0)

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

    async def test_bytes_that_are_no_request_are_refused(self) -> None:
        reader, writer = await self.connect()
        writer.write(b"\x16\x03\x01\r\n\r\n")
        data = await reader.read()
        self.assertIn(b" 400 ", data)
        self.assertEqual(self.arrived, 0)
