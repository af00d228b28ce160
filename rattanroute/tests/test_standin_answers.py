"""Tests of stand-in replicas that answer twice and of callers that repeat."""

import asyncio
import random
import types
import unittest

from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.servers import Exchange
from rattanroute.http1.servers import HttpServer
from rattanroute.platform.standin_answers import FAILURE_STATUSES
from rattanroute.platform.standin_answers import StandInAnswers
from rattanroute.platform.standin_records import read_try
from rattanroute.platform.standin_records import StandInSettings
from rattanroute.platform.standin_records import TRY_HEADER
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import read_stamp
from rattanroute.tools.soak_clients import ClientSink
from rattanroute.tools.soak_records import SoakLog
from rattanroute.tools.soak_repeating_clients import RepeatingClient

REQUEST_ID = b"Rattanroute-Request-Id"
TRIES = 400


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class with an HTTP server on loopback."""

    async def asyncSetUp(self) -> None:
        """Starts the server."""
        self.server = HttpServer(handler=self.handle, limits=RequestLimits())
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.close)
        port = self.server.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def handle(self, exchange: Exchange) -> None:
        """Answers a request."""
        raise NotImplementedError


class AnyAnswerSink(ClientSink):
    """Collects a response; skips those that belong to other requests."""

    def __init__(self, request_id: bytes, skipped: list[ResponseHead]) -> None:
        super().__init__()
        self.request_id = request_id
        self.skipped = skipped

    def expects(self, head: ResponseHead) -> bool:
        """Returns whether a head names no other request."""
        found = find_header(head.headers, REQUEST_ID.lower()) or self.request_id
        if found != self.request_id:
            self.skipped.append(head)
        return found == self.request_id


class SecondAnswerTest(ServerTestCase):
    """Guards against second answers that do not come, or come elsewhere."""

    def build_answers(self, **values: float) -> StandInAnswers:
        """Builds the answers of a replica."""
        settings = StandInSettings(
            replica_id="desk-1",
            listen="",
            advertise="",
            control=[],
            records="",
            service="desk",
            zone="",
            **values,
        )
        return StandInAnswers(settings=settings)

    async def asyncSetUp(self) -> None:
        """Starts a replica that answers each request twice."""
        self.answers = self.build_answers(second_probability=1.0)
        self.runs = 0
        await super().asyncSetUp()

    async def handle(self, exchange: Exchange) -> None:
        """Answers a request, or a query without an identifier."""
        request = exchange.request.head
        request_id = find_header(request.headers, REQUEST_ID.lower())
        if request_id is None:
            self.answers.send(exchange, ResponseHead(status=200))
            return
        self.runs += 1
        head = self.answers.build_head(request_id.decode(), self.runs)
        self.answers.send(exchange, head, b"body")

    async def ask(self, pool: ConnectionPool, request_id: bytes) -> list[bytes]:
        """Sends a request.

        Returns:
            The identifiers in the answers that precede its own.
        """
        headers = [(REQUEST_ID, request_id)] if request_id else []
        head = RequestHead(method=b"GET", target=b"/", headers=headers)
        skipped: list[ResponseHead] = []
        # The pool has connections of their own for queries.
        identifier = request_id.decode() or "query"
        connection = await pool.take(
            self.address, timeout_s=1.0, identifier=identifier
        )
        sink = AnyAnswerSink(request_id, skipped)
        connection.send(head, b"", sink)
        await asyncio.wait_for(sink.ended, 5.0)
        self.assertEqual(sink.head.status, 200)
        return [find_header(x.headers, REQUEST_ID.lower()) for x in skipped]

    async def test_second_answer_precedes_the_next_one(self) -> None:
        """Guards against a second answer that is lost or comes too early."""
        pool = ConnectionPool()
        self.assertEqual(await self.ask(pool, b"r1"), [])
        self.assertEqual(await self.ask(pool, b"r2"), [b"r1"])

    async def test_second_answer_precedes_a_query(self) -> None:
        """Guards against queries that never meet a second answer."""
        pool = ConnectionPool()
        await self.ask(pool, b"r1")
        self.assertEqual(await self.ask(pool, b""), [b"r1"])

    async def test_second_answer_stays_on_its_connection(self) -> None:
        """Guards against a second answer on another connection."""
        for number in range(20):
            pool = ConnectionPool()
            self.assertEqual(await self.ask(pool, b"r%d" % number), [])
            await asyncio.sleep(0)

    async def test_failures_and_second_answers_are_drawn(self) -> None:
        """Guards against shares and statuses that are never drawn."""
        answers = self.build_answers(
            failure_probability=0.4, second_probability=0.35
        )
        statuses: list[int] = []
        seconds: set[int] = set()
        first = answers.build_head("r", 1)
        for number in range(1, TRIES + 1):
            exchange = build_exchange(number)
            statuses.append(answers.draw_status(exchange))
            answers.plan_second(exchange, first, b"")
            data = answers.due.get(exchange.connection, b"")
            if data:
                seconds.add(int(data.split(b" ")[1]))
        failed = sum(x != 200 for x in statuses)
        self.assertAlmostEqual(failed / TRIES, 0.4, delta=0.1)
        self.assertLessEqual({200, *FAILURE_STATUSES}, set(statuses))
        self.assertEqual(seconds, {200, *FAILURE_STATUSES})

    async def test_other_callers_get_no_failures(self) -> None:
        """Guards against failures of callers that do not number tries."""
        answers = self.build_answers(failure_probability=1.0)
        self.assertEqual(answers.draw_status(build_exchange(0)), 200)
        self.assertNotEqual(answers.draw_status(build_exchange(1)), 200)

    async def test_differing_second_answer_has_a_stamp_of_its_own(self) -> None:
        """Guards against a second answer that looks like the first run's."""
        exchange = build_exchange(1)
        first = self.answers.build_head("r", 1, 500)
        second, _ = self.answers.build_second(exchange, first, 200)
        self.assertNotEqual(read_stamp(second), read_stamp(first))
        refusal, _ = self.answers.build_second(exchange, first, 503)
        self.assertEqual(read_stamp(refusal), "")


class Connection:
    """A connection that a second answer may be due on."""


def build_exchange(number: int) -> types.SimpleNamespace:
    """Builds an exchange of a try on a connection of its own."""
    headers = [(REQUEST_ID.lower(), b"r%d" % number)]
    if number:
        headers.append((TRY_HEADER.lower(), b"%d" % number))
    head = RequestHead(method=b"GET", target=b"/", headers=headers)
    request = types.SimpleNamespace(head=head, body=b"")
    return types.SimpleNamespace(request=request, connection=Connection())


class FakeSelector:
    """Chooses the only front.

    Args:
        address: Address of the front.
    """

    def __init__(self, address: str) -> None:
        self.front = types.SimpleNamespace(name="front", front_address=address)

    def choose(self, zone: str) -> types.SimpleNamespace:
        """Returns the front."""
        del zone
        return self.front

    def is_ready(self, front: types.SimpleNamespace) -> bool:
        """Returns that the front is ready."""
        return front is self.front

    def find_start_number(self, front: types.SimpleNamespace) -> int:
        """Returns the number of the front's process start."""
        del front
        return 1


class RepeatingClientTest(ServerTestCase):
    """Guards against repeats that look like new requests."""

    async def handle(self, exchange: Exchange) -> None:
        """Fails a first try and answers the others."""
        head = exchange.request.head
        request_id = find_header(head.headers, REQUEST_ID.lower())
        number = read_try(head)
        self.seen.append((request_id, number, exchange.connection))
        exchange.send(
            ResponseHead(
                status=self.statuses[min(number, len(self.statuses)) - 1],
                headers=[(REQUEST_ID, request_id)],
            )
        )

    async def send(self, kind: CallKind, *statuses: int) -> list[tuple]:
        """Sends a request; returns what its tries were.

        Args:
            kind: Kind of the request.
            statuses: Status of the answer to each try.
        """
        self.seen: list[tuple] = []
        self.statuses = statuses
        client = RepeatingClient(
            name="c",
            zone="z",
            front_selector=FakeSelector(self.address),
            log=SoakLog(),
            random=random.Random(0),
        )
        await client.send_with_retries(kind)
        return self.seen

    async def test_repeat_keeps_identifier_and_connection(self) -> None:
        """Guards against a repeat with an identifier of its own."""
        first, second = await self.send(CallKind.REPEATABLE, 500, 200)
        self.assertEqual(first[0], second[0])
        self.assertEqual((first[1], second[1]), (1, 2))
        self.assertIs(first[2], second[2])

    async def test_request_that_may_have_run_is_not_repeated(self) -> None:
        """Guards against a repeat of a request that runs at most once."""
        self.assertEqual(len(await self.send(CallKind.ONCE, 500, 200)), 1)
        self.assertEqual(len(await self.send(CallKind.ONCE, 503, 200)), 2)
