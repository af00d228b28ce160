"""Callers, operators and probes of a soak."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import random as randoms
import time

import aiohttp

from rattanroute.errors import RouterError
from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.clients import ResponseSink
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import ResponseHead
from rattanroute.platform.standins import build_answer
from rattanroute.platform.standins import build_event
from rattanroute.platform.trial_deployments import build_call
from rattanroute.platform.trial_deployments import build_configuration
from rattanroute.platform.trial_deployments import build_version_prefix
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import is_signed
from rattanroute.platform.trial_deployments import KEPT_VERSION_ROUTES
from rattanroute.platform.trial_deployments import Machine
from rattanroute.platform.trial_deployments import NOT_RUN_STATUSES
from rattanroute.platform.trial_deployments import timeout_s
from rattanroute.tools.soak_fleets import SoakFleet
from rattanroute.tools.soak_records import Acknowledgement
from rattanroute.tools.soak_records import Attempt
from rattanroute.tools.soak_records import Ending
from rattanroute.tools.soak_records import Probe
from rattanroute.tools.soak_records import Reading
from rattanroute.tools.soak_records import SoakLog

CONNECT_SECONDS = 1.0
# A caller waits for so long beyond its deadline, to see what comes late.
PATIENCE_SECONDS = 2.0
MAX_ATTEMPTS = 3
# Longest part of the time left that a caller waits before it returns.
RETURN_PART = 1 / 3
THINK_SECONDS = 0.15
PROBE_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 2.0
READY_SECONDS = 1.0
READY_MISSES = 2
CHANGE_SECONDS = 1.2
CONTROL_SECONDS = 1.0
READ_PART = 0.5
MIN_EVENTS = 5
MAX_EVENTS = 40
KINDS = (CallKind.REPEATABLE, CallKind.ONCE, CallKind.STREAM)
NOT_FOUND = 404
UNAVAILABLE = 503


class CallerSink(ResponseSink):
    """Takes an answer as a caller does."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.body = bytearray()
        self.whole = False
        self.ended = asyncio.get_running_loop().create_future()

    def take_head(self, head: ResponseHead) -> None:
        """Keeps the head."""
        self.head = head

    def take_body(self, data: bytes) -> None:
        """Keeps a part of the body."""
        self.body += data

    def take_end(self) -> None:
        """Notes the end of the body."""
        self.whole = True
        self.finish()

    def take_loss(self, error: RouterError) -> None:
        """Notes that the connection broke."""
        self.finish()

    def finish(self) -> None:
        """Wakes the caller."""
        if not self.ended.done():
            self.ended.set_result(None)


@dataclasses.dataclass(kw_only=True)
class Entry:
    """Chooses fronts for new connections, by their own word.

    Attributes:
        fleet: The processes.
        random: Source of choices.
        misses: Questions in a row without a good answer, by front.
    """

    fleet: SoakFleet
    random: randoms.Random
    misses: dict[str, int] = dataclasses.field(default_factory=dict)

    async def follow(self, front: Machine) -> None:
        """Asks a front again and again whether it takes callers."""
        timeout = aiohttp.ClientTimeout(total=READY_SECONDS)
        while True:
            try:
                async with self.fleet.client.get(
                    front.ready_url, timeout=timeout
                ) as response:
                    ready = response.status == 200
            except (aiohttp.ClientError, TimeoutError):
                ready = False
            known = self.misses.get(front.name, READY_MISSES)
            self.misses[front.name] = 0 if ready else known + 1
            await asyncio.sleep(READY_SECONDS)

    def choose(self, zone: str) -> Machine | None:
        """Returns a front of a zone, or of another one when none is ready."""
        ready = [
            x
            for x in self.fleet.fronts
            if self.misses.get(x.name, READY_MISSES) < READY_MISSES
        ]
        near = [x for x in ready if x.zone == zone]
        found = near or ready
        return self.random.choice(found) if found else None


@dataclasses.dataclass(kw_only=True)
class Caller:
    """Sends one request after the other and keeps its connection.

    Attributes:
        name: First part of the identifiers of its requests.
        zone: Its zone.
        entry: Chooses fronts.
        log: Takes what the caller sees.
        random: Source of choices.
    """

    name: str
    zone: str
    entry: Entry
    log: SoakLog
    random: randoms.Random
    connection: ClientConnection | None = None
    front: Machine | None = None
    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Sends requests until the soak is over."""
        while not is_over():
            await self.request(self.random.choice(KINDS))
            await asyncio.sleep(THINK_SECONDS * self.random.random())

    async def request(self, kind: CallKind) -> None:
        """Sends a request and returns with it as callers do."""
        body = f"{self.name} {self.random.random()}".encode()
        events = self.random.randint(MIN_EVENTS, MAX_EVENTS)
        wanted = events if kind is CallKind.STREAM else 0
        ends_at = time.monotonic() + timeout_s(kind)
        seen = 0
        for _ in range(MAX_ATTEMPTS):
            left = ends_at - time.monotonic()
            if left <= 0:
                return
            attempt, sink = await self.attempt(kind, body, seen, wanted, left)
            if attempt is None or attempt.ending is Ending.COMPLETE:
                return
            seen = max(seen, attempt.events)
            if not may_return(attempt):
                return
            await asyncio.sleep(self.find_pause(sink, ends_at))

    def find_pause(self, sink: CallerSink | None, ends_at: float) -> float:
        """Returns how long to wait before the next attempt."""
        wish = None
        if sink is not None and sink.head is not None:
            wish = find_header(sink.head.headers, b"retry-after")
        left = max(0.0, ends_at - time.monotonic())
        return min(float(wish or THINK_SECONDS), left * RETURN_PART)

    async def attempt(
        self,
        kind: CallKind,
        body: bytes,
        seen: int,
        wanted: int,
        left: float,
    ) -> tuple[Attempt | None, CallerSink | None]:
        """Makes one attempt; returns nothing when no front takes it."""
        connection = await self.connect()
        if connection is None:
            return None, None
        attempt = Attempt(
            request_id=f"{self.name}-{next(self.numbers)}",
            kind=kind,
            front=self.front.name,
            sent_at=time.monotonic(),
            wanted_events=wanted,
            events=seen,
        )
        head = build_call(
            attempt.request_id,
            f"/{kind.value}/x",
            time_left_s=left,
            answer_tokens=wanted,
        )
        if seen:
            head.headers.append((b"Last-Event-Id", b"%d" % seen))
        sink = CallerSink()
        connection.send(head, body, sink)
        await asyncio.wait((sink.ended,), timeout=left + PATIENCE_SECONDS)
        self.conclude(attempt, body, sink)
        self.log.attempts.append(attempt)
        if attempt.ending is not Ending.COMPLETE or not connection.usable:
            self.connection = None
            connection.cancel()
        return attempt, sink

    async def connect(self) -> ClientConnection | None:
        """Returns the kept connection, or opens one to another front."""
        if self.connection is not None and self.connection.usable:
            return self.connection
        self.front = self.entry.choose(self.zone)
        if self.front is None:
            await asyncio.sleep(THINK_SECONDS)
            return None
        try:
            self.connection = await ConnectionPool().take(
                self.front.front_address, timeout_s=CONNECT_SECONDS
            )
        except ConnectError:
            await asyncio.sleep(THINK_SECONDS)
            return None
        return self.connection

    def conclude(self, attempt: Attempt, body: bytes, sink: CallerSink) -> None:
        """Judges what came back."""
        attempt.ended_at = time.monotonic()
        if sink.head is not None:
            attempt.status = sink.head.status
        if not sink.ended.done():
            attempt.ending = Ending.GIVEN_UP
        elif sink.head is None or not sink.whole:
            attempt.ending = Ending.BROKEN
        elif sink.head.status == 200:
            attempt.ending = Ending.COMPLETE
        else:
            attempt.ending = Ending.REFUSED
        if attempt.status == 200:
            attempt.fault = find_fault(attempt, body, sink)


def may_return(attempt: Attempt) -> bool:
    """Whether a caller sends a request again."""
    if attempt.kind is CallKind.ONCE:
        return attempt.status in NOT_RUN_STATUSES
    return attempt.status not in (400, 401, NOT_FOUND)


def find_fault(attempt: Attempt, body: bytes, sink: CallerSink) -> str:
    """Returns what is wrong with an answer; empty if nothing is.

    Notes the last event of a stream.
    """
    if not is_signed(sink.head, attempt.request_id):
        return "not signed, or of another request"
    content = bytes(sink.body)
    if attempt.kind is not CallKind.STREAM:
        whole = build_answer(attempt.request_id, body)
        if content != whole and (sink.whole or not whole.startswith(content)):
            return f"wrong body {content!r}"
        return ""
    events = content.split(b"\n\n")
    partial = events.pop()
    for event in events:
        if event + b"\n\n" != build_event(body, attempt.events + 1):
            return f"{event!r} after event {attempt.events}"
        attempt.events += 1
    if sink.whole and (partial or attempt.events < attempt.wanted_events):
        return f"complete after event {attempt.events}"
    return ""


@dataclasses.dataclass(kw_only=True)
class Operator:
    """Changes and reads the configuration, and looks where it is in force.

    Attributes:
        fleet: The processes.
        log: Takes what the operator sees.
        random: Source of choices.
        version: Newest version that was sent.
    """

    fleet: SoakFleet
    log: SoakLog
    random: randoms.Random
    version: int = 0

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Makes changes until the soak is over."""
        while not is_over():
            await self.change(is_over)
            if self.random.random() < READ_PART:
                await self.read(self.random.choice(self.fleet.core))
            await asyncio.sleep(CHANGE_SECONDS * self.random.random())

    async def change(self, is_over: Callable[[], bool]) -> None:
        """Sends the next version until it is acknowledged."""
        self.version += 1
        body = build_configuration(self.version)
        for machine in itertools.cycle(self.fleet.core):
            if is_over():
                return
            if await self.put(machine, body):
                self.log.acknowledgements.append(
                    Acknowledgement(version=self.version, at=time.monotonic())
                )
                return
            await asyncio.sleep(THINK_SECONDS)

    async def put(self, machine: Machine, body: bytes) -> bool:
        """Sends a configuration; returns whether it was acknowledged."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_SECONDS)
        try:
            async with self.fleet.client.put(
                machine.configuration_url, data=body, timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def read(self, machine: Machine) -> int:
        """Reads the configuration; returns its version, 0 without one."""
        sent_at = time.monotonic()
        timeout = aiohttp.ClientTimeout(total=CONTROL_SECONDS)
        try:
            async with self.fleet.client.get(
                machine.configuration_url, timeout=timeout
            ) as response:
                if response.status != 200:
                    return 0
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0
        version = find_version(content, self.version)
        self.log.readings.append(
            Reading(
                machine=machine.name,
                sent_at=sent_at,
                version=version,
                intact=version > 0,
            )
        )
        return version

    async def probe(self, front: Machine) -> None:
        """Looks again and again which versions a front serves."""
        for number in itertools.count():
            await asyncio.sleep(PROBE_SECONDS)
            acknowledged = self.log.acknowledgements
            if not acknowledged:
                continue
            newest = acknowledged[-1].version
            version = newest - number % (KEPT_VERSION_ROUTES + 1)
            if version > 0:
                await self.probe_version(front, version, number)

    async def probe_version(
        self, front: Machine, version: int, number: int
    ) -> None:
        """Sends a request on a version's route."""
        request_id = f"probe-{front.name}-{number}"
        head = build_call(
            request_id,
            f"{build_version_prefix(version)}x",
            time_left_s=PROBE_TIMEOUT_SECONDS,
        )
        lifetime = self.fleet.lifetimes[front.name]
        sent_at = time.monotonic()
        sink = CallerSink()
        try:
            connection = await ConnectionPool().take(
                front.front_address, timeout_s=CONNECT_SECONDS
            )
        except ConnectError:
            return
        connection.send(head, b"", sink)
        await asyncio.wait((sink.ended,), timeout=PROBE_TIMEOUT_SECONDS)
        connection.cancel()
        if sink.head is None or sink.head.status == UNAVAILABLE:
            return
        self.log.probes.append(
            Probe(
                front=front.name,
                lifetime=lifetime,
                version=version,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                known=sink.head.status != NOT_FOUND,
            )
        )


def find_version(content: bytes, newest: int) -> int:
    """Returns the version whose configuration this is; 0 if it is none."""
    for version in range(newest, 0, -1):
        if content == build_configuration(version):
            return version
    return 0
