"""Tests of callers that write the identifier of a request in an odd way."""

from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.servers import Exchange
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_hosts import STAMP
from rattanroute.tests.repeating_targets import ScriptedTarget

REQUEST_ID = b"Rattanroute-Request-Id"


def list_identifiers(exchange: Exchange) -> list[bytes]:
    """Returns the identifiers of a request, without white space around."""
    return [
        value.strip()
        for name, value in exchange.request.head.headers
        if name.lower() == REQUEST_ID.lower()
    ]


async def answer_first(target: FakeTarget, exchange: Exchange) -> None:
    """Answers under the first identifier of a request."""
    named = (REQUEST_ID, list_identifiers(exchange)[0])
    exchange.send(ResponseHead(status=200, headers=[named, STAMP]), b"done")


class OddIdentifierTest(GatewayTestCase):
    """Guards against answers that are taken for those to other requests."""

    async def test_white_space_behind_an_identifier(self) -> None:
        """Guards against a failure, as targets leave the white space out."""
        await self.add_target("t1", answer_first)
        for request_id in ("r1 ", "r2\t", "\tr3 \t "):
            answer = await self.call("/safe/", request_id=request_id)
            self.assertEqual((answer.status, answer.body), (200, b"done"))

    async def test_white_space_does_not_make_another_identifier(self) -> None:
        """Guards against a repeat on the connection of the earlier try."""
        target = await self.add_target("t1", answer_first)
        for request_id in ("r1", "r1 "):
            await self.call("/safe/", request_id=request_id)
        connections = [x.connection for x in target.seen]
        self.assertIsNot(connections[0], connections[1])

    async def test_white_space_behind_an_answers_identifier(self) -> None:
        """Guards against a good answer that counts as one to another."""

        async def answer(target: FakeTarget, exchange: Exchange) -> None:
            named = (REQUEST_ID, b"r1 \t")
            head = ResponseHead(status=200, headers=[named, STAMP])
            exchange.send(head, b"done")

        await self.add_target("t1", answer)
        answer = await self.call("/safe/", request_id="r1")
        self.assertEqual((answer.status, answer.body), (200, b"done"))

    async def test_two_identifiers(self) -> None:
        """Guards against targets that count as faulty as a caller sent two."""
        target = await self.add_target("t1", answer_first)
        extra = "rattanroute-request-id: r2\r\n"
        answer = await self.call("/safe/", request_id="r1", extra=extra)
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(len(list_identifiers(target.seen[0])), 1)

    async def test_identifier_that_concerns_one_connection(self) -> None:
        """Guards against a request whose answer names none."""
        await self.add_target("t1", answer_first)
        extra = "Connection: Rattanroute-Request-Id\r\n"
        answer = await self.call("/safe/", request_id="r1", extra=extra)
        self.assertEqual((answer.status, answer.body), (200, b"done"))

    async def test_call_after_one_without_an_identifier(self) -> None:
        """Guards against a call that meets an answer that names no request."""
        script = ScriptedTarget((200, 200), (200, None))
        await self.add_target("t1", script)
        await self.call("/safe/", request_id="", body=b"0")
        answer = await self.call("/safe/", request_id="r2", body=b"1")
        self.assertEqual(answer.status, 200)

    async def test_query_after_a_call_without_an_identifier(self) -> None:
        """Guards against the answer to a call that is read as a state."""
        script = ScriptedTarget((200, None))
        target = await self.add_target("t1", script)
        await self.call("/safe/", request_id="", body=b"0")
        connection = await self.pool.take(
            target.address, timeout_s=1, identifier=None
        )
        self.addCleanup(connection.cancel)
        self.assertEqual(connection.request_count, 0)
