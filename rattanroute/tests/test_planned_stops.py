"""Tests of the planned stops of the platform's programs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import tempfile
import unittest

from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.servers import Exchange
from rattanroute.platform.cores import CoreDaemon
from rattanroute.platform.fronts import FrontDaemon
from rattanroute.platform.programs import run_daemon
from rattanroute.platform.settings import BootSettings
from rattanroute.platform.settings import DeploymentLimits
from rattanroute.platform.settings import ListenSettings
from rattanroute.systems.shutdown_schedules import ANSWER_MARGIN_SECONDS
from rattanroute.systems.shutdown_schedules import ShutdownSchedule
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tools.cluster_hosts import reserve_network

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
GRACE_SECONDS = 1.5
LONG_GRACE_SECONDS = 8.0
# A process that ends less than this before SIGKILL may be killed instead.
EXIT_SECONDS = 0.2
PEER_PORT = 7340
# More than the buffers of a connection hold together.
LONG_ANSWER = b"x" * 8_000_000
FOREVER_SECONDS = 30.0


class HandlerStub:
    """Answers requests with a script of the test."""

    def __init__(self, handle: Callable[[Exchange], Awaitable[None]]) -> None:
        self.handle = handle


class DaemonTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a program inside the test, without other machines."""

    program: type[FrontDaemon] | type[CoreDaemon] = FrontDaemon

    async def asyncSetUp(self) -> None:
        """Starts the program."""
        lock, network = reserve_network()
        self.addCleanup(lock.close)
        self.loop = asyncio.get_running_loop()
        self.daemon = self.program(
            path=pathlib.Path("unused"), boot=self.build_boot(f"{network}.1.1")
        )
        self.daemon.handler = HandlerStub(self.answer)
        await self.daemon.start()
        server = self.daemon.request_server
        self.address = server.listener.sockets[0].getsockname()

    def build_boot(self, address: str) -> BootSettings:
        """Builds the settings of a machine whose core is only itself."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        listen = f"{address}:0"
        return BootSettings(
            node="machine-1",
            ip=address,
            zone="zone-a",
            listen=ListenSettings(front=listen, ready=listen, control=listen),
            internal_port_range=(PEER_PORT, PEER_PORT + 2),
            seeds=[listen] if self.program is CoreDaemon else [],
            bootstrap=True,
            data_dir=folder.name if self.program is CoreDaemon else None,
            bounds=DeploymentLimits(grace_s=GRACE_SECONDS),
        )

    async def answer(self, exchange: Exchange) -> None:
        """Sends a long answer, or starts one that never ends."""
        if exchange.request.head.target == b"/long":
            exchange.send(ResponseHead(status=200), LONG_ANSWER)
            return
        exchange.start(ResponseHead(status=200))
        await asyncio.sleep(FOREVER_SECONDS)

    async def hang(self) -> None:
        """Stands for a step of the stop that does not end."""
        await asyncio.sleep(FOREVER_SECONDS)

    async def open_request(
        self, request: bytes = REQUEST
    ) -> asyncio.StreamReader:
        """Sends a request and returns its connection."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(request)
        async with asyncio.timeout(2):
            await reader.readline()
        return reader

    async def stop(self, signalled_at: float) -> float:
        """Stops the front; returns the seconds from the signal to the end."""
        async with asyncio.timeout(GRACE_SECONDS + 1):
            await self.daemon.stop(signalled_at=signalled_at)
        return self.loop.time() - signalled_at


class EndOfGraceTimeTest(DaemonTestCase):
    """Guards against SIGKILL during a stop with requests that go on."""

    async def test_stop_with_an_open_request(self) -> None:
        await self.open_request()
        seconds = await self.stop(self.loop.time())
        self.assertLess(seconds, GRACE_SECONDS - EXIT_SECONDS)

    async def test_leaving_the_cluster_hangs(self) -> None:
        """Guards against callers that stay connected until SIGKILL."""
        reader = await self.open_request()
        self.addAsyncCleanup(self.daemon.control.stop)
        self.daemon.control.stop = self.hang
        signalled_at = self.loop.time()
        stop = asyncio.create_task(self.stop(signalled_at))
        await reader.read()
        cut_after = self.loop.time() - signalled_at
        self.assertLess(cut_after, GRACE_SECONDS - EXIT_SECONDS)
        self.assertLess(await stop, GRACE_SECONDS - EXIT_SECONDS)

    async def test_leaving_is_done_before_the_requests_end(self) -> None:
        """Guards against cutting requests early to have time for leaving."""
        reader = await self.open_request()
        stop = asyncio.create_task(self.stop(self.loop.time()))
        await reader.read()
        self.assertTrue(self.daemon.control.left)
        await stop

    async def test_time_counts_from_the_signal(self) -> None:
        """Guards against a stop that waits too long after a late start."""
        await self.open_request()
        seconds = await self.stop(self.loop.time() - GRACE_SECONDS / 2)
        self.assertLess(seconds, GRACE_SECONDS - EXIT_SECONDS)

    async def test_reader_that_is_slow_at_the_end(self) -> None:
        """Guards against dropping a complete answer before SIGKILL."""
        reader = await self.open_request(
            b"GET /long HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        signalled_at = self.loop.time()
        schedule = self.daemon.plan_shutdown(signalled_at)
        stop = asyncio.create_task(self.stop(signalled_at))
        # The step of leaving the cluster takes two ticks of 0.1 s.
        await asyncio.sleep(schedule.end_by - 0.05 - self.loop.time())
        self.assertFalse(stop.done())
        self.assertTrue((await reader.read()).endswith(LONG_ANSWER))
        self.assertLess(await stop, GRACE_SECONDS - EXIT_SECONDS)

    async def test_nothing_is_open(self) -> None:
        """Guards against a stop that lasts until the end in any case."""
        signalled_at = self.loop.time()
        schedule = ShutdownSchedule(
            signalled_at=signalled_at, grace_s=GRACE_SECONDS
        )
        await self.daemon.stop(signalled_at=signalled_at)
        self.assertLess(self.loop.time(), schedule.accept_until + 0.4)


class CoreStopTest(DaemonTestCase):
    """Guards against control calls that a stop of a core machine cuts."""

    program = CoreDaemon

    async def answer(self, exchange: Exchange) -> None:
        """Answers while the core machine stops."""
        self.arrived.set()
        await self.gate.wait()
        exchange.send(ResponseHead(status=200), b"done")

    async def send_request(self) -> asyncio.Task[bytes]:
        """Sends a request; returns a task with the bytes of its answer."""
        self.arrived = asyncio.Event()
        self.gate = asyncio.Event()
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(REQUEST)
        await self.arrived.wait()
        return asyncio.create_task(reader.read())

    async def test_open_call_is_answered_before_the_hand_over(self) -> None:
        """Guards against a change that fails as leadership is handed over."""
        left = []
        leave = self.daemon.control.stop

        async def note_leave() -> None:
            left.append(self.gate.is_set())
            await leave()

        self.daemon.control.stop = note_leave
        answer = await self.send_request()
        self.loop.call_later(0.3, self.gate.set)
        await self.stop(self.loop.time())
        self.assertTrue((await answer).endswith(b"done"))
        self.assertEqual(left, [True])

    async def test_call_without_an_end(self) -> None:
        """Guards against a core machine that is killed as one call lasts."""
        answer = await self.send_request()
        seconds = await self.stop(self.loop.time())
        self.assertLess(seconds, GRACE_SECONDS - EXIT_SECONDS)
        self.assertEqual(await answer, b"")

    async def test_nothing_is_open(self) -> None:
        self.assertLess(await self.stop(self.loop.time()), 0.5)


class DaemonStub:
    """A daemon that receives SIGTERM during its start.

    Attributes:
        signalled_at: Time of the signal that `stop` was told.
    """

    def __init__(self) -> None:
        self.signalled_at = 0.0

    async def start(self) -> None:
        """Sends the signal and goes on with the start for a while."""
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.3)

    async def stop(self, *, signalled_at: float) -> None:
        """Stores the time of the signal."""
        self.signalled_at = signalled_at

    def reload(self) -> None:
        """Does nothing."""


class SignalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a grace time that is counted from the wrong moment."""

    async def test_signal_during_the_start(self) -> None:
        daemon = DaemonStub()
        started_at = asyncio.get_running_loop().time()
        await run_daemon(daemon, [])
        self.assertLess(daemon.signalled_at - started_at, 0.2)


class UnansweredRequestTest(GatewayTestCase):
    """Guards against requests without an answer at the end of a stop."""

    async def wait(self, target: FakeTarget, exchange: Exchange) -> None:
        """Never answers."""
        await asyncio.sleep(FOREVER_SECONDS)

    async def begin(self, target: FakeTarget, exchange: Exchange) -> None:
        """Sends an event and never ends the stream."""
        exchange.start(build_head(exchange))
        exchange.write(build_events(1, 2))
        await asyncio.sleep(FOREVER_SECONDS)

    async def call_until_the_end(self, path: str) -> object:
        """Sends a request that is open at the end of the stop."""
        call = asyncio.create_task(self.call(path, deadline_ms=20_000))
        self.server.start_draining()
        await asyncio.sleep(0.3)
        self.server.stop_accepting()
        self.server.end_requests()
        await self.server.wait_until_empty(self.server.loop.time() + 1)
        return await call

    async def test_service_call_that_may_have_run(self) -> None:
        await self.add_target("t1", self.wait)
        answer = await self.call_until_the_end("/once/x")
        self.assertEqual(answer.status, 502)
        self.assertTrue(answer.complete)

    async def test_stream_that_may_have_run(self) -> None:
        await self.add_target("t1", self.wait, service=SERVICE)
        answer = await self.call_until_the_end("/stream/x")
        self.assertEqual(answer.status, 502)
        self.assertTrue(answer.complete)

    async def test_stream_that_was_not_sent(self) -> None:
        await self.add_target("t1", self.wait, service=SERVICE)
        self.streams.finder.chooser.loads.add(
            "t1", requests=1000, cache_units=0
        )
        answer = await self.call_until_the_end("/stream/x")
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.headers)
        self.assertEqual(answer.headers[b"connection"], b"close")

    async def test_begun_stream_is_not_completed(self) -> None:
        """Guards against a cut stream that looks complete."""
        await self.add_target("t1", self.begin, service=SERVICE)
        answer = await self.call_until_the_end("/stream/x")
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.complete)


class LateRequestTest(GatewayTestCase):
    """Guards against requests that are complete too late to be answered."""

    async def answer(self, target: FakeTarget, exchange: Exchange) -> None:
        """Answers at once."""
        exchange.send(build_head(exchange), b"done")

    def stop_listening(self, left_s: float) -> None:
        """Plays a stop after its listener has closed.

        Args:
            left_s: Seconds until the requests end.
        """
        elapsed_s = LONG_GRACE_SECONDS - ANSWER_MARGIN_SECONDS - left_s
        schedule = ShutdownSchedule(
            signalled_at=self.server.loop.time() - elapsed_s,
            grace_s=LONG_GRACE_SECONDS,
        )
        self.handler.shutdown = lambda: schedule
        self.server.start_draining()

    async def test_long_stream_is_refused(self) -> None:
        target = await self.add_target("t1", self.answer, service=SERVICE)
        self.stop_listening(left_s=2.0)
        answer = await self.call("/stream/x", deadline_ms=3_000)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.headers)
        self.assertEqual(answer.headers[b"connection"], b"close")
        self.assertEqual(target.seen, [])

    async def test_long_plain_call_is_refused(self) -> None:
        """Guards against an unknown outcome of a call that may not repeat."""
        target = await self.add_target("t1", self.answer)
        self.stop_listening(left_s=2.0)
        answer = await self.call("/once/x", deadline_ms=3_000)
        self.assertEqual(answer.status, 503)
        self.assertEqual(target.seen, [])

    async def test_short_plain_call_is_served(self) -> None:
        await self.add_target("t1", self.answer)
        self.stop_listening(left_s=2.0)
        answer = await self.call("/once/x", deadline_ms=1_000)
        self.assertEqual((answer.status, answer.body), (200, b"done"))
