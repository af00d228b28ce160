"""Tests of second answers that break off before the next answer."""

import re

from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.parsers import ResponseParser
from rattanroute.tests.gateway_hosts import Answer
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_hosts import PLAIN_SERVICE
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.listening_targets import build_answer
from rattanroute.tests.listening_targets import build_promise
from rattanroute.tests.listening_targets import ListeningTarget

EVENTS = build_events(1, 4)
FAILURE = b"failed"
FIRST = build_answer(200, "r1", EVENTS)
NEXT = build_answer(500, "r2", FAILURE)
# Lengths of parts that end in the reason phrase or in the value of a header.
# The next line continues such a part; other parts make the head invalid.
OPEN_PARTS = [
    cut
    for cut in range(1, FIRST.index(b"\r\n\r\n") + 1)
    if re.search(rb"( 200 |: )[^\r\n]*\Z", FIRST[:cut])
]


class BrokenHeadTest(GatewayTestCase):
    """Guards against a head made of the heads of two answers."""

    async def call_twice(
        self,
        path: str,
        service: str,
        first: list[bytes],
        second: list[bytes],
    ) -> tuple[ListeningTarget, Answer]:
        """Sends two calls with identifiers of their own.

        Returns:
            The target and the answer to the second call.
        """
        target = ListeningTarget(lambda number: second if number else first)
        await target.open()
        self.addAsyncCleanup(target.close)
        target_id = f"t{len(self.targets)}"
        self.record_target(target_id, target.address, service)
        answer = await self.call(path, request_id="r1")
        self.assertEqual(answer.status, 200)
        answer = await self.call(path, request_id="r2")
        self.departed.add(target_id)
        return target, answer

    def check_failure(self, cut: int, answer: Answer) -> None:
        """Checks the answer to a call at which the target has failed."""
        self.assertIn(answer.status, (500, 502), f"cut at {cut}")
        if answer.status == 500:
            stamp = answer.headers[b"rattanroute-replica-stamp"]
            self.assertEqual((stamp, answer.body), (b"r2.500", FAILURE))

    async def test_part_behind_an_answer(self) -> None:
        """Guards against a success where the target has failed."""
        for cut in range(1, len(FIRST)):
            target, answer = await self.call_twice(
                "/safe/", PLAIN_SERVICE, [FIRST + FIRST[:cut]], [NEXT]
            )
            self.check_failure(cut, answer)
            self.assertEqual((answer.status, target.connections), (500, 2))

    async def test_part_before_the_next_answer(self) -> None:
        """Guards against the same where the part arrives under the next."""
        for cut in OPEN_PARTS:
            _, answer = await self.call_twice(
                "/safe/", PLAIN_SERVICE, [FIRST], [FIRST[:cut], NEXT]
            )
            self.check_failure(cut, answer)

    async def test_part_and_next_answer_in_one_segment(self) -> None:
        """Guards against the same where both arrive at once."""
        for cut in OPEN_PARTS:
            _, answer = await self.call_twice(
                "/safe/", PLAIN_SERVICE, [FIRST], [FIRST[:cut] + NEXT]
            )
            self.check_failure(cut, answer)

    async def test_part_of_a_promise_before_a_stream(self) -> None:
        """Guards against a stream that is sent again after it has run."""
        promise = build_promise("r1")
        success = build_answer(200, "r2", EVENTS)
        for cut in range(promise.index(b": 1") + 5, len(promise)):
            target, answer = await self.call_twice(
                "/single/", SERVICE, [FIRST], [promise[:cut], success]
            )
            self.assertEqual(answer.status, 502, f"cut at {cut}")
            self.assertEqual(target.requests, 2, f"cut at {cut}")

    async def test_part_in_an_interim_head(self) -> None:
        """Guards against an answer that is lost in an interim response."""
        parser = ResponseParser()
        parser.expect(self, b"GET")
        with self.assertRaises(ProtocolError):
            parser.feed(b"HTTP/1.1 100 Continue" + build_answer(500, "r2", b""))
