"""Tests of calls while all connections to targets are reset."""

import asyncio

from rattanroute.http1.servers import Exchange
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import SERVICE

ALL_EVENTS = build_events(1, 7)
# Longer than the back-off from a target that rejected a request.
BACKOFF_SECONDS = 0.4


class OldConnections:
    """Scripts of targets that reset the connections of an earlier call.

    Attributes:
        is_reset: Whether the connections are reset.
        old: Connections of the earlier call.
    """

    def __init__(self) -> None:
        self.is_reset = False
        self.old: set[object] = set()

    def is_gone(self, exchange: Exchange) -> bool:
        """Resets an old connection; returns whether it was one."""
        if not self.is_reset:
            self.old.add(exchange.connection)
            return False
        if exchange.connection not in self.old:
            return False
        exchange.connection.transport.abort()
        return True

    async def break_off(self, target: FakeTarget, exchange: Exchange) -> None:
        """Rejects the earlier call; breaks off after two events later."""
        if not self.is_reset:
            self.old.add(exchange.connection)
            exchange.send(
                build_head(exchange, 503, stamped=False, not_run=True)
            )
            return
        exchange.start(build_head(exchange))
        exchange.write(build_events(1, 3))
        await asyncio.sleep(0.05)
        exchange.connection.transport.abort()

    async def stream(self, target: FakeTarget, exchange: Exchange) -> None:
        """Sends the events that are left."""
        if self.is_gone(exchange):
            return
        last = int(target.header(-1, b"last-event-id") or 0)
        exchange.start(build_head(exchange))
        exchange.write(build_events(last + 1, 7))
        exchange.end()

    async def answer(self, target: FakeTarget, exchange: Exchange) -> None:
        """Answers with success."""
        if self.is_gone(exchange):
            return
        exchange.send(build_head(exchange), b"body")


class ResetConnectionsTest(GatewayTestCase):
    """Guards against a second attempt that fails for the first one's reason."""

    async def test_stream_goes_on_over_a_new_connection(self) -> None:
        scripts = OldConnections()
        await self.add_target("t1", scripts.break_off, service=SERVICE)
        self.targets.get("t1").report.data_centre = "dc-a"
        await self.add_target("t2", scripts.stream, service=SERVICE)
        first = await self.call("/stream/")
        self.assertEqual(first.body, ALL_EVENTS)
        await asyncio.sleep(BACKOFF_SECONDS)
        scripts.is_reset = True
        second = await self.call("/stream/", request_id="r2")
        self.assertEqual((second.status, second.body), (200, ALL_EVENTS))
        self.assertTrue(second.complete)

    async def test_repeatable_call_is_repeated_over_a_new_connection(
        self,
    ) -> None:
        scripts = OldConnections()
        for name in ("t1", "t2"):
            await self.add_target(name, scripts.answer)
        await asyncio.gather(
            *(self.call("/safe/", request_id=f"r{x}") for x in range(4))
        )
        scripts.is_reset = True
        answered = await self.call("/safe/", request_id="last")
        self.assertEqual((answered.status, answered.body), (200, b"body"))
