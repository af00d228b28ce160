"""Tests of a front whose own process pauses, as on a busy machine.

A time limit that passes while the process does not run says nothing about the
other side: its answer may lie unread in the socket.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from rattanroute.http1.servers import Exchange
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.test_silent_streams import EVENTS
from rattanroute.tests.test_silent_streams import reject
from rattanroute.tests.test_silent_streams import SilentEngineTestCase
from rattanroute.tests.test_silent_streams import stream_rest

# Longer than the limits of a connection attempt and of a state query.
PAUSE_SECONDS = 0.35
# Longer than the time after which a stream is inspected.
SILENCE_SECONDS = 0.8


async def send_and_break(target: FakeTarget, exchange: Exchange) -> None:
    """Closes the connection after two events."""
    exchange.start(build_head(exchange))
    exchange.write(build_events(1, 3))
    await asyncio.sleep(0.1)
    exchange.abort()


async def send_with_a_gap(target: FakeTarget, exchange: Exchange) -> None:
    """Sends all events with a short silence, as a full engine does."""
    exchange.start(build_head(exchange))
    exchange.write(build_events(1, 3))
    await asyncio.sleep(SILENCE_SECONDS)
    exchange.write(build_events(3, 4))
    await asyncio.sleep(SILENCE_SECONDS / 2)
    exchange.write(build_events(4, EVENTS + 1))
    exchange.end()


def pause_during(
    function: Callable[..., Awaitable[object]],
) -> Callable[..., Awaitable[object]]:
    """Returns a function during which the whole process pauses."""

    async def call(*args: object, **options: object) -> object:
        task = asyncio.create_task(function(*args, **options))
        await asyncio.sleep(0)
        time.sleep(PAUSE_SECONDS)
        return await task

    return call


class PausedFrontTest(SilentEngineTestCase):
    """Guards against verdicts on targets after a pause of the front."""

    async def test_pause_while_the_replacement_is_connected(self) -> None:
        """Guards against a begun answer that is cut though an engine is free.

        The front opens a connection to that engine and pauses meanwhile.
        """
        await self.add_engines(send_and_break, stream_rest)
        take = self.pool.take
        paused = pause_during(take)

        async def take_or_pause(address: str, **options: object) -> object:
            chosen = paused if address == self.other.address else take
            return await chosen(address, **options)

        self.pool.take = take_or_pause
        await self.check_whole_stream()

    async def test_pause_during_a_state_query(self) -> None:
        """Guards against the ejection of an engine that answers at once."""
        await self.add_engines(send_with_a_gap, reject)
        control = self.streams.inspector.engine_control
        self.streams.inspector.engine_control = FetchStub(
            pause_during(control.fetch_state)
        )
        await self.check_whole_stream()
        self.assertEqual(self.targets.get("t1").ejections, 0)


class FetchStub:
    """Stands for a client of state queries."""

    def __init__(self, fetch: Callable[[str], Awaitable[object]]) -> None:
        self.fetch_state = fetch
