"""Tests of the kernel's buffers for connections to targets."""

import asyncio
import contextlib
import unittest

import uvloop

from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.response_sinks import ResponseSink
from rattanroute.tests.listening_targets import Listener
from rattanroute.tests.socket_meters import SOCKETS_FILE
from rattanroute.tests.socket_meters import sum_socket_bytes

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n"
CONNECT_SECONDS = 1.0
TEST_SECONDS = 30.0
FIRST_BYTES = 4_000_000
SETTLE_SECONDS = 0.5
MAX_HELD_BYTES = 131_072


class EndlessTarget(Listener):
    """A target whose responses never end."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Writes as long as the connection takes bytes."""
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            while True:
                writer.write(CHUNK)
                await writer.drain()


class PausingSink(ResponseSink):
    """Pauses its connection after some bytes, as for a caller that stalls.

    Attributes:
        received: Number of bytes of the body.
        paused: Set once the connection is paused.
    """

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.received = 0
        self.paused = asyncio.Event()

    def receive_head(self, head: ResponseHead) -> None:
        """Ignores the head."""

    def receive_body(self, data: bytes) -> None:
        """Counts the bytes."""
        self.received += len(data)
        if self.received >= FIRST_BYTES and not self.paused.is_set():
            self.connection.pause()
            self.paused.set()


class TargetBufferTest(unittest.TestCase):
    """Guards against answers that pile up in the kernel."""

    def test_answer_of_a_caller_that_stalls(self) -> None:
        uvloop.run(self.run_stalled_caller())

    async def run_stalled_caller(self) -> None:
        """Pauses an answer and measures what the kernel receives of it."""
        target = EndlessTarget()
        await target.open()
        pool = ConnectionPool()
        async with asyncio.timeout(TEST_SECONDS):
            connection = await pool.take(
                target.address, timeout_s=CONNECT_SECONDS, identifier=None
            )
            sink = PausingSink(connection)
            head = RequestHead(method=b"GET", target=b"/", headers=[])
            connection.send(head, b"", sink)
            await sink.paused.wait()
            await asyncio.sleep(SETTLE_SECONDS)
            port = connection.transport.get_extra_info("sockname")[1]
            table = SOCKETS_FILE.read_text(encoding="ascii")
            held = sum_socket_bytes(table, "127.0.0.1", port=port)
        connection.cancel()
        pool.close()
        await target.close()
        self.assertGreater(held, 0)
        self.assertLess(held, MAX_HELD_BYTES)
