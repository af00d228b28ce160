"""Tests of targets that send bytes until the connection is closed."""

import asyncio
import contextlib

from rattanroute.errors import RouterError
from rattanroute.tables.targets import TargetReport
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_hosts import PLAIN_SERVICE
from rattanroute.tests.gateway_support import LAYERS
from rattanroute.tests.gateway_support import SERVICE

OK_HEAD = (
    b"HTTP/1.1 200 OK\r\nRattanroute-Request-Id: r1\r\n"
    b"Rattanroute-Replica-Stamp: s\r\n"
)
FAILED_HEAD = (
    b"HTTP/1.1 500 Failed\r\nRattanroute-Request-Id: r1\r\n"
    b"Rattanroute-Replica-Stamp: s\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
FILL = b"x" * 16_384
# What a target sends first, and then over and over.
ENDLESS = {
    "no answer": (b"", FILL),
    "head": (OK_HEAD + b"X-A: ", FILL),
    "headers": (OK_HEAD, b"X-A: b\r\n" * 2_000),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "body to the end of the connection": (OK_HEAD + b"\r\n", FILL),
    "chunks": (OK_HEAD + CHUNKED, CHUNK),
    "chunk extension": (OK_HEAD + CHUNKED + b"4;a=", FILL),
    "chunk size": (OK_HEAD + CHUNKED, b"0" * 16_384),
    "trailers": (OK_HEAD + CHUNKED + b"0\r\n", b"X-A: b\r\n" * 2_000),
    "failure": (FAILED_HEAD + CHUNKED, CHUNK),
}
# Within the time of the route, and long before a deadline of a stream.
MOST_SECONDS = 3.5


class EndlessTarget:
    """A listener that answers with bytes without end.

    Attributes:
        address: Its address as `IP:port`.
        left: Set when the caller has closed the connection.
        sent: Bytes sent.
    """

    def __init__(self, start: bytes, endless: bytes) -> None:
        self.first = start
        self.endless = endless
        self.left = asyncio.Event()
        self.sent = 0

    async def open(self) -> None:
        """Opens the listener."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends until the connection is closed."""
        with contextlib.suppress(ConnectionError):
            await reader.read(1)
            writer.write(self.first)
            while not writer.is_closing():
                writer.write(self.endless)
                self.sent += len(self.endless)
                await writer.drain()
                await asyncio.sleep(0)
        self.left.set()
        writer.close()


class EndlessAnswerTest(GatewayTestCase):
    """Guards against answers that never end and what they would cost."""

    async def add(
        self, start: bytes, endless: bytes, service: str
    ) -> EndlessTarget:
        """Starts a target of a service."""
        target = EndlessTarget(start, endless)
        await target.open()
        self.addAsyncCleanup(target.server.wait_closed)
        self.addCleanup(target.server.close)
        layers = LAYERS if service == SERVICE else 0
        report = TargetReport(
            target_id="i-1",
            address=target.address,
            data_centre="dc-a",
            model=service,
            last_layer=layers - 1,
            total_layers=layers,
            accelerator="big" if layers else "",
        )
        now = asyncio.get_running_loop().time()
        self.targets.record(report=report, observer="v", received_at=now)
        return target

    async def check(self, path: str, service: str) -> None:
        """Checks that each kind ends with an honest failure and a close."""
        loop = asyncio.get_running_loop()
        for name, (start, endless) in ENDLESS.items():
            with self.subTest(name=name):
                self.targets.remove("i-1")
                target = await self.add(start, endless, service)
                began = loop.time()
                answered = await self.call(path)
                self.assertIn(answered.status, (0, 502, 504))
                self.assertFalse(answered.status == 200 and answered.complete)
                async with asyncio.timeout(MOST_SECONDS):
                    await target.left.wait()
                self.assertLess(loop.time() - began, MOST_SECONDS)

    async def test_plain_service(self) -> None:
        await self.check("/once/a", PLAIN_SERVICE)

    async def test_stream(self) -> None:
        await self.check("/stream/a", SERVICE)

    async def test_question(self) -> None:
        """Guards against an inspection that never ends."""
        engine_control = self.streams.inspector.engine_control
        for name, (start, endless) in ENDLESS.items():
            with self.subTest(name=name):
                target = await self.add(start, endless, SERVICE)
                with self.assertRaises((RouterError, TimeoutError)):
                    async with asyncio.timeout(1.0):
                        await engine_control.fetch_state(target.address)
                async with asyncio.timeout(1.0):
                    await target.left.wait()
