"""Tests of calls to plain services through the gateway."""

import asyncio
import dataclasses

from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.servers import Exchange
from rattanroute.tables.targets import Target
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_hosts import Script


async def answer(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with success."""
    exchange.send(build_head(exchange), b"body of " + target.target_id.encode())


async def reject(target: FakeTarget, exchange: Exchange) -> None:
    """Rejects the request without running it."""
    head = build_head(exchange, 503, stamped=False, not_run=True)
    exchange.send(head)


async def answer_unavailable(target: FakeTarget, exchange: Exchange) -> None:
    """Answers 503 without stating that the request did not run."""
    exchange.send(build_head(exchange, 503))


async def hang_up(target: FakeTarget, exchange: Exchange) -> None:
    """Closes the connection without an answer."""
    exchange.abort()


async def break_off_body(target: FakeTarget, exchange: Exchange) -> None:
    """Closes the connection in the middle of the body."""
    exchange.connection.write(
        b"HTTP/1.1 200 OK\r\nRattanroute-Request-Id: r1\r\n"
        b"Rattanroute-Replica-Stamp: s\r\nContent-Length: 9\r\n\r\npart"
    )
    exchange.abort()


async def fail(target: FakeTarget, exchange: Exchange) -> None:
    """Fails the request after it ran."""
    exchange.send(build_head(exchange, 500), b"failure")


async def answer_another(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with the identifier of another request."""
    headers = [
        (b"Rattanroute-Request-Id", b"other"),
        (b"Rattanroute-Replica-Stamp", b"s"),
    ]
    exchange.send(ResponseHead(status=200, headers=headers), b"wrong")


async def answer_twice_late(target: FakeTarget, exchange: Exchange) -> None:
    """Sends a duplicate of the first answer before the second one."""
    body = exchange.request.head.target
    if len(target.seen) == 2:
        exchange.connection.write(
            b"HTTP/1.1 200 OK\r\nRattanroute-Request-Id: r1\r\n"
            b"Rattanroute-Replica-Stamp: s\r\nContent-Length: 7\r\n\r\n/safe/1"
        )
        await asyncio.sleep(0.05)
    exchange.send(build_head(exchange), body)


async def stay_silent(target: FakeTarget, exchange: Exchange) -> None:
    """Never answers."""
    await asyncio.sleep(30)


LATE_DEADLINE_MS = 1500
# More than the time after which another target is tried.
LATE_SECONDS = 0.9


async def answer_late(target: FakeTarget, exchange: Exchange) -> None:
    """Answers well before the deadline, but later than others."""
    await asyncio.sleep(LATE_SECONDS)
    exchange.send(build_head(exchange), b"late")


async def reject_late(target: FakeTarget, exchange: Exchange) -> None:
    """Rejects the request late, without having run it."""
    await asyncio.sleep(LATE_SECONDS)
    await reject(target, exchange)


class OrderedSelector:
    """A selector that chooses the target t1 first.

    Attributes:
        selector: Makes all other decisions.
    """

    def __init__(self, selector: TargetSelector) -> None:
        self.selector = selector

    def __getattr__(self, name: str) -> object:
        return getattr(self.selector, name)

    def choose(
        self,
        service: str,
        *,
        excluded: set[str],
        demanded: set[str],
        now: float,
    ) -> Target | None:
        """Returns t1 unless it is excluded, otherwise any other target."""
        names = excluded if "t1" in excluded else {"t2"}
        return self.selector.choose(
            service, excluded=names, demanded=demanded, now=now
        )


class AtMostOnceTest(GatewayTestCase):
    """Guards against duplicate execution and false "not run" statements."""

    async def test_answer_is_returned_unchanged(self) -> None:
        target = await self.add_target("t1", answer)
        answered = await self.call("/once/a%2Fb?q=1", body=b"\x00\xff")
        self.assertEqual(answered.status, 200)
        self.assertEqual(answered.body, b"body of t1")
        self.assertIn(b"rattanroute-replica-stamp", answered.headers)
        request = target.seen[0].request
        self.assertEqual(request.head.target, b"/once/a%2Fb?q=1")
        self.assertEqual(request.body, b"\x00\xff")
        self.assertEqual(target.header(0, b"rattanroute-tenant"), b"w1")
        self.assertIsNone(target.header(0, b"authorization"))

    async def test_rejected_request_goes_to_another_target(self) -> None:
        await self.add_target("t1", reject)
        await self.add_target("t2", reject)
        await self.add_target("t3", answer)
        for _ in range(5):
            self.assertEqual((await self.call("/once/")).status, 200)

    async def test_request_that_did_not_run_gets_a_retry_delay(self) -> None:
        await self.add_target("t1", reject)
        answered = await self.call("/once/")
        self.assertEqual(answered.status, 503)
        self.assertGreater(float(answered.headers[b"retry-after"]), 0)

    async def test_request_that_may_have_run_is_not_sent_again(self) -> None:
        for script in (
            hang_up,
            break_off_body,
            answer_another,
            answer_unavailable,
        ):
            with self.subTest(script=script.__name__):
                await self.asyncSetUp()
                first = await self.add_target("t1", script)
                second = await self.add_target("t2", script)
                answered = await self.call("/once/")
                self.assertEqual(answered.status, 502)
                self.assertEqual(len(first.seen) + len(second.seen), 1)
                await self.asyncTearDown()
        await self.asyncSetUp()

    async def test_failure_of_the_target_is_returned(self) -> None:
        await self.add_target("t1", fail)
        answered = await self.call("/once/")
        self.assertEqual((answered.status, answered.body), (500, b"failure"))

    async def test_silent_target_ends_at_the_deadline(self) -> None:
        await self.add_target("t1", stay_silent)
        started = asyncio.get_running_loop().time()
        answered = await self.call("/once/", deadline_ms=300)
        self.assertEqual(answered.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - started, 0.8)

    async def test_refused_connection_is_retried_elsewhere(self) -> None:
        dead = await self.add_target("t1", answer)
        await dead.server.close()
        await self.add_target("t2", answer)
        for _ in range(5):
            self.assertEqual((await self.call("/once/")).status, 200)


class RepeatableTest(GatewayTestCase):
    """Guards against failed lookups while a target could answer."""

    async def test_lookup_is_retried_at_another_target(self) -> None:
        for script in (hang_up, break_off_body, fail, reject, answer_another):
            with self.subTest(script=script.__name__):
                await self.asyncSetUp()
                await self.add_target("t1", script)
                await self.add_target("t2", answer)
                for _ in range(4):
                    self.assertEqual((await self.call("/safe/")).status, 200)
                await self.asyncTearDown()
        await self.asyncSetUp()

    async def test_lookup_runs_on_two_targets_at_most(self) -> None:
        targets = [
            await self.add_target(f"t{number}", fail) for number in range(4)
        ]
        answered = await self.call("/safe/")
        self.assertEqual(answered.status, 500)
        self.assertEqual(sum(len(target.seen) for target in targets), 2)

    async def test_silent_target_leaves_time_for_another(self) -> None:
        await self.add_target("t1", stay_silent)
        await self.add_target("t2", answer)
        for _ in range(3):
            answered = await self.call("/safe/", deadline_ms=1500)
            self.assertEqual(answered.status, 200)

    async def test_late_answer_of_the_only_target(self) -> None:
        """Guards against a lookup that is given up without another target."""
        target = await self.add_target("t1", answer_late)
        answered = await self.call("/safe/", deadline_ms=LATE_DEADLINE_MS)
        self.assertEqual((answered.status, answered.body), (200, b"late"))
        self.assertEqual(len(target.seen), 1)

    async def test_late_answer_after_the_second_target_failed(self) -> None:
        """Guards against closing the first attempt before the second answers.

        The first target is about to answer when the second one fails.
        """
        for script in (hang_up, break_off_body, fail, reject, answer_another):
            with self.subTest(script=script.__name__):
                await self.asyncSetUp()
                targets = await self.add_late_first(script)
                answered = await self.call(
                    "/safe/", deadline_ms=LATE_DEADLINE_MS
                )
                self.assertEqual(
                    (answered.status, answered.body), (200, b"late")
                )
                self.assertEqual([len(x.seen) for x in targets], [1, 1])
                await self.asyncTearDown()
        await self.asyncSetUp()

    async def test_late_answer_while_the_second_target_is_silent(self) -> None:
        """Guards against closing the first attempt for a silent second one."""
        targets = await self.add_late_first(stay_silent)
        answered = await self.call("/safe/", deadline_ms=LATE_DEADLINE_MS)
        self.assertEqual((answered.status, answered.body), (200, b"late"))
        async with asyncio.timeout(0.5):
            await targets[1].disconnected.wait()

    async def test_late_refusal_leaves_the_call_not_run(self) -> None:
        """Guards against a wrong statement after a late refusal."""
        await self.add_target("t1", reject_late)
        answered = await self.call("/safe/", deadline_ms=LATE_DEADLINE_MS)
        self.assertEqual(answered.status, 503)
        self.assertIn(b"retry-after", answered.headers)

    async def test_answer_ends_the_late_attempt(self) -> None:
        """Guards against attempts that are left over."""
        targets = await self.add_late_first(answer)
        answered = await self.call("/safe/", deadline_ms=LATE_DEADLINE_MS)
        self.assertEqual((answered.status, answered.body), (200, b"body of t2"))
        async with asyncio.timeout(0.5):
            await targets[0].disconnected.wait()

    async def add_late_first(self, script: Script) -> list[FakeTarget]:
        """Adds two targets, of which the one that answers late is first."""
        targets = [
            await self.add_target("t1", answer_late),
            await self.add_target("t2", script),
        ]
        services = self.handler.services
        services.selector = OrderedSelector(services.selector)
        return targets

    async def test_client_disconnect_ends_the_attempt(self) -> None:
        target = await self.add_target("t1", stay_silent)
        await self.call("/safe/", leave_after=0.1)
        async with asyncio.timeout(0.5):
            await target.disconnected.wait()


class RouteTest(GatewayTestCase):
    """Guards against requests to targets that must not get them."""

    async def test_unknown_route_key_and_missing_manifest(self) -> None:
        target = await self.add_target("t1", answer)
        self.assertEqual((await self.call("/none/")).status, 404)
        self.assertEqual((await self.call("/once/", key="bad")).status, 401)
        self.table = None
        self.assertEqual((await self.call("/once/")).status, 503)
        self.assertEqual(target.seen, [])

    async def test_target_that_leaves_gets_no_request(self) -> None:
        leaving = await self.add_target("t1", answer)
        self.targets.get("t1").report.leaving = True
        await self.add_target("t2", answer)
        for _ in range(5):
            self.assertEqual((await self.call("/once/")).status, 200)
        self.assertEqual(leaving.seen, [])


async def answer_and_leave(target: FakeTarget, exchange: Exchange) -> None:
    """Answers with success and announces the target's departure."""
    exchange.send(build_head(exchange, leaving=True), b"done")


async def reject_with_pause(target: FakeTarget, exchange: Exchange) -> None:
    """Rejects the request and asks for a pause."""
    head = build_head(
        exchange, 503, stamped=False, not_run=True, pause_s=PAUSE_SECONDS
    )
    exchange.send(head)


async def misdirect_and_leave(target: FakeTarget, exchange: Exchange) -> None:
    """Answers as another, leaving target at the same address."""
    head = build_head(exchange, 421, stamped=False, not_run=True, leaving=True)
    exchange.send(head)


PAUSE_SECONDS = 2.5


class DuplicateAnswerTest(GatewayTestCase):
    """Guards against an answer that reaches the next client."""

    async def test_duplicate_answer_on_a_reused_connection(self) -> None:
        target = await self.add_target("i-1", answer_twice_late)
        bodies = []
        for number in range(1, 6):
            path = f"/safe/{number}"
            answered = await self.call(path, request_id=f"r{number}")
            bodies.append((answered.status, answered.body))
        self.assertEqual(bodies[0], (200, b"/safe/1"))
        self.assertNotIn(bodies[1], ((200, b"/safe/1"),))
        self.assertEqual(
            bodies[2:], [(200, b"/safe/%d" % x) for x in (3, 4, 5)]
        )
        self.assertGreaterEqual(len(target.seen), 5)


class TargetMetadataTest(GatewayTestCase):
    """Guards against work for targets that are leaving or paused."""

    async def test_departure_in_an_answer_stops_new_requests(self) -> None:
        leaving = await self.add_target("i-1", answer_and_leave)
        first = await self.call("/safe/a")
        self.assertEqual((first.status, first.body), (200, b"done"))
        self.assertEqual(self.departed, {"i-1"})
        second = await self.call("/safe/a")
        self.assertEqual(second.status, 503)
        self.assertEqual(len(leaving.seen), 1)

    async def test_departure_of_another_target_is_ignored(self) -> None:
        await self.add_target("i-1", misdirect_and_leave)
        await self.call("/safe/a")
        self.assertEqual(self.departed, set())

    async def test_paused_target_gets_nothing(self) -> None:
        paused = await self.add_target("i-1", reject_with_pause)
        first = await self.call("/safe/a")
        started = asyncio.get_running_loop().time()
        answers = [await self.call("/safe/a") for _ in range(5)]
        waited = asyncio.get_running_loop().time() - started
        self.assertEqual(len(paused.seen), 1)
        self.assertLess(waited, 1.0, "certain refusals must be immediate")
        for refusal in (first, *answers):
            self.assertEqual(refusal.status, 503)
            seconds = float(refusal.headers[b"retry-after"])
            self.assertGreaterEqual(seconds, PAUSE_SECONDS - waited - 0.1)

    async def test_pause_of_one_target_does_not_delay_retries(self) -> None:
        """Guards against a retry delay that is set by a single target."""
        await self.add_target("i-1", reject_with_pause)
        await self.add_target("i-2", reject)
        refusal = await self.call("/once/a", deadline_ms=1500)
        self.assertEqual(refusal.status, 503)
        seconds = float(refusal.headers[b"retry-after"])
        self.assertLess(seconds, PAUSE_SECONDS / 2)

    async def test_others_serve_during_a_pause(self) -> None:
        paused = await self.add_target("i-1", reject_with_pause)
        await self.add_target("i-2", answer)
        answers = [await self.call("/once/a") for _ in range(8)]
        self.assertEqual([x.status for x in answers], [200] * 8)
        self.assertLessEqual(len(paused.seen), 1)

    async def test_pause_lasts_until_the_next_incarnation(
        self,
    ) -> None:
        await self.add_target("i-1", reject_with_pause)
        await self.call("/safe/a")
        row = self.targets.get("i-1")
        now = asyncio.get_running_loop().time()
        for incarnation, paused in ((0, True), (1, False)):
            report = dataclasses.replace(
                row.report, sequence=7, incarnation=incarnation
            )
            self.targets.record(report=report, observer="v", received_at=now)
            selector = self.streams.selector
            self.assertEqual(selector.is_paused("i-1", now), paused)
            self.assertEqual(selector.is_usable(row, now), not paused)
