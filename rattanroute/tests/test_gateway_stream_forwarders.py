"""Tests of streams of engines through the gateway."""

import asyncio

from rattanroute.gateway.stream_events import EventSplitter
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.servers import Exchange
from rattanroute.systems.wait_queues import MAX_WAIT_SECONDS
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import LAYERS
from rattanroute.tests.gateway_support import SERVICE

EVENTS = 10
ALL_EVENTS = build_events(1, EVENTS + 1)


def find_start(target: FakeTarget) -> int:
    """Returns the number of the first event that a request asks for."""
    last = target.header(-1, b"last-event-id")
    return int(last) + 1 if last else 1


async def stream(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with all events that the request asks for."""
    exchange.start(build_head(exchange))
    exchange.write(build_events(find_start(target), EVENTS + 1))
    exchange.end()


async def stream_part(target: FakeTarget, exchange: Exchange) -> None:
    """Aborts in the middle of the fourth event after the start."""
    first = find_start(target)
    exchange.start(build_head(exchange))
    exchange.write(build_events(first, first + 3) + b"id: 99\ndata: br")
    await asyncio.sleep(0.02)
    exchange.abort()


async def stall(target: FakeTarget, exchange: Exchange) -> None:
    """Sends three events and then nothing."""
    exchange.start(build_head(exchange))
    exchange.write(build_events(1, 4))
    await asyncio.sleep(30)


async def reject(target: FakeTarget, exchange: Exchange) -> None:
    """Rejects the request without running it."""
    exchange.send(build_head(exchange, 503, stamped=False, not_run=True))


async def stream_slowly(target: FakeTarget, exchange: Exchange) -> None:
    """Sends four events with long pauses."""
    exchange.start(build_head(exchange))
    for number in range(1, 5):
        exchange.write(build_events(number, number + 1))
        await asyncio.sleep(0.6)
    exchange.end()


async def stream_late(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with all events after a long time in the queue."""
    await asyncio.sleep(1.8)
    await stream(target, exchange)


async def trickle(target: FakeTarget, exchange: Exchange) -> None:
    """Sends three events, then single bytes that complete no event."""
    exchange.start(build_head(exchange))
    exchange.write(build_events(1, 4) + b"id: 4\ndata: ")
    while not exchange.disconnected:
        await asyncio.sleep(0.1)
        exchange.write(b".")


async def stream_and_leave(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with all events and announces the engine's departure."""
    exchange.start(build_head(exchange, leaving=True))
    exchange.write(ALL_EVENTS)
    exchange.end()


async def reject_with_pause(target: FakeTarget, exchange: Exchange) -> None:
    """Rejects the request and asks for a pause."""
    head = build_head(exchange, 503, stamped=False, not_run=True, pause_s=2)
    exchange.send(head)


async def reject_first(target: FakeTarget, exchange: Exchange) -> None:
    """Rejects the first request and answers the others."""
    await (reject if len(target.seen) == 1 else stream)(target, exchange)


class StreamTest(GatewayTestCase):
    """Guards against missing, duplicate, merged or truncated events."""

    async def add_engine(self, target_id: str, script: object) -> FakeTarget:
        """Starts an engine that holds all layers."""
        return await self.add_target(target_id, script, service=SERVICE)

    async def test_whole_stream(self) -> None:
        engine = await self.add_engine("t1", stream)
        answered = await self.call("/stream/")
        self.assertEqual(answered.status, 200)
        self.assertEqual(answered.body, ALL_EVENTS)
        self.assertTrue(answered.complete)
        self.assertEqual(
            engine.header(0, b"rattanroute-hop-count"),
            f"{engine.address}=0-{LAYERS}".encode(),
        )
        self.assertEqual(self.streams.finder.chooser.loads.own_loads(), ())

    async def test_broken_stream_resumes_at_another_target(self) -> None:
        first = await self.add_engine("t1", stream_part)
        second = await self.add_engine("t2", stream_part)
        first.script, second.script = stream_part, stream
        for _ in range(4):
            answered = await self.call("/stream/")
            self.assertEqual(answered.body, ALL_EVENTS)
            self.assertTrue(answered.complete)

    async def test_stream_that_cannot_resume_is_incomplete(
        self,
    ) -> None:
        await self.add_engine("t1", stream_part)
        answered = await self.call("/stream/")
        self.assertEqual(answered.body, build_events(1, 4))
        self.assertFalse(answered.complete)

    async def test_stream_that_is_not_resumable_is_aborted(self) -> None:
        first = await self.add_engine("t1", stream_part)
        second = await self.add_engine("t2", stream_part)
        answered = await self.call("/single/")
        self.assertFalse(answered.complete)
        self.assertEqual(len(first.seen) + len(second.seen), 1)

    async def test_last_event_id_of_the_client_is_forwarded(self) -> None:
        engine = await self.add_engine("t1", stream)
        answered = await self.call("/stream/", extra="Last-Event-Id: 4\r\n")
        self.assertEqual(answered.body, build_events(5, EVENTS + 1))
        self.assertEqual(engine.header(0, b"last-event-id"), b"4")

    async def test_stream_runs_on_two_first_targets_at_most(self) -> None:
        engines = [
            await self.add_engine(f"t{number}", stream_part)
            for number in range(4)
        ]
        answered = await self.call("/stream/")
        self.assertFalse(answered.complete)
        self.assertLessEqual(sum(bool(x.seen) for x in engines), 2)

    async def test_rejected_stream_goes_to_another_chain(self) -> None:
        await self.add_engine("t1", reject)
        await self.add_engine("t2", stream)
        for _ in range(4):
            self.assertEqual((await self.call("/stream/")).body, ALL_EVENTS)

    async def test_slow_stream_is_not_aborted(self) -> None:
        """Guards against mistaking a slow stream for a stalled one."""
        engine = await self.add_engine("t1", stream_slowly)
        await self.add_engine("t2", stream)
        self.fill("t2")
        answered = await self.call("/stream/")
        self.assertEqual(answered.body, build_events(1, 5))
        self.assertTrue(answered.complete)
        self.assertEqual(len(engine.seen), 1)

    async def test_stream_without_whole_events_moves_on(self) -> None:
        """Guards against a stalled stream that single bytes keep open."""
        await self.add_engine("t1", trickle)
        await self.add_engine("t2", stream)
        self.fill("t2")
        asyncio.get_running_loop().call_later(0.3, self.fill, "t2", -1)
        answered = await self.call("/stream/", deadline_ms=5000)
        self.assertEqual(answered.body, ALL_EVENTS)
        self.assertTrue(answered.complete)

    async def test_engine_with_a_queue_may_start_late(self) -> None:
        """Guards against requests that lose their place in a queue."""
        engine = await self.add_engine("t1", stream_late)
        engine.report = b'{"queued":3}'
        answered = await self.call("/stream/", deadline_ms=5000)
        self.assertEqual(answered.body, ALL_EVENTS)
        self.assertEqual(len(engine.seen), 1)

    async def test_engine_that_leaves_finishes_its_stream(self) -> None:
        """Guards against new streams for an engine that is leaving."""
        leaving = await self.add_engine("t1", stream_and_leave)
        answered = await self.call("/stream/")
        self.assertEqual(answered.body, ALL_EVENTS)
        self.assertTrue(answered.complete)
        self.assertEqual(self.departed, {"t1"})
        self.assertEqual((await self.call("/stream/")).status, 503)
        self.assertEqual(len(leaving.seen), 1)

    async def test_engine_that_asked_for_a_pause(self) -> None:
        """Guards against streams and state queries to a paused engine."""
        paused = await self.add_engine("t1", reject_with_pause)
        refusals = [
            await self.call("/stream/", deadline_ms=20000) for _ in range(4)
        ]
        self.assertEqual(len(paused.seen), 1)
        for refusal in refusals:
            self.assertEqual(refusal.status, 503)
            self.assertGreater(float(refusal.headers[b"retry-after"]), 1.5)

    async def test_stream_without_a_chain_is_refused_at_once(self) -> None:
        started = asyncio.get_running_loop().time()
        answered = await self.call("/stream/", deadline_ms=20000)
        self.assertEqual(answered.status, 503)
        self.assertIn(b"retry-after", answered.headers)
        self.assertLess(asyncio.get_running_loop().time() - started, 0.5)

    def fill(self, target_id: str, sign: int = 1) -> None:
        """Makes an engine look full; empty again with sign -1."""
        loads = self.streams.finder.chooser.loads
        loads.add(target_id, requests=sign * 1000, cache_units=0)

    async def test_stream_waits_for_capacity_after_a_burst(self) -> None:
        """Guards against a refusal shortly before capacity becomes free."""
        await self.add_engine("e1", stream)
        self.fill("e1")
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, self.fill, "e1", -1)
        answer = await self.call("/stream/x")
        self.assertEqual((answer.status, answer.body), (200, ALL_EVENTS))

    async def test_engine_that_was_full_is_retried(self) -> None:
        """Guards against a refusal when the only chain was full briefly."""
        target = await self.add_engine("e1", reject_first)
        answer = await self.call("/stream/x")
        self.assertEqual((answer.status, answer.body), (200, ALL_EVENTS))
        self.assertEqual(len(target.seen), 2)

    async def test_wait_for_capacity_ends_in_a_refusal(self) -> None:
        """Guards against a request that waits until its deadline."""
        target = await self.add_engine("e1", stream)
        self.fill("e1")
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await self.call("/stream/x", deadline_ms=10_000)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"retry-after", answer.headers)
        self.assertLess(loop.time() - started, 2 * MAX_WAIT_SECONDS)
        self.assertEqual(target.seen, [])

    async def test_client_disconnect_ends_the_wait(self) -> None:
        """Guards against assigning capacity to disconnected clients."""
        target = await self.add_engine("e1", stream)
        self.fill("e1")
        await self.call("/stream/x", leave_after=0.1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.streams.finder.queue.pending, {})
        self.fill("e1", -1)
        await asyncio.sleep(0.1)
        self.assertEqual(target.seen, [])

    async def test_missing_layers_are_refused_at_once(self) -> None:
        """Guards against waiting for layers that no target holds."""
        target = await self.add_engine("e1", stream)
        row = self.targets.get(target.target_id)
        row.report.last_layer = LAYERS - 2
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await self.call("/stream/x")
        self.assertEqual(answer.status, 503)
        self.assertLess(loop.time() - started, MAX_WAIT_SECONDS / 2)

    async def test_connection_returned_to_the_pool_is_not_closed(self) -> None:
        await self.add_engine("t1", stream)
        taken = []

        def take_at_once(connection: ClientConnection) -> None:
            put(connection)
            again = self.pool.take_idle(connection.address, "other")
            again.sink = object()
            again.parser.receiver = again
            taken.append(again)

        put, self.pool.put = self.pool.put, take_at_once
        answered = await self.call("/stream/")
        self.assertTrue(answered.complete)
        await asyncio.sleep(0.05)
        self.assertFalse(taken[0].transport.is_closing())
        taken[0].cancel()

    async def test_retry_delays_are_spread(self) -> None:
        returns = []
        for _ in range(20):
            answered = await self.call("/stream/", deadline_ms=20000)
            returns.append(float(answered.headers[b"retry-after"]))
        # Clients honour at most a third of the route's timeout of 3 s.
        self.assertLessEqual(max(returns), 1.0)
        self.assertGreater(max(returns) - min(returns), 0.3)

    async def test_stream_moves_when_the_engine_reports_a_stall(
        self,
    ) -> None:
        first = await self.add_engine("t1", stall)
        first.report = (
            b'{"stalled":[{"id":"r1","address":"%b"}]}' % first.address.encode()
        )
        self.targets.get("t1").report.data_centre = "dc-a"
        await self.add_engine("t2", stream)
        answered = await self.call("/stream/", deadline_ms=20000)
        self.assertEqual(answered.body, ALL_EVENTS)
        self.assertTrue(answered.complete)

    async def test_open_stream_moves_from_a_target_that_is_gone(self) -> None:
        await self.add_engine("t1", stall)
        task = asyncio.create_task(self.call("/stream/", deadline_ms=20000))
        await asyncio.sleep(0.1)
        await self.add_engine("t2", stream)
        self.targets.get("t1").reachable = False
        self.streams.suspect_attempts_at("t1")
        answered = await task
        self.assertEqual(answered.body, ALL_EVENTS)
        self.assertTrue(answered.complete)

    async def test_client_disconnect_ends_the_stream(self) -> None:
        engine = await self.add_engine("t1", stall)
        await self.call("/stream/", leave_after=0.1, deadline_ms=20000)
        async with asyncio.timeout(0.5):
            await engine.disconnected.wait()
        self.assertEqual(self.streams.finder.chooser.loads.own_loads(), ())


class EventSplitterTest(GatewayTestCase):
    """Guards against events that are lost when they arrive in parts."""

    def test_events_in_single_bytes(self) -> None:
        buffer = self.pool.buffers.create(peer="t1", on_evicted=self.fail)
        splitter = EventSplitter(buffer=buffer)
        events = []
        for number in range(len(ALL_EVENTS)):
            events += splitter.feed(ALL_EVENTS[number : number + 1])
        self.assertEqual(b"".join(x.data for x in events), ALL_EVENTS)
        self.assertEqual(events[3].event_id, b"4")
        self.assertEqual(buffer.data, b"")
