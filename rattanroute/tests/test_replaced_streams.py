"""Tests of silent streams: cuts, limits and room that a review looked at."""

import asyncio
import dataclasses
import time

from rattanroute.gateway.stall_inspectors import ANSWER_TIMEOUT_SECONDS
from rattanroute.gateway.stream_forwarders import FIRST_EVENT_SECONDS
from rattanroute.http1.servers import Exchange
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.test_silent_streams import DEADLINE_MS
from rattanroute.tests.test_silent_streams import never_begin
from rattanroute.tests.test_silent_streams import pause
from rattanroute.tests.test_silent_streams import reject
from rattanroute.tests.test_silent_streams import SILENCE_SECONDS
from rattanroute.tests.test_silent_streams import SilentEngineTestCase
from rattanroute.tests.test_silent_streams import stay_silent
from rattanroute.tests.test_silent_streams import stream_rest
from rattanroute.tests.test_unframed_answers import HEAD
from rattanroute.tests.test_unframed_answers import UnframedTarget

# Longer than the connect timeout of a probe.
FRONT_PAUSE_SECONDS = 0.35
BAD_REQUEST = 400


async def close_listener_and_pause(
    target: FakeTarget, exchange: Exchange
) -> None:
    """Stops accepting, as before a planned end, and finishes the stream."""
    target.server.listener.close()
    await pause(target, exchange)


async def go_on_and_break(target: FakeTarget, exchange: Exchange) -> None:
    """Sends an event after a silence, then closes the connection."""
    exchange.start(build_head(exchange))
    exchange.write(build_events(1, 3))
    await asyncio.sleep(SILENCE_SECONDS)
    exchange.write(build_events(3, 4))
    await asyncio.sleep(0.1)
    exchange.abort()


async def answer_with_an_error(target: FakeTarget, exchange: Exchange) -> None:
    """Answers that the request is wrong."""
    exchange.send(build_head(exchange, BAD_REQUEST), b"wrong")


class SuspectedAttemptTest(SilentEngineTestCase):
    """Guards against an attempt that is ended before another one goes on."""

    async def test_front_that_pauses_during_the_probe(self) -> None:
        """Guards against a cut after a probe that the front itself delayed."""
        await self.add_engines(pause, reject)
        self.silent.report_delay_s = SILENCE_SECONDS
        address = self.other.address
        # The replacement uses a kept connection.
        self.pool.put(
            await self.pool.take(address, timeout_s=1.0, identifier=None)
        )
        connect = self.streams.probes.connect

        async def connect_in_paused_process(address: str) -> object:
            task = asyncio.create_task(connect(address))
            await asyncio.sleep(0)
            time.sleep(FRONT_PAUSE_SECONDS)
            return await task

        self.streams.probes.connect = connect_in_paused_process
        await self.check_whole_stream()

    async def test_engine_that_closed_its_listener(self) -> None:
        """Guards against a cut at a planned end of an engine.

        It accepts no connection any more but finishes its open streams.
        """
        await self.add_engines(close_listener_and_pause, reject)
        call = asyncio.create_task(self.check_whole_stream())
        await asyncio.sleep(0.1)
        self.targets.get("t1").report.leaving = True
        await call

    async def test_first_targets_of_replaced_attempts(self) -> None:
        """Guards against a request that runs on more than `max_attempts`."""
        await self.add_engines(go_on_and_break, never_begin)
        third = await self.add_target("t3", stream_rest, service=SERVICE)
        # The second target is preferred to the third one.
        self.targets.get("t2").report.data_centre = "dc-a"
        call = asyncio.create_task(
            self.call("/stream/", deadline_ms=DEADLINE_MS)
        )
        async with asyncio.timeout(SILENCE_SECONDS):
            while not self.other.seen:
                await asyncio.sleep(0.01)
        self.departed.add("t2")
        await call
        seen = [bool(x.seen) for x in (self.silent, self.other, third)]
        route = next(
            x for x in self.table.routes["a.example"] if x.name == "stream"
        )
        self.assertLessEqual(sum(seen), route.max_attempts)


class RoomTest(SilentEngineTestCase):
    """Guards against a suspected attempt that takes the replacement's room."""

    async def test_frozen_second_engine(self) -> None:
        """Guards against a stream that waits for the room that it holds.

        The first engine has one slot. It reports that the second one stalls;
        the host of that one still accepts connections.
        """
        await self.add_engines(stay_silent, never_begin)
        await self.add_target("t3", stream_rest, service=SERVICE)
        for name, first, last in (("t1", 0, 39), ("t2", 40, 79)):
            report = self.targets.get(name).report
            report.data_centre = "dc-a"
            report.first_layer, report.last_layer = first, last
        report = self.targets.get("t3").report
        report.first_layer, report.last_layer = 40, 79
        self.silent.report = (
            b'{"stalled":[{"id":"r1","address":"%b"}]}'
            % self.other.address.encode()
        )
        self.limit_slots(1)
        self.silent.script = self.stall_once
        await self.check_replaced_in_time()

    def limit_slots(self, slots: int) -> None:
        """Limits the requests that an engine takes at once."""
        service = self.table.services[SERVICE]
        engine = dataclasses.replace(service.engine, slots=slots)
        self.table.services[SERVICE] = dataclasses.replace(
            service, engine=engine
        )

    async def stall_once(self, target: FakeTarget, exchange: Exchange) -> None:
        """Stalls the first request and serves the second one."""
        if len(target.seen) == 1:
            await stay_silent(target, exchange)
        else:
            await stream_rest(target, exchange)

    async def check_replaced_in_time(self) -> None:
        """Checks that a call ends before its caller would leave."""
        async with asyncio.timeout(2.0):
            await self.check_whole_stream()


class TwoAttemptsTest(SilentEngineTestCase):
    """Guards against attempts of one request that disturb each other."""

    async def test_second_attempt_at_the_same_first_engine(self) -> None:
        """Guards against an engine that runs one request identifier twice.

        Engines report stalls by request identifier; our stand-in loses the
        first attempt's entry when the second one ends.
        """
        await self.add_engines(self.count_open, never_begin)
        await self.add_target("t3", never_begin, service=SERVICE)
        for name, first, last in (("t1", 0, 39), ("t2", 40, 79)):
            report = self.targets.get(name).report
            report.data_centre = "dc-a"
            report.first_layer, report.last_layer = first, last
        report = self.targets.get("t3").report
        report.first_layer, report.last_layer = 40, 79
        self.silent.report = (
            b'{"stalled":[{"id":"r1","address":"%b"}]}'
            % self.other.address.encode()
        )
        self.most_open = 0
        await self.call("/stream/", deadline_ms=DEADLINE_MS, leave_after=1.5)
        self.assertEqual(len(self.silent.seen), 2)
        self.assertEqual(self.most_open, 1)

    async def count_open(self, target: FakeTarget, exchange: Exchange) -> None:
        """Records how many requests are open; serves only the second."""
        await asyncio.sleep(0.05)
        count = sum(not x.disconnected and not x.ended for x in target.seen)
        self.most_open = max(self.most_open, count)
        if len(target.seen) == 1:
            await stay_silent(target, exchange)
        else:
            await stream_rest(target, exchange)

    async def test_replacement_that_ends_without_an_event(self) -> None:
        """Guards against a cut answer that counts as complete.

        The replacement's process ends after the head of an answer without a
        length, while the first engine is still at work.
        """
        await self.add_engines(pause, never_begin)
        target = UnframedTarget(HEAD, reset=False)
        await target.open()
        self.addCleanup(target.server.close)
        self.targets.get("t2").report.address = target.address
        await self.check_whole_stream()
        self.assertEqual(target.requests, 1)

    async def test_error_answer_of_the_replacement(self) -> None:
        """Guards against a final error answer that waits for a silent engine.

        Nothing has been sent to the caller yet.
        """
        await self.add_engines(never_begin, answer_with_an_error)
        self.silent.report_delay_s = DEADLINE_MS / 1000
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await self.call("/stream/", deadline_ms=DEADLINE_MS)
        self.assertEqual(answer.status, BAD_REQUEST)
        suspected_s = FIRST_EVENT_SECONDS + ANSWER_TIMEOUT_SECONDS
        self.assertLess(loop.time() - started, suspected_s + 0.5)
