"""Tests over real sockets of how the HTTP/1.1 server closes connections."""

import asyncio
import contextlib
import socket
import struct
import unittest

import uvloop

from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.lingering_closes import LINGER_SECONDS
from rattanroute.http1.lingering_closes import MAX_DISCARDED_BYTES
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.http1.servers import HttpServer

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LONG_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n"
# More than the buffers of a connection hold together, so that the end of the
# answer is still on its way when the server closes.
ANSWER = b"x" * 300_000
MAX_BODY_BYTES = 100_000
READ_SECONDS = 5.0
# Within this time a request is cancelled after its caller has left.
LEAVE_SECONDS = 0.5


class CloseTest(unittest.TestCase):
    """Guards against answers that a reset takes from a caller.

    The programs run on uvloop, whose transports differ from asyncio's, so that
    the tests do, too.
    """

    def run_test(self, test: object) -> None:
        """Runs a test with a server on uvloop."""
        uvloop.run(self.run_with_server(test))

    async def run_with_server(self, test: object) -> None:
        """Starts a server, runs a test and closes the server."""
        self.loop = asyncio.get_running_loop()
        self.gate = asyncio.Event()
        self.arrived = asyncio.Event()
        self.server = HttpServer(
            handler=self.answer,
            limits=RequestLimits(max_body_bytes=MAX_BODY_BYTES),
        )
        await self.server.start("127.0.0.1", 0)
        self.address = self.server.listener.sockets[0].getsockname()
        try:
            await test()
        finally:
            await self.server.close()

    async def answer(self, exchange: Exchange) -> None:
        """Sends a long answer once the gate is set."""
        self.arrived.set()
        await self.gate.wait()
        exchange.send(ResponseHead(status=200), ANSWER)

    async def connect(self) -> socket.socket:
        """Opens a connection; its receive buffer is small."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        client.setblocking(False)
        self.addCleanup(client.close)
        await self.loop.sock_connect(client, self.address)
        return client

    async def read(self, client: socket.socket, pause_s: float = 0) -> bytes:
        """Reads up to the end of the connection, as a slow caller does."""
        data = bytearray()
        async with asyncio.timeout(READ_SECONDS):
            while part := await self.loop.sock_recv(client, 65_536):
                data += part
                await asyncio.sleep(pause_s)
        return bytes(data)

    def test_caller_sends_more_behind_the_last_answer(self) -> None:
        self.run_test(self.send_behind_the_last_answer)

    async def send_behind_the_last_answer(self) -> None:
        client = await self.connect()
        self.server.start_draining()
        await self.loop.sock_sendall(client, REQUEST)
        await self.arrived.wait()
        self.gate.set()
        await asyncio.sleep(0.05)
        # The response has been written by now, and says `Connection: close`.
        await self.loop.sock_sendall(client, REQUEST)
        data = await self.read(client, pause_s=0.005)
        self.assertTrue(data.endswith(ANSWER))

    def test_body_that_is_too_long(self) -> None:
        self.run_test(self.send_long_body)

    async def send_long_body(self) -> None:
        client = await self.connect()
        await self.loop.sock_sendall(client, LONG_HEAD)
        with contextlib.suppress(ConnectionError):
            await self.loop.sock_sendall(client, b"x" * 1_000_000)
        await asyncio.sleep(0.1)
        data = await self.read(client)
        self.assertTrue(data.startswith(b"HTTP/1.1 413 "))

    def test_half_close_after_the_answer_was_written(self) -> None:
        self.run_test(self.half_close)

    async def half_close(self) -> None:
        client = await self.connect()
        self.gate.set()
        await self.loop.sock_sendall(client, REQUEST)
        await asyncio.sleep(0.1)
        client.shutdown(socket.SHUT_WR)
        data = await self.read(client, pause_s=0.005)
        self.assertTrue(data.endswith(ANSWER))

    def test_half_close_of_a_caller_that_reads_nothing(self) -> None:
        """Guards against work for callers that left while bytes wait."""
        self.run_test(self.half_close_during_the_answer)

    async def half_close_during_the_answer(self) -> None:
        self.server.handler = self.stream
        client = await self.connect()
        await self.loop.sock_sendall(client, REQUEST)
        await self.arrived.wait()
        client.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LEAVE_SECONDS):
            await self.left.wait()

    async def stream(self, exchange: Exchange) -> None:
        """Starts an answer that the caller's buffers cannot hold."""
        self.left = asyncio.Event()
        exchange.on_disconnect = self.left.set
        exchange.start(ResponseHead(status=200))
        while exchange.writable:
            exchange.write(ANSWER)
            await asyncio.sleep(0)
        self.arrived.set()
        await self.left.wait()

    def test_caller_resets_during_the_answer(self) -> None:
        """Guards against an error that leaves the connection open."""
        self.run_test(self.reset_during_the_answer)

    async def reset_during_the_answer(self) -> None:
        errors = []
        self.loop.set_exception_handler(
            lambda _, context: errors.append(context)
        )
        client = await self.connect()
        self.server.start_draining()
        await self.loop.sock_sendall(client, REQUEST)
        await self.arrived.wait()
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.loop.call_soon(self.gate.set)
        client.close()
        await self.wait_until_closed(0.5)
        self.assertEqual(errors, [])

    def test_caller_does_not_close(self) -> None:
        """Guards against connections that callers hold after their answer."""
        self.run_test(self.stay_connected)

    async def stay_connected(self) -> None:
        client = await self.connect()
        self.server.start_draining()
        self.gate.set()
        await self.loop.sock_sendall(client, REQUEST)
        self.assertTrue((await self.read(client)).endswith(ANSWER))
        await self.wait_until_closed(2 * LINGER_SECONDS)

    def test_caller_sends_without_end(self) -> None:
        """Guards against discarding bytes without a bound."""
        self.run_test(self.send_without_end)

    async def send_without_end(self) -> None:
        client = await self.connect()
        await self.loop.sock_sendall(client, LONG_HEAD)
        sent = 0
        part = bytes(65_536)
        started_at = self.loop.time()
        with contextlib.suppress(ConnectionError):
            while self.loop.time() - started_at < READ_SECONDS:
                await self.loop.sock_sendall(client, part)
                sent += len(part)
        self.assertLess(sent, 2 * MAX_DISCARDED_BYTES)
        self.assertLess(self.loop.time() - started_at, 2 * LINGER_SECONDS)

    def test_endless_bytes_behind_an_open_request(self) -> None:
        """Guards against reading invalid bytes until the answer ends."""
        self.run_test(self.send_garbage)

    async def send_garbage(self) -> None:
        client = await self.connect()
        await self.loop.sock_sendall(client, REQUEST)
        sent = 0
        part = b"\xff" * 65_536
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1):
                while True:
                    await self.loop.sock_sendall(client, part)
                    sent += len(part)
        self.assertLess(sent, 2 * MAX_DISCARDED_BYTES)
        self.gate.set()
        # A part of `part` may have been sent when the time was over.
        data = await self.read(client)
        self.assertIn(ANSWER, data)
        self.assertEqual(data.count(b"HTTP/1.1 400 "), 1)

    async def wait_until_closed(self, seconds: float) -> None:
        """Waits until the server has no connection."""
        async with asyncio.timeout(seconds):
            while self.server.connections:
                await asyncio.sleep(0.01)
