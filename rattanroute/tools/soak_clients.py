"""Simulated clients of a soak."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import random as randoms
import time

import aiohttp
import xxhash

from rattanroute.errors import RouterError
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.response_sinks import ResponseSink
from rattanroute.platform.standin_records import build_answer
from rattanroute.platform.standin_records import build_event
from rattanroute.platform.trial_deployments import build_call
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import is_signed
from rattanroute.platform.trial_deployments import Machine
from rattanroute.platform.trial_deployments import NOT_RUN_STATUSES
from rattanroute.platform.trial_deployments import read_stamp
from rattanroute.platform.trial_deployments import SHORT_STREAMS
from rattanroute.tools.soak_fleets import SoakFleet
from rattanroute.tools.soak_records import Attempt
from rattanroute.tools.soak_records import AttemptOutcome
from rattanroute.tools.soak_records import SoakLog

CONNECT_TIMEOUT_SECONDS = 1.0
# A client waits this long past its deadline, to record late answers.
LATE_ANSWER_SECONDS = 2.0
MAX_ATTEMPTS = 3
# Longest retry delay, as a fraction of the remaining time.
MAX_RETRY_DELAY_FRACTION = 1 / 3
# Longest pause between requests, and the default retry delay.
THINK_SECONDS = 0.15
# Interval and timeout of the readiness checks.
READINESS_POLL_SECONDS = 1.0
# Consecutive failed checks after which a front is not ready.
UNREADY_FAILED_CHECKS = 2
MIN_EVENTS = SHORT_STREAMS.min_events
KINDS = (CallKind.REPEATABLE, CallKind.ONCE, CallKind.STREAM)
NOT_FOUND = 404


class ClientSink(ResponseSink):
    """Collects the response to one request."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.body = bytearray()
        self.complete = False
        self.ended_at = 0.0
        self.ended = asyncio.get_running_loop().create_future()

    def receive_head(self, head: ResponseHead) -> None:
        """Stores the response head."""
        self.head = head

    def receive_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        self.body += data

    def receive_end(self) -> None:
        """Marks the response as complete."""
        self.complete = True
        self.finish()

    def receive_error(self, error: RouterError) -> None:
        """Ends the wait; the response stays incomplete."""
        self.finish()

    def finish(self) -> None:
        """Wakes the client that waits for the response."""
        if not self.ended.done():
            self.ended_at = time.monotonic()
            self.ended.set_result(None)


async def send_once(
    address: str, head: RequestHead, timeout_s: float
) -> ResponseHead | None:
    """Sends a request without a body on a connection of its own.

    Returns:
        The head of the response; None if none arrived in time.
    """
    sink = ClientSink()
    try:
        connection = await ConnectionPool().take(
            address, timeout_s=CONNECT_TIMEOUT_SECONDS, identifier=None
        )
    except ConnectError:
        return None
    connection.send(head, b"", sink)
    await asyncio.wait((sink.ended,), timeout=timeout_s)
    connection.cancel()
    return sink.head


@dataclasses.dataclass(kw_only=True)
class FrontSelector:
    """Chooses fronts for new connections by their readiness endpoints.

    Attributes:
        fleet: The processes.
        random: Random number generator.
        failed_readiness_checks: Consecutive failed checks, by front.
    """

    fleet: SoakFleet
    random: randoms.Random
    failed_readiness_checks: dict[str, int] = dataclasses.field(
        default_factory=dict
    )

    async def poll_readiness(self, front: Machine) -> None:
        """Polls the readiness endpoint of a front until cancelled."""
        timeout = aiohttp.ClientTimeout(total=READINESS_POLL_SECONDS)
        while True:
            try:
                async with self.fleet.client.get(
                    front.ready_url, timeout=timeout
                ) as response:
                    ready = response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                ready = False
            failed = self.failed_readiness_checks.get(
                front.name, UNREADY_FAILED_CHECKS
            )
            self.failed_readiness_checks[front.name] = (
                0 if ready else failed + 1
            )
            await asyncio.sleep(READINESS_POLL_SECONDS)

    def find_start_number(self, front: Machine) -> int:
        """Returns the number of the last process start of a front."""
        return self.fleet.start_counts[front.name]

    def is_ready(self, front: Machine) -> bool:
        """Returns whether a front gets new connections."""
        failed = self.failed_readiness_checks.get(
            front.name, UNREADY_FAILED_CHECKS
        )
        return failed < UNREADY_FAILED_CHECKS

    def choose(self, zone: str) -> Machine | None:
        """Returns a ready front, preferably in the given zone."""
        ready = [x for x in self.fleet.fronts if self.is_ready(x)]
        local = [x for x in ready if x.zone == zone]
        candidates = local or ready
        return self.random.choice(candidates) if candidates else None


@dataclasses.dataclass(kw_only=True)
class SoakClient:
    """Sends sequential requests over a persistent connection.

    Attributes:
        name: Prefix of its request identifiers.
        zone: Zone whose fronts it prefers.
        front_selector: Chooses fronts for new connections.
        log: Records the attempts.
        random: Random number generator.
        parts: Shared parts of the prompts of its streams.
        kinds: Kinds of its requests.
        prefix: Start of the bodies of its requests.
        connection: Open connection, if any.
        front: Front of that connection.
        start_number: Number of that front's process start.
        numbers: Sequence numbers of its request identifiers.
        kept_outcomes: Outcomes after which it keeps its connection.
    """

    name: str
    zone: str
    front_selector: FrontSelector
    log: SoakLog
    random: randoms.Random
    parts: tuple[str, ...] = ()
    kinds: tuple[CallKind, ...] = KINDS
    prefix: bytes = b""
    connection: ClientConnection | None = None
    front: Machine | None = None
    start_number: int = 0
    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )
    kept_outcomes: frozenset[AttemptOutcome] = frozenset(
        {AttemptOutcome.COMPLETE}
    )

    async def run(self, is_finished: Callable[[], bool]) -> None:
        """Sends requests until the soak is over."""
        while not is_finished():
            await self.send_with_retries(self.random.choice(self.kinds))
            await asyncio.sleep(THINK_SECONDS * self.random.random())

    async def send_with_retries(self, kind: CallKind) -> None:
        """Sends a request and retries it where its kind allows that."""
        body = self.build_body()
        shape = self.log.shape
        events = self.random.randint(shape.min_events, shape.max_events)
        expected_events = events if kind is CallKind.STREAM else 0
        ends_at = time.monotonic() + shape.timeout_s(kind)
        last_event = 0
        for _ in range(MAX_ATTEMPTS):
            time_left_s = ends_at - time.monotonic()
            if time_left_s <= 0:
                return
            attempt, sink = await self.send_attempt(
                kind, body, last_event, expected_events, time_left_s
            )
            if attempt is None or attempt.outcome is AttemptOutcome.COMPLETE:
                return
            last_event = max(last_event, attempt.events)
            if not may_retry(attempt):
                return
            await asyncio.sleep(self.find_retry_delay(sink, ends_at))

    def find_retry_delay(
        self, sink: ClientSink | None, ends_at: float
    ) -> float:
        """Returns the delay before the next attempt, in seconds."""
        retry_after = None
        if sink is not None and sink.head is not None:
            retry_after = find_header(sink.head.headers, b"retry-after")
        time_left_s = max(0.0, ends_at - time.monotonic())
        return min(
            float(retry_after or self.draw_retry_delay()),
            time_left_s * MAX_RETRY_DELAY_FRACTION,
        )

    def draw_retry_delay(self) -> float:
        """Returns the delay before an attempt that no answer puts off."""
        return THINK_SECONDS

    async def send_attempt(
        self,
        kind: CallKind,
        body: bytes,
        last_event: int,
        expected_events: int,
        time_left_s: float,
    ) -> tuple[Attempt | None, ClientSink | None]:
        """Sends one attempt and returns it with its response.

        Both are None if no connection to a front could be opened.
        """
        connection = await self.connect()
        if connection is None:
            return None, None
        attempt = self.start_attempt(kind, expected_events, time_left_s)
        attempt.events = last_event
        head = self.build_head(attempt, body)
        sink = ClientSink()
        connection.send(head, body, sink)
        await self.wait_for_end(connection, sink, time_left_s)
        self.record_outcome(attempt, body, sink)
        self.log.attempts.append(attempt)
        if attempt.outcome not in self.kept_outcomes or not connection.usable:
            self.connection = None
            connection.cancel()
        return attempt, sink

    async def wait_for_end(
        self, connection: ClientConnection, sink: ClientSink, seconds: float
    ) -> None:
        """Waits for the end of a response, a little past its time limit."""
        del connection
        await asyncio.wait((sink.ended,), timeout=seconds + LATE_ANSWER_SECONDS)

    def build_body(self) -> bytes:
        """Returns the body of a new request."""
        return self.prefix + f"{self.name} {self.random.random()}".encode()

    def build_identifier(self) -> str:
        """Returns the identifier of the next attempt."""
        return f"{self.name}-{next(self.numbers)}"

    def start_attempt(
        self, kind: CallKind, expected_events: int, time_left_s: float
    ) -> Attempt:
        """Returns an attempt that is sent now to the connected front."""
        return Attempt(
            request_id=self.build_identifier(),
            kind=kind,
            front=self.front.name,
            sent_at=time.monotonic(),
            expected_events=expected_events,
            limit_s=min(time_left_s, self.log.shape.timeout_s(kind)),
            start_number=self.start_number,
        )

    def build_head(self, attempt: Attempt, body: bytes) -> RequestHead:
        """Returns the head of an attempt's request."""
        head = build_call(
            attempt.request_id,
            f"/{attempt.kind.value}/x",
            time_left_s=attempt.limit_s,
            answer_tokens=attempt.expected_events,
            parts=self.list_parts(attempt.kind, body),
            try_number=attempt.try_number,
        )
        if attempt.events:
            head.headers.append((b"Last-Event-Id", b"%d" % attempt.events))
        return head

    def list_parts(self, kind: CallKind, body: bytes) -> tuple[str, ...]:
        """Returns the parts of a prompt; the last one is the request's own."""
        if kind is not CallKind.STREAM:
            return ()
        return (*self.parts, xxhash.xxh3_64_hexdigest(body))

    async def connect(self) -> ClientConnection | None:
        """Returns the open connection, or opens one to a ready front."""
        if self.connection is not None and self.connection.usable:
            return self.connection
        self.front = self.choose_front()
        if self.front is None:
            await asyncio.sleep(THINK_SECONDS)
            return None
        self.start_number = self.front_selector.find_start_number(self.front)
        try:
            self.connection = await self.open(self.front)
        except (ConnectError, OSError, TimeoutError):
            await asyncio.sleep(THINK_SECONDS)
            return None
        return self.connection

    def choose_front(self) -> Machine | None:
        """Returns the front for a new connection, if any is ready."""
        return self.front_selector.choose(self.zone)

    async def open(self, front: Machine) -> ClientConnection:
        """Opens a connection to a front.

        Raises:
            ConnectError: If it cannot be opened in time.
        """
        return await ConnectionPool().take(
            front.front_address,
            timeout_s=CONNECT_TIMEOUT_SECONDS,
            identifier=None,
        )

    def record_outcome(
        self, attempt: Attempt, body: bytes, sink: ClientSink
    ) -> None:
        """Records the status, outcome and answer errors of an attempt."""
        attempt.ended_at = sink.ended_at or time.monotonic()
        if sink.head is not None:
            attempt.status = sink.head.status
            attempt.stamp = read_stamp(sink.head)
        if not sink.ended.done():
            attempt.outcome = AttemptOutcome.GIVEN_UP
        elif sink.head is None or not sink.complete:
            attempt.outcome = AttemptOutcome.BROKEN
        elif sink.head.status == 200:
            attempt.outcome = AttemptOutcome.COMPLETE
        else:
            attempt.outcome = AttemptOutcome.REFUSED
        if attempt.status == 200:
            attempt.build_error_response = find_answer_error(
                attempt, body, sink
            )


def may_retry(attempt: Attempt) -> bool:
    """Returns whether a client may send a request again."""
    if attempt.kind is CallKind.ONCE:
        return attempt.status in NOT_RUN_STATUSES
    return attempt.status not in (400, 401, NOT_FOUND)


def find_answer_error(attempt: Attempt, body: bytes, sink: ClientSink) -> str:
    """Returns an error in an answer, or an empty string.

    Advances `attempt.events` to the last valid event of a stream.
    """
    if not is_signed(sink.head, attempt.request_id):
        return "not signed, or of another request"
    content = bytes(sink.body)
    if attempt.kind is not CallKind.STREAM:
        expected = build_answer(attempt.request_id, body)
        if content != expected and (
            sink.complete or not expected.startswith(content)
        ):
            return f"wrong body {content!r}"
        return ""
    events = content.split(b"\n\n")
    partial = events.pop()
    for event in events:
        if event + b"\n\n" != build_event(body, attempt.events + 1):
            return f"{event!r} after event {attempt.events}"
        attempt.events += 1
    if sink.complete and (partial or attempt.events < attempt.expected_events):
        return f"complete after event {attempt.events}"
    return ""
