"""Scripts of targets that answer some requests twice, for tests."""

import asyncio
import dataclasses
import random

from rattanroute.http1.heads import encode_response_head
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.servers import Exchange
from rattanroute.tests.gateway_hosts import build_events
from rattanroute.tests.gateway_hosts import FakeTarget

EVENTS = build_events(1, 4)
FAILURE = b"failed"
SUCCESS_STATUS = 200
# Answers that come twice, as in the troubles that are known of targets.
TWICE_SHARE = 0.35
FAILED_SHARE = 0.4
NOT_RUN_STATUS = 503
FAILURE_STATUSES = (500, 504, NOT_RUN_STATUS)
# Statuses that state that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})


def build_answer(
    exchange: Exchange, status: int, *, stamp: str = "", body: bytes = b""
) -> bytes:
    """Builds an answer; without a stamp it states that nothing has run."""
    request_id = find_header(
        exchange.request.head.headers, b"rattanroute-request-id"
    )
    headers = [(b"Rattanroute-Request-Id", request_id)]
    if stamp:
        headers.append((b"Rattanroute-Replica-Stamp", stamp.encode()))
    else:
        headers.append((b"Rattanroute-Not-Executed", b"1"))
    framing = [(b"Content-Length", b"%d" % len(body))]
    head = ResponseHead(status=status, headers=headers)
    return encode_response_head(head, framing) + body


def finish(exchange: Exchange, data: bytes) -> None:
    """Writes the bytes of an answer and ends the exchange."""
    exchange.connection.write(data)
    exchange.started = True
    exchange.finish()


class ScriptedTarget:
    """Script of a target that answers each try of a caller in its own way.

    The body of a request is the number of the try. A second answer to a
    request precedes the next answer on its connection.

    Attributes:
        statuses: Status of the answer to each try and, if it comes again, of
            the second answer.
        runs: Status of the answer by its stamp.
    """

    def __init__(self, *statuses: tuple[int, int | None]) -> None:
        self.statuses = statuses
        self.runs: dict[str, int] = {}
        self.due: dict[int, bytes] = {}

    async def __call__(self, target: FakeTarget, exchange: Exchange) -> None:
        """Answers a request."""
        status, second = self.statuses[int(exchange.request.body)]
        channel = id(exchange.connection)
        data = self.due.pop(channel, b"") + self.build(exchange, status)
        if second is not None:
            self.due[channel] = self.build(exchange, second)
        finish(exchange, data)

    def build(self, exchange: Exchange, status: int) -> bytes:
        """Builds an answer with a stamp of its own, or a promise."""
        if status in PROMISES:
            return build_answer(exchange, status)
        stamp = f"s{len(self.runs)}"
        self.runs[stamp] = status
        body = EVENTS if status == SUCCESS_STATUS else FAILURE
        return build_answer(exchange, status, stamp=stamp, body=body)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a target ran.

    Attributes:
        request_id: Identifier of the request.
        number: Number of the try, from its body.
        status: Status of its answer.
    """

    request_id: str
    number: bytes
    status: int


class FailingTarget:
    """Script of targets that fail or reject often, and answer some twice.

    A second answer precedes the next one on its connection.

    Attributes:
        runs: Requests that ran, by the stamp of their answers.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.runs: dict[str, Run] = {}
        self.due: dict[int, bytes] = {}

    async def __call__(self, target: FakeTarget, exchange: Exchange) -> None:
        """Answers a request."""
        await asyncio.sleep(self.random.uniform(0, 0.003))
        status = self.choose_status()
        channel = id(exchange.connection)
        data = self.due.pop(channel, b"")
        data += self.build(target, exchange, status, record=True)
        if self.random.random() < TWICE_SHARE:
            again = self.random.choice((status, 200))
            self.due[channel] = self.build(
                target, exchange, again, record=False
            )
        finish(exchange, data)

    def choose_status(self) -> int:
        """Returns the status of an answer."""
        if self.random.random() < FAILED_SHARE:
            return self.random.choice(FAILURE_STATUSES)
        return SUCCESS_STATUS

    def build(
        self, target: FakeTarget, exchange: Exchange, status: int, record: bool
    ) -> bytes:
        """Builds an answer, and records the run unless it is a second one."""
        if status == NOT_RUN_STATUS:
            return build_answer(exchange, status)
        stamp = f"{target.target_id}.{len(self.runs)}"
        if record:
            self.runs[stamp] = Run(
                request_id=find_header(
                    exchange.request.head.headers, b"rattanroute-request-id"
                ).decode(),
                number=exchange.request.body,
                status=status,
            )
        else:
            stamp += ".again"
        body = EVENTS if status == SUCCESS_STATUS else FAILURE
        return build_answer(exchange, status, stamp=stamp, body=body)
