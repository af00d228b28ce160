"""Tests of answers whose status HTTP does not define, in the gateway."""

import unittest

from rattanroute.errors import RouterError
from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.parsers import ResponseParser
from rattanroute.platform.replica_codecs import ReplicaCodec
from rattanroute.systems.layer_assignments import LayerRange
from rattanroute.tables.targets import TargetReport
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_hosts import PLAIN_SERVICE
from rattanroute.tests.gateway_support import LAYERS
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.link_hosts import LostLinksTestCase
from rattanroute.tests.listening_targets import build_answer
from rattanroute.tests.status_support import build_interim
from rattanroute.tests.status_support import build_invalid
from rattanroute.tests.status_support import INTERIM_STATUSES
from rattanroute.tests.status_support import INVALID_STATUSES
from rattanroute.tests.status_support import REQUEST_ID
from rattanroute.tests.status_support import StatusTarget
from rattanroute.tests.status_support import UNDEFINED_STATUSES
from rattanroute.tests.test_http1_parsers import Receiver

EVENTS = build_events(1, 4)
STATE = b'{"born":5}'
GOOD = build_answer(200, REQUEST_ID, EVENTS)
PROMISE = b"Rattanroute-Not-Executed: 1\r\n"
# Enough that the target at fault is chosen at least once.
CALLS = 20


class ParserStatusTest(unittest.TestCase):
    """Guards against a status that is passed on, or skipped as interim."""

    def feed(self, data: bytes, size: int) -> Receiver:
        """Feeds bytes to a new parser and returns the receiver."""
        receiver = Receiver()
        self.parser = ResponseParser()
        self.parser.expect(receiver, b"POST")
        for start in range(0, len(data), size):
            self.parser.feed(data[start : start + size])
        return receiver

    def check_refused(self, data: bytes) -> None:
        """Checks that no part of a response reaches the receiver."""
        for size in (1, 7, len(data)):
            receiver = Receiver()
            parser = ResponseParser()
            parser.expect(receiver, b"POST")
            with self.assertRaises(ProtocolError):
                for start in range(0, len(data), size):
                    parser.feed(data[start : start + size])
            self.assertIsNone(receiver.head)
            self.assertEqual(receiver.body, b"")
            self.assertFalse(receiver.ended)

    def test_undefined_status(self) -> None:
        """Guards against a head with an undefined status."""
        for status in UNDEFINED_STATUSES:
            for body in (b"", b"{}"):
                with self.subTest(status=status, body=body):
                    self.check_refused(build_invalid(status, body))

    def test_answer_behind_an_undefined_status(self) -> None:
        """Guards against a body that is passed on before its head."""
        for status in UNDEFINED_STATUSES:
            with self.subTest(status=status):
                self.check_refused(build_invalid(status) + GOOD)

    def test_chunked_body_of_an_undefined_status(self) -> None:
        """Guards against the same with another framing."""
        for status in UNDEFINED_STATUSES:
            head = b"HTTP/1.1 %03d X\r\nTransfer-Encoding: chunked\r\n\r\n"
            with self.subTest(status=status):
                body = b"2\r\n{}\r\n0\r\n\r\n"
                self.check_refused(head % status + body + GOOD)

    def test_undefined_status_behind_an_interim_response(self) -> None:
        """Guards against a check of the first head only."""
        self.check_refused(build_interim(100) + build_invalid(0) + GOOD)

    def test_switch_of_protocols(self) -> None:
        """Guards against a switch that no request has asked for."""
        upgrade = b"Connection: upgrade\r\nUpgrade: other\r\n"
        for headers in (b"", upgrade):
            answer = build_invalid(101, b"", headers=headers)
            with self.subTest(headers=headers):
                self.check_refused(answer + GOOD)

    def test_statuses_at_the_bounds(self) -> None:
        """Guards against sound statuses that are refused."""
        for status in (200, 299, 599):
            for size in (1, 1_000):
                receiver = self.feed(build_invalid(status), size)
                self.assertEqual(receiver.head.status, status)
                self.assertTrue(receiver.ended)

    def test_interim_responses(self) -> None:
        """Guards against interim responses that are no longer skipped."""
        heads = b"".join(map(build_interim, INTERIM_STATUSES))
        for size in (1, 7, 1_000):
            receiver = self.feed(heads + GOOD, size)
            self.assertEqual(receiver.head.status, 200)
            self.assertEqual(receiver.body, EVENTS)
            self.assertTrue(receiver.ended)
            self.assertTrue(self.parser.keep_alive)


class StatusTestCase(GatewayTestCase):
    """A test case with targets that answer with any status."""

    async def add(
        self, target_id: str, answer: bytes, service: str = PLAIN_SERVICE
    ) -> StatusTarget:
        """Starts a target and records its first report."""
        target = StatusTarget(answer)
        await target.open()
        self.addAsyncCleanup(target.close)
        self.record_target(target_id, target.address, service)
        return target

    async def check_failure(self, path: str, service: str) -> None:
        """Checks that a call fails with 502 at each invalid status."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                target_id = f"t{status}"
                answer = build_invalid(status, headers=PROMISE) + GOOD
                target = await self.add(target_id, answer, service)
                answer = await self.call(path)
                row = self.targets.get(target_id)
                self.departed.add(target_id)
                self.assertEqual((answer.status, answer.body), (502, b""))
                self.assertEqual(target.requests, 1)
                self.assertEqual(row.failures, 1)
                await target.wait_until_closed()


class CallStatusTest(StatusTestCase):
    """Guards against invalid statuses as answers of plain services."""

    async def test_call_that_may_run_once(self) -> None:
        """Guards against a promise, or an answer, that is no answer."""
        await self.check_failure("/once/", PLAIN_SERVICE)

    async def test_repeatable_call_without_another_target(self) -> None:
        """Guards against an invalid answer as the best one."""
        await self.check_failure("/safe/", PLAIN_SERVICE)

    async def test_repeatable_call_with_another_target(self) -> None:
        """Guards against a failure where another target can answer."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                names = (f"bad{status}", f"good{status}")
                bad = await self.add(names[0], build_invalid(status) + GOOD)
                good = await self.add(names[1], GOOD)
                answers = [await self.call("/safe/") for _ in range(CALLS)]
                self.departed.update(names)
                for answer in answers:
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.body, EVENTS)
                self.assertGreater(bad.requests, 0)
                self.assertEqual(good.requests, CALLS)

    async def test_call_is_not_sent_again(self) -> None:
        """Guards against a second run of a call that may run once."""
        bad = await self.add("bad", build_invalid(0, headers=PROMISE))
        good = await self.add("good", GOOD)
        statuses = [(await self.call("/once/")).status for _ in range(CALLS)]
        self.assertGreater(bad.requests, 0)
        self.assertEqual(statuses.count(502), bad.requests)
        self.assertEqual(statuses.count(200), good.requests)
        self.assertEqual(bad.requests + good.requests, CALLS)

    async def test_interim_responses(self) -> None:
        """Guards against interim responses that fail a call."""
        heads = b"".join(map(build_interim, INTERIM_STATUSES))
        await self.add("t1", heads + GOOD)
        for path in ("/once/", "/safe/"):
            answer = await self.call(path)
            self.assertEqual((answer.status, answer.body), (200, EVENTS))


class StreamStatusTest(StatusTestCase):
    """Guards against invalid statuses as answers to streams."""

    async def test_stream_that_may_run_once(self) -> None:
        """Guards against an engine's invalid answer that is forwarded."""
        await self.check_failure("/single/", SERVICE)

    async def test_stream_of_a_plain_service(self) -> None:
        """Guards against the same of a service without engines."""
        await self.check_failure("/desksingle/", PLAIN_SERVICE)

    async def test_resumable_stream_without_another_engine(self) -> None:
        """Guards against an invalid answer as the best one."""
        await self.check_failure("/stream/", SERVICE)

    async def test_resumable_stream_with_another_engine(self) -> None:
        """Guards against a failure where another engine can answer."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                names = (f"bad{status}", f"good{status}")
                answer = build_invalid(status) + GOOD
                bad = await self.add(names[0], answer, SERVICE)
                good = await self.add(names[1], GOOD, SERVICE)
                answers = [await self.call("/stream/") for _ in range(CALLS)]
                self.departed.update(names)
                for answer in answers:
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.body, EVENTS)
                self.assertGreater(bad.requests, 0)
                self.assertEqual(good.requests, CALLS)

    async def test_hops_of_a_chain(self) -> None:
        """Guards against an invalid answer of the first of two engines."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                answer = build_invalid(status) + GOOD
                names = (f"first{status}", f"second{status}")
                first = await self.add(names[0], answer, SERVICE)
                second = await self.add(names[1], GOOD, SERVICE)
                self.record_half(names[0], first.address, 0)
                self.record_half(names[1], second.address, LAYERS // 2)
                answer = await self.call("/single/")
                row = self.targets.get(names[0])
                self.departed.update(names)
                self.assertEqual((answer.status, answer.body), (502, b""))
                self.assertEqual((first.requests, second.requests), (1, 0))
                self.assertEqual(row.failures, 1)

    def record_half(self, target_id: str, address: str, first: int) -> None:
        """Records a new report of an engine that holds half of the layers."""
        old = self.targets.get(target_id)
        report = TargetReport(
            target_id=target_id,
            address=address,
            data_centre="dc-a",
            model=SERVICE,
            incarnation=1,
            first_layer=first,
            last_layer=first + LAYERS // 2 - 1,
            total_layers=LAYERS,
            accelerator="big",
        )
        self.targets.record(
            report=report, observer="v", received_at=old.received_at + 0.001
        )

    async def test_interim_responses(self) -> None:
        """Guards against interim responses that fail a stream."""
        heads = b"".join(map(build_interim, INTERIM_STATUSES))
        await self.add("t1", heads + GOOD, SERVICE)
        for path in ("/single/", "/stream/"):
            answer = await self.call(path)
            self.assertEqual((answer.status, answer.body), (200, EVENTS))


class TunnelStatusTest(LostLinksTestCase):
    """Guards against invalid statuses that come through another VM."""

    async def test_calls_and_streams(self) -> None:
        """Guards against a check of direct connections only."""
        self.cut = "refuse"
        paths = {"/once/": PLAIN_SERVICE, "/single/": SERVICE}
        for path, service in paths.items():
            for status in INVALID_STATUSES:
                with self.subTest(path=path, status=status):
                    target = StatusTarget(build_invalid(status) + GOOD)
                    await target.open()
                    self.addAsyncCleanup(target.close)
                    target_id = f"{service}{status}"
                    self.record_target(target_id, target.address, service)
                    answer = await self.call(path)
                    self.departed.add(target_id)
                    self.assertEqual((answer.status, answer.body), (502, b""))
                    self.assertEqual(target.requests, 1)
                    await target.wait_until_closed()


class ControlStatusTest(unittest.IsolatedAsyncioTestCase):
    """Guards against invalid statuses as answers to queries and orders."""

    async def asyncSetUp(self) -> None:
        """Opens the client."""
        pool = ConnectionPool()
        self.addCleanup(pool.close)
        self.engine_control = EngineControlClient(
            pool=pool, codec=ReplicaCodec()
        )

    async def add(self, answer: bytes) -> StatusTarget:
        """Starts an engine."""
        target = StatusTarget(answer)
        await target.open()
        self.addAsyncCleanup(target.close)
        return target

    async def order(self, target: StatusTarget) -> int:
        """Sends a layer order and returns the status of the answer."""
        return await self.engine_control.order_layers(
            target.address,
            LayerRange(first=0, end=10),
            target_id="t1",
            fence=1,
            expected=0,
        )

    async def test_state_query(self) -> None:
        """Guards against a state that an engine has not reported."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                sound = build_answer(200, "", STATE)
                target = await self.add(build_invalid(status, b"") + sound)
                with self.assertRaises(RouterError):
                    await self.engine_control.fetch_state(target.address)
                self.assertEqual(target.requests, 1)
                await target.wait_until_closed()

    async def test_order(self) -> None:
        """Guards against an order that seems accepted or refused."""
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                sound = build_answer(200, "", b"")
                target = await self.add(build_invalid(status, b"") + sound)
                with self.assertRaises(RouterError):
                    await self.order(target)
                self.assertEqual(target.requests, 1)
                await target.wait_until_closed()

    async def test_interim_responses(self) -> None:
        """Guards against interim responses that fail queries and orders."""
        heads = b"".join(map(build_interim, INTERIM_STATUSES))
        target = await self.add(heads + build_answer(200, "", STATE))
        state = await self.engine_control.fetch_state(target.address)
        self.assertEqual(state.incarnation, 5)
        self.assertEqual(await self.order(target), 200)
