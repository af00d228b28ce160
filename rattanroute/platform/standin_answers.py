"""Answers of the stand-in replicas, some of which come a second time.

A second answer precedes the next answer on its connection and names the
request that it belongs to.
"""

import random as randoms
import weakref

from rattanroute.http1.heads import encode_response_head
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import Headers
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.server_connections import ServerConnection
from rattanroute.http1.servers import Exchange
from rattanroute.platform import headers
from rattanroute.platform.standin_records import build_answer
from rattanroute.platform.standin_records import build_event
from rattanroute.platform.standin_records import build_stamp
from rattanroute.platform.standin_records import read_try
from rattanroute.platform.standin_records import StandInSettings
from rattanroute.platform.trial_deployments import NOT_RUN_STATUSES

OK = 200
NOT_RUN_STATUS = 503
# Statuses of the answers to tries that fail; the last one states that the
# request has not run.
FAILURE_STATUSES = (500, 504, NOT_RUN_STATUS)
FAILURE_BODY = b"failed"
# Marks the stamp of a second answer that differs from the first one.
AGAIN = ".again"


class StandInAnswers:
    """Sends the answers of a replica.

    Args:
        settings: Settings of the replica.

    Attributes:
        due: Second answers, by the connection whose next answer they precede.
    """

    def __init__(self, *, settings: StandInSettings) -> None:
        self.settings = settings
        self.due: weakref.WeakKeyDictionary[ServerConnection, bytes] = (
            weakref.WeakKeyDictionary()
        )

    def draw_status(self, exchange: Exchange) -> int:
        """Returns the status of the answer to a request.

        Only tries that their caller numbers fail.
        """
        random = self.build_random("status", exchange)
        if (
            read_try(exchange.request.head)
            and random.random() < self.settings.failure_probability
        ):
            return random.choice(FAILURE_STATUSES)
        return OK

    def build_random(self, use: str, exchange: Exchange) -> randoms.Random:
        """Returns a generator that is seeded with a try of a request."""
        settings = self.settings
        number = read_try(exchange.request.head)
        return randoms.Random(
            f"{settings.answer_seed} {use} {settings.replica_id} "
            f"{read_request_id(exchange)} {number}"
        )

    def build_head(
        self, request_id: str, run: int, status: int = OK
    ) -> ResponseHead:
        """Returns the head of the answer to a request that ran."""
        stamp = build_stamp(self.settings.replica_id, run)
        return self.build_stamped(request_id, stamp, status)

    def build_stamped(
        self, request_id: str, stamp: str, status: int
    ) -> ResponseHead:
        """Returns the head of an answer with a stamp."""
        return ResponseHead(
            status=status,
            headers=[
                (headers.REQUEST_ID, request_id.encode()),
                (headers.STAMP, stamp.encode()),
                *self.build_limit(),
            ],
        )

    def build_refusal(
        self, request_id: str, status: int, at: str = ""
    ) -> ResponseHead:
        """Returns the head of an answer that the request did not run.

        Args:
            request_id: Identifier of the request.
            status: Status code of the answer.
            at: Address of the target at fault; empty if not stated.
        """
        fields = [
            (headers.REQUEST_ID, request_id.encode()),
            (headers.NOT_RUN, b"1"),
            *self.build_limit(),
        ]
        if at:
            fields.append((headers.FAULTY_TARGET, at.encode()))
        return ResponseHead(status=status, headers=fields)

    def build_limit(self) -> Headers:
        """Returns the header that names the limit, if there is one."""
        if not self.settings.limit_per_s:
            return []
        return [(headers.LIMIT, b"%g" % self.settings.limit_per_s)]

    def send(
        self, exchange: Exchange, head: ResponseHead, body: bytes = b""
    ) -> None:
        """Sends an answer."""
        self.send_due(exchange)
        self.plan_second(exchange, head, body)
        exchange.send(head, body)

    def start(self, exchange: Exchange, head: ResponseHead) -> None:
        """Sends the head of a streamed answer."""
        self.send_due(exchange)
        exchange.start(head)

    def end(self, exchange: Exchange, head: ResponseHead) -> None:
        """Ends a streamed answer.

        Args:
            exchange: Exchange of the answer.
            head: Head of the answer.
        """
        self.plan_second(exchange, head, build_success(exchange, self.settings))
        exchange.end()

    def send_due(self, exchange: Exchange) -> None:
        """Sends the second answer that is due on a connection, if any."""
        data = self.due.pop(exchange.connection, b"")
        if data and not (exchange.disconnected or exchange.ended):
            exchange.connection.write(data)

    def plan_second(
        self, exchange: Exchange, head: ResponseHead, body: bytes
    ) -> None:
        """Draws whether an answer comes again, and with which status.

        Answers that name no request do not.
        """
        request_id = read_request_id(exchange)
        random = self.build_random("second", exchange)
        if (
            not request_id
            or random.random() >= self.settings.second_probability
        ):
            return
        status = random.choice((head.status, OK, *FAILURE_STATUSES))
        if status != head.status:
            head, body = self.build_second(exchange, head, status)
        framing = [(b"Content-Length", b"%d" % len(body))]
        self.due[exchange.connection] = (
            encode_response_head(head, framing) + body
        )

    def build_second(
        self, exchange: Exchange, first: ResponseHead, status: int
    ) -> tuple[ResponseHead, bytes]:
        """Returns a second answer whose status differs from the first one."""
        request_id = read_request_id(exchange)
        if status in NOT_RUN_STATUSES:
            return self.build_refusal(request_id, status), b""
        stamp = find_header(first.headers, headers.STAMP.lower()) or b""
        head = self.build_stamped(request_id, stamp.decode() + AGAIN, status)
        if status == OK:
            return head, build_success(exchange, self.settings)
        return head, FAILURE_BODY


def read_request_id(exchange: Exchange) -> str:
    """Returns the identifier of a request; empty if there is none."""
    values = exchange.request.head.headers
    return (find_header(values, headers.REQUEST_ID.lower()) or b"").decode()


def read_events(exchange: Exchange) -> range:
    """Returns the numbers of the events of a requested stream."""
    values = exchange.request.head.headers
    last = find_header(values, headers.LAST_EVENT.lower()) or b"0"
    tokens = find_header(values, headers.TOKENS.lower()) or b"0,0"
    return range(int(last) + 1, int(tokens.partition(b",")[2]) + 1)


def build_success(exchange: Exchange, settings: StandInSettings) -> bytes:
    """Returns the whole body of the answer to a request that succeeds."""
    body = exchange.request.body
    if not settings.layers:
        return build_answer(read_request_id(exchange), body)
    return b"".join(build_event(body, x) for x in read_events(exchange))


def read_chain(
    exchange: Exchange, settings: StandInSettings
) -> list[tuple[str, int, int]]:
    """Returns address, first layer and end layer of each target."""
    values = exchange.request.head.headers
    text = find_header(values, headers.CHAIN.lower())
    if text is None:
        return [(settings.advertise, 0, settings.layers)]
    chain = []
    for part in text.decode().split(","):
        address, _, layers = part.partition("=")
        first, _, end = layers.partition("-")
        chain.append((address, int(first), int(end)))
    return chain
