"""Fuzzing with requests that hold as much memory as they may.

The examples are derived from fixed seeds, so that each run tries the same.
"""

import asyncio
import contextlib
import unittest

from aiohttp import web
from hypothesis import example
from hypothesis import given
from hypothesis import settings

from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.request_parsers import RequestParser
from rattanroute.requests.bodies import read_body
from rattanroute.requests.refusals import build_refusal_response
from rattanroute.servers.client_guards import ClientGuard
from rattanroute.servers.listeners import HttpListener
from rattanroute.settings import LimitsSettings
from rattanroute.tests.request_patterns import build_chunk
from rattanroute.tests.request_patterns import build_lines
from rattanroute.tests.request_patterns import build_pipelined
from rattanroute.tests.request_patterns import build_tiny_chunks
from rattanroute.tests.request_patterns import CONNECTIONS
from rattanroute.tests.request_patterns import PIECES
from rattanroute.tests.request_patterns import RequestPattern
from rattanroute.tests.test_http1_parsers import split_data

REFUSALS = frozenset({400, 408, 413, 429, 431, 503})
SMALL_LIMITS = RequestLimits(max_head_bytes=1_000, max_body_bytes=5_000)
WAIT_SECONDS = 20.0
ORDINARY = b"POST /tiny HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"


class RequestParserTest(unittest.TestCase):
    """Guards against results that depend on how requests are segmented."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(pattern=CONNECTIONS, pieces=PIECES)
    @example(pattern=build_lines(b"a:\r\n", 600, True), pieces=[1])
    @example(pattern=build_chunk(60_000, 1), pieces=[16_384])
    @example(pattern=build_tiny_chunks(3_000, False), pieces=[7])
    def test_requests_within_the_limits(
        self, pattern: RequestPattern, pieces: list[int]
    ) -> None:
        parser = RequestParser(limits=RequestLimits())
        for piece in split_data(pattern.data, pieces):
            parser.feed(piece)
        found = tuple(len(request.body) for request in parser.requests)
        self.assertEqual(found, pattern.sizes)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(pattern=CONNECTIONS, pieces=PIECES)
    @example(pattern=build_lines(b"a:\r\n", 600, False), pieces=[1])
    def test_requests_beyond_the_limits(
        self, pattern: RequestPattern, pieces: list[int]
    ) -> None:
        """Guards against an error other than a refusal, or a wrong body."""
        parser = RequestParser(limits=SMALL_LIMITS)
        try:
            for piece in split_data(pattern.data, pieces):
                parser.feed(piece)
        except ProtocolError as error:
            self.assertIn(error.status, REFUSALS)
        found = tuple(len(request.body) for request in parser.requests)
        self.assertEqual(found, pattern.sizes[: len(found)])


class ListenerTest(unittest.TestCase):
    """Guards against connections that a daemon charges after their end."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        limits = LimitsSettings(max_body_bytes=50_000, client_memory_mb=0.3)
        cls.guard = ClientGuard(limits=limits)
        application = web.Application()
        for path in ("/chunk", "/tiny", "/lines"):
            application.router.add_post(path, cls.answer)
        cls.listener = HttpListener(
            application=application, address="127.0.0.1:0", clients=cls.guard
        )
        cls.runner.run(cls.listener.open())
        cls.addClassCleanup(
            lambda: cls.runner.run(cls.listener.close(grace_s=0.0))
        )

    @staticmethod
    async def answer(http_request: web.Request) -> web.Response:
        """Reads the body and answers."""
        body = await read_body(
            http_request, max_bytes=50_000, timeout_s=WAIT_SECONDS
        )
        if body.is_error():
            return build_refusal_response(body.error, "", {})
        return web.Response()

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(pattern=CONNECTIONS, pieces=PIECES)
    @example(pattern=build_pipelined(60), pieces=[3])
    @example(pattern=build_chunk(60_000, 9), pieces=[30_000])
    def test_connections_are_charged_until_their_end(
        self, pattern: RequestPattern, pieces: list[int]
    ) -> None:
        self.runner.run(self.check(pattern, pieces))

    async def check(self, pattern: RequestPattern, pieces: list[int]) -> None:
        """Sends a pattern on four connections and then a request."""
        await asyncio.gather(*(self.send(pattern, pieces) for _ in range(4)))
        async with asyncio.timeout(WAIT_SECONDS):
            while self.guard.table.rows:
                await asyncio.sleep(0.001)
            self.assertEqual(self.guard.table.held_bytes, 0)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.listener.port
            )
            writer.write(ORDINARY)
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
        self.assertIn(b" 200 ", head)

    async def send(self, pattern: RequestPattern, pieces: list[int]) -> None:
        """Sends a pattern in pieces, as far as it is taken, and closes."""
        _, writer = await asyncio.open_connection(
            "127.0.0.1", self.listener.port
        )
        largest = max(pieces)
        with contextlib.suppress(OSError):
            for piece in split_data(pattern.data, [max(largest, 1_000)]):
                writer.write(piece)
                await asyncio.sleep(0)
                self.check_sum()
        writer.transport.abort()

    def check_sum(self) -> None:
        """Checks that the charged memory is that of the open connections."""
        table = self.guard.table
        expected = sum(row.cost_bytes for row in table.rows)
        self.assertEqual(table.held_bytes, expected)
