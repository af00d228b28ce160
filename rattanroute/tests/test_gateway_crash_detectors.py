"""Tests of crash detection and of bans of requests that crash targets."""

import asyncio
import itertools
from unittest import mock

from rattanroute.gateway.crash_detectors import EARLY_SECONDS
from rattanroute.gateway.crash_detectors import LostAttempt
from rattanroute.http1.heads import find_header
from rattanroute.http1.servers import Exchange
from rattanroute.systems.crash_bans import BAN_SECONDS
from rattanroute.systems.crash_causes import CRASHES_TO_BAN
from rattanroute.systems.crash_causes import SETTLE_SECONDS
from rattanroute.tables.crash_suspects import SAME_CAUSE_SECONDS
from rattanroute.tests.gateway_hosts import Answer
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import SERVICE

# Retries come after the window in which crashes may share a cause.
RETURN_SECONDS = SAME_CAUSE_SECONDS + 0.1
TICK_SECONDS = 0.1


async def crash(target: FakeTarget, exchange: Exchange) -> None:
    """Closes the listener and the connection."""
    target.server.listener.close()
    exchange.abort()


async def reset(target: FakeTarget, exchange: Exchange) -> None:
    """Closes only the connection."""
    exchange.abort()


async def answer(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with success."""
    exchange.send(build_head(exchange), b"ok")


async def serve(target: FakeTarget, exchange: Exchange) -> None:
    """Streams an answer; crashes at a prompt with the part `dead`."""
    headers = exchange.request.head.headers
    if b",dead:" in find_header(headers, b"rattanroute-prompt-prefix"):
        await crash(target, exchange)
        return
    exchange.start(build_head(exchange))
    exchange.write(build_events(1, 4))
    exchange.end()


class CrashDetectorTest(GatewayTestCase):
    """Guards against missed crashes and false detections."""

    async def lose(
        self, path: str = "/once/x", **options: object
    ) -> LostAttempt:
        """Sends a request whose attempt is lost and returns the attempt."""
        await self.call(path, **options)
        return self.crashes.unresolved[-1]

    async def test_target_that_refuses_connections_has_crashed(self) -> None:
        await self.add_target("t1", crash)
        lost = await self.lose()
        async with asyncio.timeout(1.0):
            crashed = await lost.verdict
        self.assertEqual(crashed.target_id, "t1")
        self.assertEqual(self.crashes.unresolved, [])

    async def test_target_that_resets_a_request_has_not_crashed(self) -> None:
        await self.add_target("t1", reset)
        lost = await self.lose()
        await asyncio.sleep(0.1)
        self.crashes.check()
        self.assertFalse(lost.verdict.done())

    async def test_later_incarnation_at_the_address_means_a_crash(self) -> None:
        """Guards against a missed crash when the listener stays open."""
        target = await self.add_target("t1", reset)
        lost = await self.lose()
        report = self.targets.get("t1").report
        again = type(report)(
            target_id="t2",
            incarnation=report.incarnation + 1,
            address=target.address,
            data_centre="dc-a",
            model=report.model,
            last_layer=-1,
        )
        self.targets.record(report=again, observer="v", received_at=1.0)
        self.crashes.check()
        self.assertEqual(lost.verdict.result().target_id, "t1")

    async def test_planned_departure_is_no_crash(self) -> None:
        """Guards against blaming a request for a planned departure."""

        async def announce_leaving(
            target: FakeTarget, exchange: Exchange
        ) -> None:
            self.targets.get("t1").report.leaving = True
            await crash(target, exchange)

        await self.add_target("t1", announce_leaving)
        lost = await self.lose()
        await asyncio.sleep(0.1)
        self.crashes.check()
        self.assertFalse(lost.verdict.done())

    async def test_timeout_starts_no_probe(self) -> None:
        """Guards against probes that add load to a slow service."""

        async def wait(target: FakeTarget, exchange: Exchange) -> None:
            await target.disconnected.wait()

        await self.add_target("t1", wait)
        await self.lose(deadline_ms=200)
        await asyncio.sleep(0.1)
        self.assertEqual(self.pool.connect_attempts, 1)

    async def test_long_running_stream_is_not_lost_early(self) -> None:
        """Guards against suspecting long-running streams of a crash."""

        async def crash_later(target: FakeTarget, exchange: Exchange) -> None:
            exchange.start(build_head(exchange))
            for number in range(1, 6):
                exchange.write(build_events(number, number + 1))
                await asyncio.sleep(EARLY_SECONDS / 4)
            exchange.abort()

        await self.add_target("t1", crash_later, service=SERVICE)
        self.assertFalse((await self.lose("/single/x")).early)

    async def test_stream_that_crashes_its_target_is_lost_early(
        self,
    ) -> None:
        """Guards against missing a stream that crashes its target quickly."""

        async def crash_soon(target: FakeTarget, exchange: Exchange) -> None:
            exchange.start(build_head(exchange))
            exchange.write(build_events(1, 2))
            await asyncio.sleep(0.05)
            exchange.abort()

        await self.add_target("t1", crash_soon, service=SERVICE)
        self.assertTrue((await self.lose("/single/x")).early)

    async def test_old_refusal_does_not_count_for_a_new_incarnation(
        self,
    ) -> None:
        """Guards against counting one crash twice."""
        target = await self.add_target("t1", reset)
        self.crashes.refused_at[target.address] = 0.0
        lost = await self.lose()
        self.crashes.check()
        self.assertFalse(lost.verdict.done())

    async def test_retries_share_a_fingerprint(self) -> None:
        """Guards against retries that are not recognised as such."""
        await self.add_target("t1", reset)
        first = await self.lose(request_id="r1")
        self.clear_target_backoff()
        again = await self.lose(request_id="r2", extra="X-Try: 2\r\n")
        self.clear_target_backoff()
        other = await self.lose(request_id="r3", body=b"y")
        self.assertEqual(first.fingerprint, again.fingerprint)
        self.assertNotEqual(first.fingerprint, other.fingerprint)

    def clear_target_backoff(self) -> None:
        """Makes the target selectable again after a failure."""
        row = self.targets.get("t1")
        row.blocked_until = 0.0
        row.failures = 0

    async def test_answered_request_is_no_lost_attempt(self) -> None:
        await self.add_target("t1", answer)
        self.assertEqual((await self.call("/once/x")).status, 200)
        self.assertEqual(self.crashes.unresolved, [])


class CrashingPartTest(GatewayTestCase):
    """Guards against a prompt part that crashes one engine after another.

    No two of the requests are alike.
    """

    async def asyncSetUp(self) -> None:
        """Starts engines that crash at a prompt with the part `dead`."""
        await super().asyncSetUp()
        self.engines = [
            await self.add_target(f"t{number}", serve, service=SERVICE)
            for number in range(8)
        ]
        self.numbers = itertools.count()
        ticker = asyncio.create_task(self.run_ticks())
        self.addCleanup(ticker.cancel)

    async def run_ticks(self) -> None:
        """Runs the periodic work of the ban system and the detector."""
        while True:
            self.crashes.check()
            self.bans.tick(now=asyncio.get_running_loop().time())
            await asyncio.sleep(TICK_SECONDS)

    async def send(self, *parts: str) -> Answer:
        """Sends a new stream with some shared parts."""
        number = next(self.numbers)
        prompt = ",".join(f"{part}:10" for part in (*parts, f"{number:x}"))
        return await self.call(
            "/stream/x",
            body=b"%d" % number,
            request_id=f"r{number}",
            extra=f"Rattanroute-Prompt-Prefix: {prompt}\r\n",
        )

    async def crash_in_turn(self, *parts: str) -> list[int]:
        """Sends crashing streams one after another; returns the statuses."""
        statuses = []
        for _ in range(4):
            statuses.append((await self.send(*parts)).status)
            await asyncio.sleep(RETURN_SECONDS)
        return statuses

    def count_crashing(self) -> int:
        """Returns how many crashing streams reached an engine."""
        return sum(
            b",dead:" in engine.header(number, b"rattanroute-prompt-prefix")
            for engine in self.engines
            for number in range(len(engine.seen))
        )

    async def test_part_is_held_back_after_three_crashes(self) -> None:
        statuses = await self.crash_in_turn("a1", "dead")
        self.assertEqual(self.count_crashing(), CRASHES_TO_BAN)
        self.assertEqual(statuses, [502, 502, 503, 503])

    async def test_sound_stream_with_the_same_first_part_is_served(
        self,
    ) -> None:
        """Guards against refusing the caller or the other parts."""
        await self.crash_in_turn("a1", "dead")
        answer = await self.send("a1")
        self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertEqual((await self.send("a1", "dead")).status, 503)

    async def test_first_event_clears_the_parts(self) -> None:
        """Guards against suspecting a part until its answer is complete."""
        await self.send("a1", "dead")
        names = set(self.bans.suspects.rows)
        await self.send("a1")
        cleared = names - set(self.bans.suspects.rows)
        self.assertEqual(len(cleared), 1)
        self.assertEqual(set(self.bans.cleared), cleared)

    async def test_first_event_is_remembered(self) -> None:
        """Guards against suspecting parts that were answered before."""
        await self.send("a1")
        self.assertEqual(len(self.bans.answered.begun_at), 1)
        await self.send("a1", "dead")
        known = [x.is_known for x in self.bans.suspects.rows.values()]
        self.assertEqual(known.count(True), 1)

    async def test_stream_with_known_parts_moves_at_once(self) -> None:
        """Guards against a sound stream that waits for a judgement.

        Its part was answered before, and is in some crashes by coincidence.
        """
        await self.send("a1")
        await self.send("a1", "dead")
        await self.send("a1", "dead")
        scripts = iter([crash])

        async def crash_once(target: FakeTarget, exchange: Exchange) -> None:
            await next(scripts, serve)(target, exchange)

        for engine in self.engines:
            engine.script = crash_once
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await self.send("a1")
        self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertLess(loop.time() - started_at, SETTLE_SECONDS)
        self.assertIsNone(next(scripts, None))

    async def test_stream_that_was_under_way_blames_no_part(self) -> None:
        """Guards against blaming parts whose answer had begun before."""

        async def crash_later(target: FakeTarget, exchange: Exchange) -> None:
            exchange.start(build_head(exchange))
            exchange.write(build_events(1, 2))
            await asyncio.sleep(0.05)
            await crash(target, exchange)

        for engine in self.engines:
            engine.script = crash_later
        await self.send("a1")
        await asyncio.sleep(0.1)
        self.crashes.check()
        parts = [x for x in self.bans.suspects.rows.values() if x.is_part]
        self.assertEqual(parts, [])

    async def test_stream_banned_while_it_waits_is_not_sent(self) -> None:
        """Guards against sending what was banned in the wait for a chain."""
        await self.crash_in_turn("a1", "dead")
        suspects = self.bans.suspects.rows
        self.bans.suspects.rows = {}
        find_chain = self.streams.finder.find_chain

        async def ban_meanwhile(*args: object) -> tuple:
            chain = await find_chain(*args)
            self.bans.suspects.rows = suspects
            return chain

        before = self.count_crashing()
        with mock.patch.object(
            type(self.streams.finder), "find_chain", side_effect=ban_meanwhile
        ):
            answer = await self.send("a1", "dead")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.count_crashing(), before)


class CrashBanTest(GatewayTestCase):
    """Guards against a request that crashes one target after another."""

    async def test_retried_call_is_refused_after_three_crashes(self) -> None:
        """Guards against a client whose every retry crashes a target."""
        targets = [await self.add_target(f"t{i}", crash) for i in range(6)]
        statuses = []
        for number in range(6):
            answer = await self.call("/safe/x", request_id=f"r{number}")
            statuses.append(answer.status)
            await asyncio.sleep(RETURN_SECONDS)
        self.assertEqual(sum(len(x.seen) for x in targets), CRASHES_TO_BAN)
        self.assertEqual(statuses, [502, 502, 503, 503, 503, 503])

    async def test_retried_stream_is_refused(self) -> None:
        """Guards against a stream whose every retry crashes an engine."""
        targets = [
            await self.add_target(f"t{i}", crash, service=SERVICE)
            for i in range(6)
        ]
        for number in range(6):
            answer = await self.call("/stream/x", request_id=f"r{number}")
            await asyncio.sleep(RETURN_SECONDS)
        self.assertEqual(sum(len(x.seen) for x in targets), CRASHES_TO_BAN)
        self.assertEqual(answer.status, 503)

    async def test_refusal_states_the_end_of_the_ban(self) -> None:
        """Guards against clients that retry before the ban ends."""
        for number in range(4):
            await self.add_target(f"t{number}", crash)
        for number in range(3):
            await self.call("/safe/x", request_id=f"r{number}")
            await asyncio.sleep(RETURN_SECONDS)
        answer = await self.call("/safe/x", request_id="r9")
        self.assertEqual(answer.status, 503)
        wait = float(answer.headers[b"retry-after"])
        self.assertGreater(wait, BAN_SECONDS - 10)

    async def test_other_requests_are_served(self) -> None:
        """Guards against banning all requests of a client."""
        for number in range(3):
            await self.add_target(f"t{number}", crash)
        for number in range(2):
            await self.call("/safe/x", request_id=f"r{number}")
            await asyncio.sleep(RETURN_SECONDS)
        await self.add_target("good", answer)
        self.assertEqual((await self.call("/safe/x", body=b"y")).status, 200)
        self.assertEqual((await self.call("/safe/x")).status, 503)

    async def test_answer_clears_a_suspect(self) -> None:
        """Guards against banning requests that only ran during crashes."""
        await self.add_target("t1", crash)
        await self.call("/once/x")
        await asyncio.sleep(RETURN_SECONDS)
        self.assertEqual(len(self.bans.suspects), 1)
        await self.add_target("good", answer)
        self.assertEqual((await self.call("/once/x")).status, 200)
        self.assertEqual(self.bans.suspects.rows, {})
