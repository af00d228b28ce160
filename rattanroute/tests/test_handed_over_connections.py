"""Tests of connections that another call takes before an answer is judged."""

import asyncio

from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.response_sinks import CollectingSink
from rattanroute.http1.servers import Exchange
from rattanroute.tests.gateway_hosts import Answer
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase

NEXT_REQUEST = RequestHead(
    method=b"GET",
    target=b"/next",
    headers=[(b"Host", b"a.example"), (b"Rattanroute-Request-Id", b"r2")],
)
REJECTED = ResponseHead(
    status=503, headers=[(b"Rattanroute-Not-Executed", b"1")]
)
CONNECT_TIMEOUT_SECONDS = 1.0


def is_next(exchange: Exchange) -> bool:
    """Returns whether a request is that of the call that comes next."""
    return exchange.request.head.target == NEXT_REQUEST.target


class HandedOverConnectionTest(GatewayTestCase):
    """Guards against an answer whose judgement hits the next call."""

    async def play(self, path: str, head: ResponseHead | None) -> Answer:
        """Sends a call; another one takes its connection at its answer.

        Args:
            path: Path of the first call.
            head: Head of the first answer; None if it is an unsigned one.

        Returns:
            The answer to the first call.
        """
        self.next: asyncio.Task[int] | None = None

        async def answer(target: FakeTarget, exchange: Exchange) -> None:
            if is_next(exchange):
                exchange.send(build_head(exchange), b"next")
            else:
                first = head or build_head(exchange, stamped=False)
                exchange.send(first, b"first")

        target = await self.add_target("t1", answer)

        def put(connection: ClientConnection) -> None:
            ConnectionPool.put(self.pool, connection)
            if self.next is None:
                self.next = asyncio.create_task(self.send(target.address))

        self.pool.put = put
        return await self.call(path)

    async def send(self, address: str) -> int:
        """Sends the next call; returns the status of its answer."""
        connection = await self.pool.take(
            address, timeout_s=CONNECT_TIMEOUT_SECONDS, identifier="r2"
        )
        self.assertEqual(connection.request_count, 1)
        sink = CollectingSink(
            connection=connection, buffers=self.pool.buffers, max_bytes=100
        )
        connection.send(NEXT_REQUEST, b"", sink)
        await sink.done
        return sink.head.status

    async def test_call_after_an_unsigned_answer(self) -> None:
        """Guards against a call that another call's wrong answer cuts off."""
        answer = await self.play("/safe/", None)
        self.assertEqual(answer.status, 502)
        self.assertEqual(await self.next, 200)

    async def test_call_after_an_unnamed_rejection(self) -> None:
        """Guards against a call that another call's rejection cuts off."""
        await self.play("/safe/", REJECTED)
        self.assertEqual(await self.next, 200)

    async def test_promise_on_a_new_connection(self) -> None:
        """Guards against a promise that is lost as its connection is reused."""
        answer = await self.play("/once/", REJECTED)
        self.assertEqual(answer.status, 503)

    async def test_connection_after_an_unsigned_answer(self) -> None:
        """Guards against further use of a connection with a wrong answer."""
        await self.play("/safe/", None)
        await self.next
        idle = [x for xs in self.pool.idle.values() for x in xs]
        self.assertEqual([x for x in idle if x.request_count], [])
