"""Tests of streams to slow readers over connections that are used again."""

import asyncio
import socket

from rattanroute.gateway.stall_inspectors import ANSWER_TIMEOUT_SECONDS
from rattanroute.http1.servers import Exchange
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import decode_answer
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.test_silent_streams import DEADLINE_MS
from rattanroute.tests.test_silent_streams import SilentEngineTestCase

# Several times the buffers of a connection whose reader has stopped.
ANSWER_BYTES = 400_000
EVENT_BYTES = 4_000
SMALL_BUFFER_BYTES = 4_096
STOP_SECONDS = 0.3
REQUEST = (
    b"POST /stream/ HTTP/1.1\r\nHost: a.example\r\n"
    b"Rattanroute-Request-Id: r1\r\nAuthorization: Bearer k1\r\n"
    b"Rattanroute-Request-Deadline: 10000\r\nContent-Length: 1\r\n"
    b"Connection: close\r\n\r\nx"
)


async def stream_at_once(target: FakeTarget, exchange: Exchange) -> None:
    """Sends all events faster than a slow reader takes them."""
    exchange.start(build_head(exchange))
    for number in range(1, ANSWER_BYTES // EVENT_BYTES):
        exchange.write(b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES))
    exchange.end()


class SlowReaderTest(SilentEngineTestCase):
    """Guards against a paused connection that another request uses."""

    async def handle_with_small_buffer(self, exchange: Exchange) -> None:
        """Handles a request whose connection has a small kernel buffer."""
        found = exchange.connection.transport.get_extra_info("socket")
        found.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
        await self.handler.handle(exchange)

    async def read_slowly(self) -> bytes:
        """Sends a request and reads its answer after a while."""
        found = socket.socket()
        found.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        found.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(found, ("127.0.0.1", self.port))
        await loop.sock_sendall(found, REQUEST)
        await asyncio.sleep(STOP_SECONDS)
        data = bytearray()
        while part := await loop.sock_recv(found, 65_536):
            data += part
        found.close()
        return bytes(data)

    async def read_first_answer(self) -> None:
        """Serves a slow reader, after which the connection is kept."""
        self.server.handler = self.handle_with_small_buffer
        await self.add_engines(stream_at_once, None)
        answer = decode_answer(await self.read_slowly())
        self.assertTrue(answer.complete)

    async def test_next_request_after_a_slow_reader(self) -> None:
        """Guards against an engine that seems silent to the next request."""
        await self.read_first_answer()
        answer = await self.call("/single/", deadline_ms=DEADLINE_MS)
        self.assertEqual((answer.status, answer.complete), (200, True))

    async def test_state_query_after_a_slow_reader(self) -> None:
        """Guards against a verdict on an engine that answers at once."""
        await self.read_first_answer()
        control = self.streams.inspector.engine_control
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            await control.fetch_state(self.silent.address)
