"""Tests of how listeners refuse clients over the budget."""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from aiohttp import web

from rattanroute.metrics import MetricsRegistry
from rattanroute.requests.bodies import read_body
from rattanroute.requests.refusals import build_refusal_response
from rattanroute.servers import client_guards
from rattanroute.servers.client_guards import ClientGuard
from rattanroute.servers.listeners import HttpListener
from rattanroute.settings import LimitsSettings

MAX_BODY_BYTES = 100_000
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
LIMITS = LimitsSettings(
    max_body_bytes=MAX_BODY_BYTES,
    client_memory_mb=0.5,
    max_client_connections=50,
)
WAIT_SECONDS = 20.0


class ClientGuardTest(unittest.IsolatedAsyncioTestCase):
    """Guards against refusals that hide what happened to a request.

    The load: more bodies than the budget has room for, each of which stops
    one byte short of its end.
    """

    async def asyncSetUp(self) -> None:
        self.run_bodies: list[bytes] = []
        self.metrics = MetricsRegistry()
        self.guard = ClientGuard(limits=LIMITS, metrics=self.metrics)
        application = web.Application()
        application.router.add_post("/", self.answer)
        self.listener = HttpListener(
            application=application, address="127.0.0.1:0", clients=self.guard
        )
        await self.listener.open()
        self.addAsyncCleanup(self.listener.close, grace_s=0.0)

    async def answer(self, http_request: web.Request) -> web.Response:
        """Reads the body and notes the request as run."""
        body = await read_body(
            http_request, max_bytes=MAX_BODY_BYTES, timeout_s=WAIT_SECONDS
        )
        if body.is_error():
            return build_refusal_response(body.error, "", {})
        self.run_bodies.append(body.ok)
        return web.Response()

    async def send(
        self, body: bytes, *, size: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a head and a part of its body on a new connection."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.listener.port
        )
        self.addCleanup(writer.close)
        writer.write(HEAD % size + body)
        return reader, writer

    async def read_head(self, reader: asyncio.StreamReader) -> bytes:
        """Reads the head of an answer."""
        async with asyncio.timeout(WAIT_SECONDS):
            return await reader.readuntil(b"\r\n\r\n")

    async def test_refused_bodies_get_503_and_did_not_run(self) -> None:
        size = MAX_BODY_BYTES
        crowd = [
            await self.send(bytes([65 + number]) * (size - 1), size=size)
            for number in range(12)
        ]
        reads = [
            asyncio.create_task(self.read_head(reader)) for reader, _ in crowd
        ]
        async with asyncio.timeout(WAIT_SECONDS):
            while sum(x.done() for x in reads) < 8:
                await asyncio.sleep(0.01)
        refused = {i for i, read in enumerate(reads) if read.done()}
        for number in refused:
            self.assertIn(b" 503 ", reads[number].result())
            self.assertIn(b"Retry-After: 1\r\n", reads[number].result())
        kept = set(range(12)) - refused
        for number in kept:
            crowd[number][1].write(bytes([65 + number]))
        served = {number for number in kept if b" 200 " in await reads[number]}
        ran = {body[0] - 65 for body in self.run_bodies}
        self.assertEqual(ran, served)
        self.assertTrue(served)
        for number in kept - served:
            self.assertIn(b" 503 ", reads[number].result())

    async def test_budget_is_free_after_refusals(self) -> None:
        """Guards against clients that are charged after their close."""
        size = MAX_BODY_BYTES
        crowd = [
            await self.send(b"x" * (size - 1), size=size) for _ in "abcdefgh"
        ]
        await asyncio.wait(
            [asyncio.create_task(x.read(1)) for x, _ in crowd],
            return_when=asyncio.FIRST_COMPLETED,
            timeout=WAIT_SECONDS,
        )
        for _, writer in crowd:
            writer.transport.abort()
        async with asyncio.timeout(WAIT_SECONDS):
            while self.guard.table.rows:
                await asyncio.sleep(0.01)
        self.assertEqual(self.guard.table.held_bytes, 0)
        reader, _ = await self.send(b"y" * size, size=size)
        self.assertIn(b" 200 ", await self.read_head(reader))

    async def test_waiting_client_survives_a_flood(self) -> None:
        reader, writer = await self.send(b"1", size=2)
        while not any(row.receiving for row in self.guard.table.rows):
            await asyncio.sleep(0)
        for _ in range(100):
            found = socket.create_connection(("127.0.0.1", self.listener.port))
            self.addCleanup(found.close)
            await asyncio.sleep(0)
        writer.write(b"2")
        self.assertIn(b" 200 ", await self.read_head(reader))
        self.assertLessEqual(
            len(self.guard.table.rows), LIMITS.max_client_connections
        )

    async def test_new_connection_is_refused_if_all_others_wait(self) -> None:
        """Guards against a refused connection that is counted for ever."""
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "call_exception_handler") as errors:
            for _ in range(LIMITS.max_client_connections):
                await self.send(b"1", size=2)
            rows = self.guard.table.rows
            count = LIMITS.max_client_connections
            async with asyncio.timeout(WAIT_SECONDS):
                while sum(row.receiving for row in rows) < count:
                    await asyncio.sleep(0.01)
            for row in rows:
                # As if its request were running.
                row.waiting = True
            reader, _ = await self.send(b"1", size=2)
            async with asyncio.timeout(WAIT_SECONDS):
                with contextlib.suppress(ConnectionResetError):
                    self.assertEqual(await reader.read(), b"")
        self.assertEqual(len(rows), count)
        errors.assert_not_called()

    async def test_refusals_are_counted_and_logged_once(self) -> None:
        with mock.patch.object(client_guards.log, "warning") as warning:
            for _ in range(100):
                self.guard.count("callers", "memory")
        self.assertEqual(warning.call_count, 1)
        content, _ = self.metrics.render([])
        expected = 'cause="memory",listener="callers"} 100'
        self.assertIn(expected, content.decode())
