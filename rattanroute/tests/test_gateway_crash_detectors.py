"""Tests of crash detection and of bans of requests that crash targets."""

import asyncio

from rattanroute.gateway.crash_detectors import EARLY_SECONDS
from rattanroute.gateway.crash_detectors import LostAttempt
from rattanroute.http1.servers import Exchange
from rattanroute.systems.crash_bans import BAN_SECONDS
from rattanroute.systems.crash_bans import CRASHES_TO_BAN
from rattanroute.tables.crash_suspects import SAME_CAUSE_SECONDS
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import SERVICE

# Retries come after the window in which crashes may share a cause.
RETURN_SECONDS = SAME_CAUSE_SECONDS + 0.1


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
