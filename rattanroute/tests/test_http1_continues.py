"""Tests of requests whose callers wait for a 100 response."""

import asyncio

from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.servers import Exchange
from rattanroute.tests.test_http1_servers import BEGUN_REQUEST
from rattanroute.tests.test_http1_servers import REQUEST
from rattanroute.tests.test_http1_servers import ServerTestCase

UPLOAD_HEAD = (
    b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    b"Content-Length: 1\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# Time in which bytes reach the other side.
ARRIVAL_SECONDS = 0.05


class ContinueTest(ServerTestCase):
    """Guards against a 100 response in another response, or to no request."""

    async def answer(self, exchange: Exchange) -> None:
        """Starts the answer to `/begun` at once, ends it with the gate."""
        self.arrived += 1
        if exchange.request.head.target != b"/begun":
            exchange.send(ResponseHead(status=200), b"done")
            return
        exchange.start(ResponseHead(status=200))
        exchange.write(b"part")
        await self.gate.wait()
        exchange.end()

    async def read(self, reader: asyncio.StreamReader, end: bytes) -> bytes:
        """Reads up to and including some bytes."""
        async with asyncio.timeout(2):
            return await reader.readuntil(end)

    async def test_behind_an_open_response(self) -> None:
        """Guards against bytes of a 100 response within chunks of another."""
        reader, writer = await self.connect()
        writer.write(BEGUN_REQUEST)
        await self.wait_for_arrivals(1)
        writer.write(UPLOAD_HEAD)
        # Longer than a body may make no progress.
        await asyncio.sleep(self.limits.head_timeout_s + ARRIVAL_SECONDS)
        self.gate.set()
        data = await self.read(reader, LAST_CHUNK)
        self.assertTrue(data.endswith(b"\r\n\r\n4\r\npart\r\n" + LAST_CHUNK))
        self.assertEqual(await self.read(reader, CONTINUE), CONTINUE)
        for connection in list(self.server.connections):
            connection.sweep(connection.loop.time())
        writer.write(b"x")
        data = await self.read(reader, b"done")
        self.assertTrue(data.startswith(b"HTTP/1.1 200"))

    async def test_body_that_does_not_wait(self) -> None:
        """Guards against a 100 response once the request is complete."""
        reader, writer = await self.connect()
        writer.write(BEGUN_REQUEST)
        await self.wait_for_arrivals(1)
        writer.write(UPLOAD_HEAD)
        await asyncio.sleep(ARRIVAL_SECONDS)
        writer.write(b"x")
        await asyncio.sleep(ARRIVAL_SECONDS)
        self.gate.set()
        data = await self.read(reader, b"done")
        self.assertNotIn(CONTINUE, data)

    async def test_next_request_without_expectation(self) -> None:
        """Guards against a 100 response to the request after such a one."""
        reader, writer = await self.connect()
        writer.write(UPLOAD_HEAD + b"x" + REQUEST[:5])
        await asyncio.sleep(ARRIVAL_SECONDS)
        writer.write(REQUEST[5:])
        data = await self.read(reader, b"done")
        data += await self.read(reader, b"done")
        self.assertNotIn(CONTINUE, data)

    async def test_first_request(self) -> None:
        """Guards against a caller that waits in vain."""
        reader, writer = await self.connect()
        writer.write(UPLOAD_HEAD)
        self.assertEqual(await self.read(reader, CONTINUE), CONTINUE)
        writer.write(b"x")
        data = await self.read(reader, b"done")
        self.assertTrue(data.startswith(b"HTTP/1.1 200"))
