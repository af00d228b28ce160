"""Tests of responses to `HEAD` requests, which have no body."""

import asyncio

from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.servers import Exchange
from rattanroute.tests.test_http1_servers import REQUEST
from rattanroute.tests.test_http1_servers import ServerTestCase

HEAD_REQUEST = b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n"
BEGUN_REQUEST = b"HEAD /begun HTTP/1.1\r\nHost: h\r\n\r\n"


class HeadRequestTest(ServerTestCase):
    """Guards against bytes that a caller takes for the next response."""

    async def answer(self, exchange: Exchange) -> None:
        """Answers in chunks or with a length."""
        if exchange.request.head.target == b"/begun":
            exchange.start(ResponseHead(status=200))
            exchange.write(b"part")
            exchange.end()
        else:
            exchange.send(ResponseHead(status=200), b"done")

    async def check(self, request: bytes) -> None:
        """Checks that the next response follows the head."""
        reader, writer = await self.connect()
        writer.write(request + REQUEST)
        async with asyncio.timeout(2):
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
            data = await reader.readuntil(b"done")
        self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data)

    async def test_body_in_chunks(self) -> None:
        """Guards against chunks behind the head."""
        await self.check(BEGUN_REQUEST)

    async def test_body_with_a_length(self) -> None:
        """Guards against a body behind the head."""
        await self.check(HEAD_REQUEST)
