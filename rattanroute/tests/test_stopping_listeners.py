"""Tests of how HTTP listeners close in a planned stop."""

import asyncio
import contextlib
import socket
import threading
import time
import unittest

from aiohttp import web

from rattanroute.servers.listeners import HttpListener

BODY = b"x" * 300_000
# Reads slowly enough that the end of the answer is still in the daemon's
# memory when its handler has returned.
SMALL_BUFFER_BYTES = 4096
READ_BYTES = 4096
READ_INTERVAL_SECONDS = 0.05
GRACE_SECONDS = 20.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer(http_request: web.Request) -> web.Response:
    """Answers with a body that exceeds the buffers of the kernel."""
    transport = http_request.transport
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
    )
    return web.Response(body=BODY)


class OverlappingAnswers:
    """Answers each request once the next one has begun.

    Attributes:
        begun: Set when a request after the latest one has begun.
    """

    def __init__(self) -> None:
        self.begun = asyncio.Event()

    async def answer(self, http_request: web.Request) -> web.Response:
        """Answers without a body."""
        self.begun.set()
        self.begun = begun = asyncio.Event()
        await begun.wait()
        return web.Response()


def build_listener() -> HttpListener:
    """Builds a listener on a free port."""
    application = web.Application()
    application.router.add_get("/", answer)
    return HttpListener(application=application, address="127.0.0.1:0")


class SlowReader(threading.Thread):
    """Sends a request and reads the answer slowly, outside the event loop.

    Attributes:
        received: The answer so far.
    """

    def __init__(self, port: int, *, silent_s: float = 0.0) -> None:
        super().__init__(daemon=True)
        self.silent_s = silent_s
        self.received = b""
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        self.socket.connect(("127.0.0.1", port))
        self.socket.sendall(REQUEST)

    def run(self) -> None:
        """Reads until the connection closes."""
        time.sleep(self.silent_s)
        with self.socket:
            while True:
                try:
                    data = self.socket.recv(READ_BYTES)
                except ConnectionError:
                    return
                if not data:
                    return
                self.received += data
                time.sleep(READ_INTERVAL_SECONDS)


class AnnouncedCloseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests on connections that a stop is about to close."""

    async def test_answers_during_a_stop_close_their_connections(self) -> None:
        listener = build_listener()
        await listener.open()
        self.addAsyncCleanup(listener.close, grace_s=0.5)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port
        )
        self.addCleanup(writer.close)
        async with asyncio.timeout(5):
            writer.write(REQUEST)
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertNotIn(b"Connection: close", head)
            await reader.readexactly(len(BODY))
            listener.announce_close()
            writer.write(REQUEST)
            answer = await reader.read()
        self.assertIn(b"Connection: close", answer)
        self.assertTrue(answer.endswith(BODY))


class BusyListenerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that keep a stopping process alive."""

    async def test_wait_ends_although_further_requests_arrive(self) -> None:
        """A stopping VM refuses them, but it may always be refusing one."""
        application = web.Application()
        application.router.add_get("/", OverlappingAnswers().answer)
        listener = HttpListener(application=application, address="127.0.0.1:0")
        await listener.open()
        self.addAsyncCleanup(listener.close, grace_s=0.5)
        answered = asyncio.Event()

        async def send_requests() -> None:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", listener.port
            )
            try:
                while True:
                    writer.write(REQUEST)
                    await reader.readuntil(b"\r\n\r\n")
                    answered.set()
            finally:
                writer.close()

        tasks = [asyncio.create_task(send_requests()) for _ in range(2)]
        try:
            async with asyncio.timeout(5):
                await answered.wait()
                await listener.wait_until_answered()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


class StoppingListenerTest(unittest.TestCase):
    """Guards against answers that a planned stop cuts off.

    The event loop is closed right after the listener, like that of a process
    that exits.
    """

    def serve(self, *, grace_s: float, silent_s: float) -> SlowReader:
        """Answers a slow reader while the listener closes."""

        async def run() -> SlowReader:
            listener = build_listener()
            await listener.open()
            reader = SlowReader(listener.port, silent_s=silent_s)
            reader.start()
            await asyncio.sleep(0.1)
            started = time.monotonic()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(grace_s):
                    await listener.wait_until_answered()
            await listener.close(grace_s=grace_s)
            self.stop_s = time.monotonic() - started
            return reader

        reader = asyncio.run(run())
        reader.join(GRACE_SECONDS)
        return reader

    def test_slow_reader_gets_the_end_of_its_answer(self) -> None:
        """Guards against an answer whose end is lost when the process exits.

        An answer counts as written while up to 64 KB of it are in the memory
        of the process.
        """
        reader = self.serve(grace_s=GRACE_SECONDS, silent_s=0.0)
        _, _, body = reader.received.partition(b"\r\n\r\n")
        self.assertEqual(len(body), len(BODY))

    def test_reader_that_stops_reading_does_not_block_the_stop(self) -> None:
        """Guards against a caller that keeps a stopping process alive."""
        reader = self.serve(grace_s=0.5, silent_s=8.0)
        self.assertLess(self.stop_s, 7.0)
        self.assertLess(len(reader.received), len(BODY))


if __name__ == "__main__":
    unittest.main()
