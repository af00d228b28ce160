"""Tests of the health of engines that go on after they were suspected."""

import asyncio

from rattanroute.http1.servers import Exchange
from rattanroute.systems.outlier_detections import BACKOFF_SECONDS
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.test_silent_streams import ALL_EVENTS
from rattanroute.tests.test_silent_streams import DEADLINE_MS
from rattanroute.tests.test_silent_streams import pause
from rattanroute.tests.test_silent_streams import reject
from rattanroute.tests.test_silent_streams import SilentEngineTestCase

# Longer than the pause of events and the wait for a state together.
PAUSE_SECONDS = 0.8
EVENT_INTERVAL_SECONDS = 0.2
LATE_EVENTS = 13


async def pause_and_stream_on(target: FakeTarget, exchange: Exchange) -> None:
    """Pauses in the first request and then streams for a few seconds."""
    exchange.start(build_head(exchange))
    if len(target.seen) > 1:
        exchange.write(ALL_EVENTS)
        exchange.end()
        return
    exchange.write(build_events(1, 3))
    await asyncio.sleep(PAUSE_SECONDS)
    target.report_delay_s = 0.0
    for number in range(3, LATE_EVENTS):
        exchange.write(build_events(number, number + 1))
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)
    exchange.end()


class ResumedEngineTest(SilentEngineTestCase):
    """Guards against an engine that is withheld although it works again."""

    async def test_new_call_while_the_first_goes_on(self) -> None:
        """Guards against refusals until a stream of the engine has ended."""
        await self.add_engines(pause_and_stream_on, reject)
        self.silent.report_delay_s = PAUSE_SECONDS
        first = asyncio.create_task(
            self.call("/stream/", deadline_ms=DEADLINE_MS)
        )
        # The back-off of one second has ended and the engine sends events.
        await asyncio.sleep(PAUSE_SECONDS + BACKOFF_SECONDS)
        self.assertFalse(first.done())
        second = await self.call("/stream/", request_id="r2")
        self.assertEqual((second.status, second.body), (200, ALL_EVENTS))
        self.assertFalse(first.done())
        await first


class PausedEngineTest(SilentEngineTestCase):
    """Guards against a verdict on an engine that has asked for a pause."""

    async def test_pause_known_from_a_state_query(self) -> None:
        """Guards against a second attempt and an ejection.

        The engine has answered a state query, with 503 and `Retry-After`.
        """
        await self.add_engines(pause, reject)
        now = asyncio.get_running_loop().time()
        control = self.streams.inspector.engine_control
        control.pauses[self.silent.address] = now + DEADLINE_MS / 1000
        call = asyncio.create_task(
            self.call("/stream/", deadline_ms=DEADLINE_MS)
        )
        await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual(self.targets.get("t1").ejections, 0)
        self.assertEqual(len(self.other.seen), 0)
        await call
