"""Tests of the client for whole-model engines."""

import asyncio
import contextlib
import unittest

from rattanroute.clients import engines
from rattanroute.clients.attempts import AttemptError
from rattanroute.clients.engines import EngineClient
from rattanroute.clients.failures import AttemptContext
from rattanroute.events import Provenance
from rattanroute.standins.reference_models import reference_tokens
from rattanroute.standins.settings import FaultSettings
from rattanroute.tests.standin_support import build_body
from rattanroute.tests.standin_support import build_spec
from rattanroute.tests.standin_support import collect
from rattanroute.tests.standin_support import StandinTestCase

EXPECTED = reference_tokens("one two three", 8, 8)
# Shorter than the client waits for the end of the body.
LATE_END_SECONDS = 0.02


class EngineClientTest(StandinTestCase):
    """Runs attempts on a stand-in engine."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.client = EngineClient(session=self.session)
        self.host = await self.start_engine()
        self.texts: list[str] = []

    async def run_attempt(self, **changes: object) -> object:
        spec = build_spec(self.host.address, **changes)
        return await collect(self.client.run(spec), self.texts)

    async def fail_attempt(self, **changes: object) -> AttemptError:
        with self.assertRaises(AttemptError) as caught:
            await self.run_attempt(**changes)
        return caught.exception

    async def test_answer_is_complete(self) -> None:
        """Guards against lost, repeated or changed tokens."""
        usage = await self.run_attempt()
        self.assertEqual(self.texts, EXPECTED)
        self.assertEqual((usage.tokens_in, usage.tokens_out), (4, 8))

    async def test_resumes_after_known_tokens(self) -> None:
        """Guards against a resumed stream that repeats or skips tokens."""
        usage = await self.run_attempt(resume_tokens=tuple(EXPECTED[:5]))
        self.assertEqual(self.texts, EXPECTED[5:])
        self.assertEqual(usage.tokens_out, 3)

    async def test_refused_connection_is_not_dispatched(self) -> None:
        """Guards against failing a request that was never sent."""
        await self.host.runner.cleanup()
        error = await self.fail_attempt()
        self.assertEqual(error.provenance, Provenance.NOT_DISPATCHED)
        self.assertFalse(error.crashed)

    async def test_crash_before_first_token_is_unknown(self) -> None:
        """Guards against reporting a sent request as not dispatched."""
        self.host.faults = FaultSettings(crash_marker="two")
        error = await self.fail_attempt()
        self.assertEqual(error.provenance, Provenance.UNKNOWN)
        self.assertTrue(error.crashed)

    async def test_crash_in_stream_is_started(self) -> None:
        """Guards against treating a broken stream as complete."""
        self.host.faults = FaultSettings(close_at=3)
        error = await self.fail_attempt()
        self.assertEqual(error.provenance, Provenance.STARTED)
        self.assertEqual((error.crashed, error.tokens_out), (True, 3))
        self.assertEqual(self.texts, EXPECTED[:3])

    async def test_faulty_engine_fails_the_attempt(self) -> None:
        """Guards against passing wrong or another request's tokens on."""
        for fault in (
            {"wrong_request_id_at": 4},
            {"skip_at": 4},
            {"malformed_at": 4},
            {"duplicate_at": 3},
        ):
            with self.subTest(fault):
                self.texts.clear()
                self.host.faults = FaultSettings(**fault)
                error = await self.fail_attempt()
                self.assertEqual(error.provenance, Provenance.STARTED)
                self.assertFalse(error.crashed)
                self.assertEqual(self.texts, EXPECTED[:4])

    async def test_refusal_carries_retry_after(self) -> None:
        """Guards against counting a refusal as a crash."""
        self.host.faults = FaultSettings(refuse=True)
        error = await self.fail_attempt()
        self.assertEqual((error.status, error.retry_after_s), (503, 1.0))
        self.assertFalse(error.crashed)

    async def test_first_token_timeout(self) -> None:
        """Guards against waiting for a frozen engine until the deadline."""
        self.host.faults = FaultSettings(freeze=True)
        error = await self.fail_attempt(first_token_timeout_s=0.1)
        self.assertEqual(error.provenance, Provenance.UNKNOWN)
        self.assertFalse(error.crashed)

    async def test_token_timeout(self) -> None:
        """Guards against an engine that freezes during a stream."""
        spec = build_spec(self.host.address, token_timeout_s=0.1)
        with self.assertRaises(AttemptError) as caught:
            async with (
                asyncio.timeout(2),
                contextlib.aclosing(self.client.run(spec)) as items,
            ):
                async for _ in items:
                    self.host.faults = FaultSettings(freeze=True)
        self.assertEqual(caught.exception.provenance, Provenance.STARTED)

    async def test_bytes_without_tokens_do_not_extend_the_wait(self) -> None:
        """Guards against waiting on for an engine that sends only comments."""
        address = await self.serve_comments()
        spec = build_spec(address, first_token_timeout_s=0.1)
        with self.assertRaises(AttemptError) as caught:
            async with asyncio.timeout(2):
                await collect(self.client.run(spec), self.texts)
        await asyncio.sleep(0.1)
        self.assertEqual(caught.exception.provenance, Provenance.UNKNOWN)

    async def serve_comments(self) -> str:
        async def handle(reader, writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b": waiting\n")
                    await writer.drain()
                    await asyncio.sleep(0.02)
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def test_slow_caller_does_not_time_the_engine_out(self) -> None:
        """Guards against token timeouts that include the caller's pauses."""
        spec = build_spec(self.host.address, token_timeout_s=0.1)
        count = 0
        async with contextlib.aclosing(self.client.run(spec)) as items:
            async for _ in items:
                count += 1
                if count == 2:
                    await asyncio.sleep(0.2)
        self.assertEqual(count, 9)

    async def test_closing_cancels_on_the_target(self) -> None:
        """Guards against engines that work for disconnected callers."""
        spec = build_spec(
            self.host.address, body=build_body("x", max_tokens=100_000)
        )
        async with contextlib.aclosing(self.client.run(spec)) as items:
            await anext(items)
            self.assertEqual(self.host.slots.running, 1)
        async with asyncio.timeout(2):
            while self.host.slots.running:
                await asyncio.sleep(0.01)

    async def test_cancel_call(self) -> None:
        """Guards against cancelling another attempt than the named one."""
        spec = build_spec(
            self.host.address, body=build_body("x", max_tokens=100_000)
        )
        async with contextlib.aclosing(self.client.run(spec)) as items:
            await anext(items)
            for attempt, running in ((2, 1), (1, 0)):
                await self.client.cancel(
                    address=self.host.address,
                    request_id="r1",
                    attempt=attempt,
                )
                await asyncio.sleep(0.05)
                self.assertEqual(self.host.slots.running, running)


class StreamReaderTest(unittest.TestCase):
    """Reads events that are split at arbitrary positions."""

    def test_any_split_gives_the_same_tokens(self) -> None:
        """Guards against tokens lost at packet boundaries."""
        ends = (b"\n: note\n\n", b"\r\n\r\n", b'\n\n: data: {"x": 1}\n\n')
        stream = b"".join(
            b'data: {"id": "r1", "attempt": 1, "index": %d, "choices": '
            b'[{"delta": {"content": "w%d"}}]}%s' % (index, index, end)
            for index, end in enumerate(ends)
        )
        for cut in range(1, len(stream)):
            self.check([stream[:cut], stream[cut:]])
        for size in (1, 2, 3, 7):
            starts = range(0, len(stream), size)
            self.check([stream[start : start + size] for start in starts])

    def check(self, parts: list[bytes]) -> None:
        context = AttemptContext(target_id="e1")
        reader = engines.StreamReader(build_spec(), context)
        texts = [chunk.text for data in parts for chunk in reader.feed(data)]
        self.assertEqual(texts, ["w0", "w1", "w2"])


class RawEngineTest(StandinTestCase):
    """Runs attempts on raw servers that violate the protocol."""

    async def serve(self, answer: bytes, *, hold: bool = False) -> str:
        async def handle(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(answer)
            if hold:
                with contextlib.suppress(ConnectionError):
                    await reader.read()
            writer.close()

        self.requests = 0
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    async def fail_on(self, address: str) -> AttemptError:
        client = EngineClient(session=self.session)
        with self.assertRaises(AttemptError) as caught:
            await collect(client.run(build_spec(address)), [])
        return caught.exception

    async def test_line_length_is_bounded(self) -> None:
        """Guards against memory exhaustion by one line."""
        head = b"HTTP/1.1 200 OK\r\n\r\ndata: "
        data = b"x" * (engines.MAX_EVENT_BYTES * 2)
        error = await self.fail_on(await self.serve(head + data, hold=True))
        self.assertIn("line is too long", str(error))

    async def test_redirect_is_not_followed(self) -> None:
        """Guards against a target that redirects a prompt to another host."""
        other = await self.start_engine()
        head = (
            "HTTP/1.1 307 Temporary Redirect\r\nContent-Length: 0\r\n"
            f"Location: {other.address}/v1/chat/completions\r\n\r\n"
        )
        error = await self.fail_on(await self.serve(head.encode()))
        self.assertEqual(error.status, 307)
        self.assertFalse(other.executions)

    async def test_one_connection_for_each_attempt(self) -> None:
        """Guards against shared, needless, cut or leaked connections."""
        chunk = (
            b'data: {"id": "r1", "attempt": 1, "choices": [{"delta": {}, '
            b'"finish_reason": "stop"}]}\n\ndata: [DONE]\n\n'
        )
        ends: list[bytes] = []

        async def handle(reader, writer) -> None:
            await reader.readuntil(b"}")
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                b"\r\n%x\r\n%s\r\n" % (len(chunk), chunk)
            )
            await asyncio.sleep(LATE_END_SECONDS)
            self.assertFalse(reader.at_eof(), "closed before its end")
            writer.write(b"0\r\n\r\n")
            ends.append(await reader.read())
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        spec = build_spec(f"http://127.0.0.1:{port}", body={})
        client = EngineClient(session=self.session)
        for number in range(3):
            await collect(client.run(spec), [])
            async with asyncio.timeout(2):
                while len(ends) <= number:
                    await asyncio.sleep(0.01)
        self.assertEqual(ends, [b""] * 3)

    async def test_silent_close_is_not_complete(self) -> None:
        """Guards against treating a clean close as a complete answer."""
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        error = await self.fail_on(await self.serve(head))
        self.assertEqual(error.provenance, Provenance.UNKNOWN)
        self.assertEqual(self.requests, 1)
