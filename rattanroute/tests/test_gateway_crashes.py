"""Tests of the search for crashes behind lost attempts."""

import asyncio

from rattanroute.gateway.crashes import EARLY_SECONDS
from rattanroute.gateway.crashes import LostAttempt
from rattanroute.http1.servers import Exchange
from rattanroute.systems.crash_bans import BAN_SECONDS
from rattanroute.systems.crash_bans import CRASHES_TO_BAN
from rattanroute.tables.suspects import SAME_CAUSE_SECONDS
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import SERVICE

# Callers return later than crashes that may have a common cause.
RETURN_SECONDS = SAME_CAUSE_SECONDS + 0.1


async def crash(target: FakeTarget, exchange: Exchange) -> None:
    """Closes the listener and the connection."""
    target.server.listener.close()
    exchange.abort()


async def reset(target: FakeTarget, exchange: Exchange) -> None:
    """Closes the connection only."""
    exchange.abort()


async def answer(target: FakeTarget, exchange: Exchange) -> None:
    """Answers well."""
    exchange.send(build_head(exchange), b"ok")


class CrashObserverTest(GatewayTestCase):
    """Guards against crashes that are missed, or seen where there is none."""

    async def lose(
        self, path: str = "/once/x", **options: object
    ) -> LostAttempt:
        """Sends a request whose attempt is lost."""
        await self.call(path, **options)
        return self.crashes.open[-1]

    async def test_target_that_refuses_connections_has_crashed(self) -> None:
        await self.add_target("t1", crash)
        lost = await self.lose()
        async with asyncio.timeout(1.0):
            crashed = await lost.verdict
        self.assertEqual(crashed.target_id, "t1")
        self.assertEqual(self.crashes.open, [])

    async def test_target_that_resets_a_request_has_not_crashed(self) -> None:
        await self.add_target("t1", reset)
        lost = await self.lose()
        await asyncio.sleep(0.1)
        self.crashes.check()
        self.assertFalse(lost.verdict.done())

    async def test_later_incarnation_at_the_address_tells_a_crash(self) -> None:
        """Guards against a crash behind a listener that stays open."""
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
        self.targets.record(report=again, observer="v", heard_at=1.0)
        self.crashes.check()
        self.assertEqual(lost.verdict.result().target_id, "t1")

    async def test_planned_end_is_no_crash(self) -> None:
        """Guards against requests that are blamed for a departure."""

        async def leave(target: FakeTarget, exchange: Exchange) -> None:
            self.targets.get("t1").report.leaving = True
            await crash(target, exchange)

        await self.add_target("t1", leave)
        lost = await self.lose()
        await asyncio.sleep(0.1)
        self.crashes.check()
        self.assertFalse(lost.verdict.done())

    async def test_late_answer_opens_no_connection(self) -> None:
        """Guards against probes that add to the load of a slow service."""

        async def wait(target: FakeTarget, exchange: Exchange) -> None:
            await target.disconnected.wait()

        await self.add_target("t1", wait)
        await self.lose(deadline_ms=200)
        await asyncio.sleep(0.1)
        self.assertEqual(self.pool.connect_attempts, 1)

    async def test_stream_that_went_on_for_a_while_is_lost_late(self) -> None:
        """Guards against streams under way that pass for a cause."""

        async def crash_later(target: FakeTarget, exchange: Exchange) -> None:
            exchange.start(build_head(exchange))
            for number in range(1, 6):
                exchange.write(build_events(number, number + 1))
                await asyncio.sleep(EARLY_SECONDS / 4)
            exchange.abort()

        await self.add_target("t1", crash_later, service=SERVICE)
        self.assertFalse((await self.lose("/single/x")).early)

    async def test_stream_that_ends_its_target_at_once_is_lost_early(
        self,
    ) -> None:
        """Guards against a cause of crashes that passes for a neighbour."""

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
        """Guards against a crash that is found twice."""
        target = await self.add_target("t1", reset)
        self.crashes.refused_at[target.address] = 0.0
        lost = await self.lose()
        self.crashes.check()
        self.assertFalse(lost.verdict.done())

    async def test_repetitions_have_one_fingerprint(self) -> None:
        """Guards against repetitions that cannot be told to be the same."""
        await self.add_target("t1", reset)
        first = await self.lose(request_id="r1")
        self.selector_wakes()
        again = await self.lose(request_id="r2", extra="X-Try: 2\r\n")
        self.selector_wakes()
        other = await self.lose(request_id="r3", body=b"y")
        self.assertEqual(first.fingerprint, again.fingerprint)
        self.assertNotEqual(first.fingerprint, other.fingerprint)

    def selector_wakes(self) -> None:
        """Lets the target be chosen again after a failure."""
        row = self.targets.get("t1")
        row.blocked_until = 0.0
        row.failures = 0

    async def test_answered_request_leaves_nothing_to_judge(self) -> None:
        await self.add_target("t1", answer)
        self.assertEqual((await self.call("/once/x")).status, 200)
        self.assertEqual(self.crashes.open, [])


class BannedRequestTest(GatewayTestCase):
    """Guards against targets that one request ends one after the other."""

    async def test_returning_call_is_refused_after_three_crashes(self) -> None:
        """Guards against a caller that ends a target with each return."""
        targets = [await self.add_target(f"t{i}", crash) for i in range(6)]
        statuses = []
        for number in range(6):
            answer = await self.call("/safe/x", request_id=f"r{number}")
            statuses.append(answer.status)
            await asyncio.sleep(RETURN_SECONDS)
        self.assertEqual(sum(len(x.seen) for x in targets), CRASHES_TO_BAN)
        self.assertEqual(statuses, [502, 502, 503, 503, 503, 503])

    async def test_returning_stream_is_refused(self) -> None:
        """Guards against a stream that ends an engine with each return."""
        targets = [
            await self.add_target(f"t{i}", crash, service=SERVICE)
            for i in range(6)
        ]
        for number in range(6):
            answer = await self.call("/stream/x", request_id=f"r{number}")
            await asyncio.sleep(RETURN_SECONDS)
        self.assertEqual(sum(len(x.seen) for x in targets), CRASHES_TO_BAN)
        self.assertEqual(answer.status, 503)

    async def test_refusal_tells_when_to_come_back(self) -> None:
        """Guards against callers that return before the ban ends."""
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
        """Guards against a ban of all that a caller sends."""
        for number in range(3):
            await self.add_target(f"t{number}", crash)
        for number in range(2):
            await self.call("/safe/x", request_id=f"r{number}")
            await asyncio.sleep(RETURN_SECONDS)
        await self.add_target("good", answer)
        self.assertEqual((await self.call("/safe/x", body=b"y")).status, 200)
        self.assertEqual((await self.call("/safe/x")).status, 503)

    async def test_answer_clears_a_suspect(self) -> None:
        """Guards against bans of requests that ran beside crashes."""
        await self.add_target("t1", crash)
        await self.call("/once/x")
        await asyncio.sleep(RETURN_SECONDS)
        self.assertEqual(len(self.bans.suspects), 1)
        await self.add_target("good", answer)
        self.assertEqual((await self.call("/once/x")).status, 200)
        self.assertEqual(self.bans.suspects.rows, {})
