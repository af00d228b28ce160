"""Tests of the connections of state queries and orders.

Their answers name no request, so that nothing tells a second one apart.
"""

from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.servers import Exchange
from rattanroute.platform.replica_codecs import ReplicaCodec
from rattanroute.systems.layer_assignments import LayerRange
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import build_head
from rattanroute.tests.gateway_hosts import FakeTarget
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.gateway_support import SERVICE

EVENTS = build_events(1, 4)
SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
ORDER_PATH = b"/rattanroute/order"


class TwiceAnsweringTarget(FakeTarget):
    """An engine whose answers to queries come again before the next answer.

    Attributes:
        arrivals: Path and connection of each request, queries too.
        queried: Connections on which a second answer is due.
    """

    def __init__(self) -> None:
        super().__init__(target_id="t1", script=self.stream)
        self.arrivals: list[tuple[bytes, int]] = []
        self.queried: set[int] = set()

    async def handle(self, exchange: Exchange) -> None:
        """Answers a query, an order or a call."""
        path = exchange.request.head.path
        self.arrivals.append((path, id(exchange.connection)))
        if path == ORDER_PATH:
            exchange.send(ResponseHead(status=202), b"{}")
            return
        await super().handle(exchange)
        if path == b"/rattanroute/report":
            self.queried.add(id(exchange.connection))

    async def stream(self, target: FakeTarget, exchange: Exchange) -> None:
        """Answers a call, after a second answer to a query."""
        if id(exchange.connection) in self.queried:
            exchange.connection.write(SECOND_ANSWER)
        exchange.start(build_head(exchange))
        exchange.write(EVENTS)
        exchange.end()

    def list_connections(self) -> list[int]:
        """Returns the connection of each request."""
        return [connection for _, connection in self.arrivals]


class QueryConnectionTest(GatewayTestCase):
    """Guards against answers to queries and orders that others take."""

    async def asyncSetUp(self) -> None:
        """Starts an engine."""
        await super().asyncSetUp()
        self.target = TwiceAnsweringTarget()
        await self.target.start()
        self.addAsyncCleanup(self.target.server.close)
        self.record_target("t1", self.target.address, SERVICE)
        self.engine_control = EngineControlClient(
            pool=self.pool, codec=ReplicaCodec()
        )

    async def query(self) -> None:
        """Queries the engine's state."""
        await self.engine_control.fetch_state(self.target.address)

    async def test_stream_after_a_query(self) -> None:
        """Guards against a stream that fails although its target has run it."""
        await self.query()
        answer = await self.call("/single/", request_id="r2")
        self.assertEqual((answer.status, answer.body), (200, EVENTS))

    async def test_query_after_a_stream(self) -> None:
        """Guards against a rejection of a stream that is read as a state."""
        await self.call("/single/", request_id="r1")
        await self.query()
        await self.call("/single/", request_id="r2")
        first, query, second = self.target.list_connections()
        self.assertNotEqual(first, query)
        self.assertEqual(first, second)

    async def test_query_after_an_order(self) -> None:
        """Guards against the answer to an order that is read as a state."""
        await self.engine_control.order_layers(
            self.target.address,
            LayerRange(first=0, end=1),
            target_id="t1",
            fence=1,
            expected=0,
        )
        await self.query()
        self.assertEqual(len(set(self.target.list_connections())), 2)

    async def test_queries_share_a_connection(self) -> None:
        """Guards against a new connection for each query."""
        for _ in range(3):
            await self.query()
        self.assertEqual(len(set(self.target.list_connections())), 1)

    async def test_connection_that_was_not_used_serves_calls(self) -> None:
        """Guards against a tested connection that is kept without a use."""
        connection = await self.pool.take(
            self.target.address, timeout_s=1, identifier=None, fresh=True
        )
        self.pool.put(connection)
        await self.call("/single/", request_id="r1")
        self.assertEqual(self.pool.connect_attempts, 1)

    async def test_connection_that_did_not_carry_a_call_may_carry_it(
        self,
    ) -> None:
        """Guards against a new connection after one that was not sent on."""
        connection = await self.pool.take(
            self.target.address, timeout_s=1, identifier="r1"
        )
        self.pool.put(connection)
        await self.call("/single/", request_id="r1")
        self.assertEqual(self.pool.connect_attempts, 1)
